"""Which vocabulary a generation's token ids are written for, and the parameters that its profile gives it. Pure."""

import msgspec

from stackpitch.duties.vocabulary.acting.asked import Asked, asked, limits
from stackpitch.duties.vocabulary.errors import FilesUnread, ParametersMalformed, VocabularyUnknown
from stackpitch.duties.vocabulary.judging.files import Looked
from stackpitch.duties.vocabulary.parameters import IDS
from stackpitch.wire.decoding import decode

PROFILE, VOCABULARY = (
    "sampling_profile",
    "token_vocabulary",
)  # of a request's body; neither goes on to engines


class Written:
    """By the files as last read."""

    def __init__(self, looked: Looked) -> None:
        self.looked = looked
        self.parameters = {
            name: {field: msgspec.Raw(msgspec.json.encode(value)) for field, value in given.items()}
            for name, given in looked.parameters.items()
        }

    def read(self, fields: dict[str, msgspec.Raw], customer: str | None, product: str) -> Asked:
        """Takes its two own fields out of the body and puts in what the profile gives and the request doesn't have. Raises
        VocabularyUnknown, ParametersMalformed; FilesUnread while there is nothing to hold ids against, as they would go to
        any server then."""
        profile, stated = (_text(fields.pop(name, None)) for name in (PROFILE, VOCABULARY))
        filled: frozenset[str] = frozenset()
        if not self.looked.vocabularies and (profile is not None or asked(fields)):
            raise FilesUnread(PROFILE if profile is not None else next(iter(asked(fields))))
        if profile is not None:
            given = self.parameters.get(profile)
            if given is None:
                raise VocabularyUnknown(PROFILE, profile, tuple(sorted(self.parameters)[:20]))
            filled = frozenset(given.keys() - fields.keys())
            fields |= {name: given[name] for name in given if name in filled and name != "max_tokens_bounds"}
        read = limits(fields) if profile is not None or _has_ids(fields) else {}
        own = {name: value for name, value in read.items() if name not in filled}
        if profile is not None:
            self._bounded(profile, own)
        ids = asked(fields)
        if not ids:
            return Asked(ids, None, profile, filled)
        name = stated or self._default(profile, ids.keys() <= filled, customer, product)
        if name and name not in self.looked.vocabularies:
            raise VocabularyUnknown(VOCABULARY, name, tuple(sorted(self.looked.vocabularies)))
        return Asked(ids, self.looked.vocabularies.get(name or ""), profile, filled, own)

    def _bounded(self, profile: str, own: dict[str, int]) -> None:
        bounds = self.looked.parameters[profile].get("max_tokens_bounds")
        for name in ("max_tokens", "max_completion_tokens"):
            if bounds is not None and name in own and not bounds["least"] <= own[name] <= bounds["most"]:
                raise ParametersMalformed(
                    name, str(own[name]), f"{bounds['least']} to {bounds['most']} by profile {profile!r}"
                )

    def _default(self, profile: str | None, whole: bool, customer: str | None, product: str) -> str:
        """That of the profile where all ids are the profile's, else the customer's, the product's or the file's."""
        if profile is not None and whole:
            return self.looked.written_for[profile]
        return (
            self.looked.customers.get(customer or "")
            or self.looked.products.get(product)
            or self.looked.default
        )


def _has_ids(fields: dict[str, msgspec.Raw]) -> bool:
    return any(name in fields for name in IDS)


def _text(raw: msgspec.Raw | None) -> str | None:
    if raw is None:
        return None
    try:
        return decode(raw, type=str | None)
    except msgspec.DecodeError:
        raise VocabularyUnknown("body", bytes(raw)[:40].decode(errors="replace"), ("a name",)) from None

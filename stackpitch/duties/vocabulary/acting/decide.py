"""One generation, before any leg: untouched, narrowed to some vocabularies with parameters for each, or refused."""

from collections.abc import Mapping

import msgspec

from stackpitch.duties.vocabulary.acting.asked import Asked
from stackpitch.duties.vocabulary.acting.known import Known, Seen
from stackpitch.duties.vocabulary.acting.translating import translated
from stackpitch.duties.vocabulary.errors import MeaningLost, VocabularyUnstated
from stackpitch.duties.vocabulary.parameters import IDS
from stackpitch.duties.vocabulary.verdicts.judge import Verdicts
from stackpitch.duties.vocabulary.verdicts.words import FieldVerdict, Finding

MOST_TOKENS = 1_000_000  # that a request may ask for


class Narrowed(msgspec.Struct, frozen=True):
    """Digests of the vocabularies whose servers may take it, each with the fields that replace those of the body there."""

    fields: dict[str, dict[str, object]]

    def spoken(self) -> dict[str, dict[str, msgspec.Raw]]:
        """As a leg's request takes them."""
        return {
            vocabulary: {name: msgspec.Raw(msgspec.json.encode(value)) for name, value in fields.items()}
            for vocabulary, fields in self.fields.items()
        }


class Acting:
    """`kinds`: digests of the vocabularies that listed servers have, "" among them if the list does not say for some."""

    def __init__(self, known: Known) -> None:
        self.known, self.seen = known, Seen()
        self.kinds: frozenset[str] = frozenset()

    def listed(self, servers: Mapping[str, str | None]) -> None:
        """With each list that comes into force: vocabulary by name of server, None or "" where it does not say."""
        self.kinds = frozenset(one or "" for one in servers.values())

    def decide(self, one: Asked) -> Narrowed | None:
        """None: untouched. Raises MeaningLost, VocabularyUnstated, both answered 400."""
        if not one.ids or self.kinds <= {""}:
            return None  # no ids, or no server says what it has
        own = one.vocabulary
        if own is None:
            if len(self.kinds) == 1:
                return None  # all have the same
            raise VocabularyUnstated(
                next(iter(one.ids)), tuple(sorted(self.seen.name(kind) for kind in self.kinds if kind))
            )
        fields: dict[str, dict[str, object]] = {own: {}}
        verdicts = self.known.acting(self.seen)
        if verdicts is not None and verdicts.digests.old == own:
            new = verdicts.digests.new
            found, wrong = self._carried(verdicts, one)
            if wrong is None:
                fields[new] = found
            elif new in self.kinds and own not in self.kinds:
                raise MeaningLost(
                    wrong[0], wrong[1].value, wrong[1].meant, wrong[1].now, wrong[1].why, wrong[1].todo
                )
        elif verdicts is not None and own not in self.kinds and verdicts.digests.new in self.kinds:
            raise self._foreign(verdicts, one, own)
        return Narrowed(fields)

    def _carried(
        self, verdicts: Verdicts, one: Asked
    ) -> tuple[dict[str, object], tuple[str, Finding] | None]:
        """Fields for the new vocabulary, or the first field that has lost its meaning. A profile stands or falls whole, as it
        was judged; where the request has ids of its own in place of the profile's, all are taken for the request's."""
        found: dict[str, object] = {}
        judged = frozenset[str]()
        profile = self.known.profiles.get(one.profile or "")
        if profile is not None and all(
            field.field in one.filled for field in profile.fields if field.field in IDS
        ):
            for field in profile.fields:
                if field.lost and field.findings and field.field in one.filled:
                    return {}, (field.field, field.findings[0])
            judged = one.filled
            found |= {
                field.field: field.translated
                for field in profile.fields
                if _matters(field) and field.field in judged
            }
        names = self.seen.name(verdicts.digests.old), self.seen.name(verdicts.digests.new)
        for name, value in one.ids.items():
            if name not in judged:
                found[name], wrong = translated(verdicts, name, value, names)
                if wrong is not None:
                    return {}, (name, wrong)
        for name, limit in one.limits.items():
            if (scaled := min(MOST_TOKENS, verdicts.ratio.scaled(limit))) != limit:
                found[name] = scaled
        return found, None

    def _foreign(self, verdicts: Verdicts, one: Asked, own: str) -> MeaningLost:
        """Ids of a vocabulary that no server has any more, and that the change in force does not speak of."""
        field, name, new = next(iter(one.ids)), self.seen.name(own), self.seen.name(verdicts.digests.new)
        return MeaningLost(
            field,
            "ids",
            f"tokens of {name}",
            f"other tokens of {new}",
            f"no server has {name}",
            f"write the ids for {new}",
        )


def _matters(field: FieldVerdict) -> bool:
    return field.translated is not None and field.word != "same"

"""Token ids at the door: which vocabulary they are written for, and what they are on servers of each. The duty decides
(`duties.vocabulary.acting`), this carries it."""

from typing import Any

import msgspec

from stackpitch.duties.calls import Answer
from stackpitch.duties.vocabulary.errors import FilesUnread, VocabularyError
from stackpitch.duties.vocabulary.owning import Asking
from stackpitch.duties.vocabulary.work import VocabularyWork
from stackpitch.gateway.admin import RouteHandler
from stackpitch.gateway.facts import BadRequest, Facts
from stackpitch.gateway.roster import Roster
from stackpitch.loop import Coro
from stackpitch.wire import http

Spoken = dict[str, dict[str, msgspec.Raw]]


class TokenIdTranslator:
    """`told`: of which list the work was told last."""

    def __init__(self, work: VocabularyWork, roster: Roster) -> None:
        self.work, self.roster, self.told = work, roster, -1

    def _listed(self) -> None:
        if self.told != self.roster.lists_applied:
            self.told = self.roster.lists_applied
            self.work.acting.listed(
                {name: one.vocabulary or None for name, one in self.roster.entries.items()}
            )

    def spoken(self, facts: Facts) -> Spoken | None:
        """By vocabulary that it may go to, the fields that replace those of the body; None: it says no token ids. Takes the
        fields that are ours out of the body. Raises BadRequest, with what it means and what to do, or
        BadMessage while it is not known here yet."""
        self._listed()
        customer = facts.customer.name if facts.customer is not None else None
        try:
            asked = self.work.written.read(facts.fields, customer, facts.product.name)
            narrowed = self.work.acting.decide(asked)
        except FilesUnread as wrong:
            raise http.BadMessage(503, f"{wrong}. {wrong.remedy}") from None  # may be asked again
        except VocabularyError as wrong:
            raise BadRequest(getattr(wrong, "field", "token ids"), f"{wrong}. {wrong.remedy}") from None
        if narrowed is None:
            return None
        return {
            vocabulary: {name: msgspec.Raw(msgspec.json.encode(value)) for name, value in fields.items()}
            for vocabulary, fields in narrowed.fields.items()
        }


def count_vocabularies(roster: Roster) -> dict[str, int]:
    """How many listed servers have which vocabulary."""
    found: dict[str, int] = {}
    for one in roster.entries.values():
        if one.vocabulary:
            found[one.vocabulary] = found.get(one.vocabulary, 0) + 1
    return found


def routes(work: VocabularyWork, confirm: RouteHandler) -> dict[tuple[str, str], RouteHandler]:
    """Operators' words on a change; a confirmation comes by the route that confirms lists, told apart by its digest."""

    def answered(asking: Asking) -> Coro[tuple[int, bytes]]:
        answer: Answer = yield from work.ask(asking)
        return (200 if answer.yes else 422), msgspec.json.encode(
            {"rejected": None if answer.yes else answer.word}
        )

    def shown(asked: Any) -> Coro[tuple[int, bytes]]:
        yield from ()
        told = work.known.told
        return 200, msgspec.json.encode(told.change if told is not None else {"word": "none"})

    def announce(asked: Any) -> Coro[tuple[int, bytes]]:
        return (yield from answered(Asking("announce", old=asked.get("old", ""), new=asked.get("new", ""))))

    def call_off(asked: Any) -> Coro[tuple[int, bytes]]:
        return (yield from answered(Asking("call off", why=asked.get("why", ""))))

    def confirmed(asked: Any) -> Coro[tuple[int, bytes]]:
        told, digest = work.known.told, asked.get("digest", "")
        if (
            told is not None
            and told.change.summary is not None
            and digest
            and told.change.summary.digest == digest
        ):
            return (yield from answered(Asking("confirm", verdict=digest)))
        return (yield from confirm(asked))

    return {
        ("GET", "/vocabulary"): shown,
        ("POST", "/vocabulary/announce"): announce,
        ("POST", "/vocabulary/call-off"): call_off,
        ("POST", "/fleet/confirm"): confirmed,
    }

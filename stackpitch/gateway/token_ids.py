"""Translates token ids in requests between the vocabularies of servers.

The coordinated task decides which vocabulary they are written for and what they are on servers of each
(`duties.vocabulary.acting`); this module connects it to requests and to the admin port.
"""

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

TranslatedFields = dict[str, dict[str, msgspec.Raw]]  # by vocabulary, then by field of the body


class TokenIdTranslator:
    """Translates the token ids of requests.

    `list_number`: of the list that the task was last notified of.
    """

    def __init__(self, work: VocabularyWork, roster: Roster) -> None:
        self.work, self.roster, self.list_number = work, roster, -1

    def _notify_list(self) -> None:
        if self.list_number != self.roster.lists_applied:
            self.list_number = self.roster.lists_applied
            self.work.acting.listed(
                {name: entry.vocabulary or None for name, entry in self.roster.entries.items()}
            )

    def spoken(self, facts: Facts) -> TranslatedFields | None:
        """The fields that replace those of the body, by each vocabulary that the request may be sent to.

        None if it has no token ids. Removes the gateway's own fields from the body. Raises BadRequest, with
        its meaning and remedy, or BadMessage while the vocabulary's files have not been read yet.
        """
        self._notify_list()
        customer = facts.customer.name if facts.customer is not None else None
        try:
            asked = self.work.written.read(facts.fields, customer, facts.product.name)
            narrowed = self.work.acting.decide(asked)
        except FilesUnread as error:
            raise http.BadMessage(503, f"{error}. {error.remedy}") from None  # the client may retry
        except VocabularyError as error:
            raise BadRequest(getattr(error, "field", "token ids"), f"{error}. {error.remedy}") from None
        if narrowed is None:
            return None
        return {
            vocabulary: {name: msgspec.Raw(msgspec.json.encode(value)) for name, value in fields.items()}
            for vocabulary, fields in narrowed.fields.items()
        }


def count_vocabularies(roster: Roster) -> dict[str, int]:
    """The number of listed servers by vocabulary."""
    counts: dict[str, int] = {}
    for entry in roster.entries.values():
        if entry.vocabulary:
            counts[entry.vocabulary] = counts.get(entry.vocabulary, 0) + 1
    return counts


def routes(work: VocabularyWork, confirm: RouteHandler) -> dict[tuple[str, str], RouteHandler]:
    """The admin routes for operators' requests about a change of vocabulary.

    Confirmations share the route that confirms lists, `confirm`, and are told apart by their digest.
    """

    def answered(asking: Asking) -> Coro[tuple[int, bytes]]:
        answer: Answer = yield from work.ask(asking)
        return (200 if answer.yes else 422), msgspec.json.encode(
            {"rejected": None if answer.yes else answer.word}
        )

    def show(query: Any) -> Coro[tuple[int, bytes]]:
        yield from ()
        known = work.known.told
        return 200, msgspec.json.encode(known.change if known is not None else {"word": "none"})

    def announce(query: Any) -> Coro[tuple[int, bytes]]:
        return (yield from answered(Asking("announce", old=query.get("old", ""), new=query.get("new", ""))))

    def call_off(query: Any) -> Coro[tuple[int, bytes]]:
        return (yield from answered(Asking("call off", why=query.get("why", ""))))

    def confirm_either(query: Any) -> Coro[tuple[int, bytes]]:
        known, digest = work.known.told, query.get("digest", "")
        if (
            known is not None
            and known.change.summary is not None
            and digest
            and known.change.summary.digest == digest
        ):
            return (yield from answered(Asking("confirm", verdict=digest)))
        return (yield from confirm(query))

    return {
        ("GET", "/vocabulary"): show,
        ("POST", "/vocabulary/announce"): announce,
        ("POST", "/vocabulary/call-off"): call_off,
        ("POST", "/fleet/confirm"): confirm_either,
    }

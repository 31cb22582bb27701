"""Judges a run by what clients, workers and discovery saw, against the five rules and their terms. Pure.

`docs/promises.md` lists the terms with the check that holds each. A gateway that did not run for a time is allowed that
time; `excuses` has what else is granted, with the sentence of the pages that grants it.
"""

from collections.abc import Iterator

from soak.oracle import answers, attempts, cold, held, lists, streams, unsound
from soak.oracle.seen import Seen
from soak.stops import lost

RULES = (answers, streams, attempts, lists, held, cold, unsound)


def breaks(seen: Seen) -> Iterator[str]:
    """One line for each."""
    yield from seen.record.wrong
    for rule in RULES:
        yield from rule.breaks(seen)
    for request in seen.record.requests:
        if not seen.broke(request.gateway, request.sent or 0.0, request.ended or seen.end):
            yield from lost(seen.record, request, seen.attempts_of(request))

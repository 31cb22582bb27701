"""For how long the KV state that a read left lies unused, by the terms of the pages. Pure.

The time runs while no attempt of the request is out, and starts again in full as one ends. An attempt is out once
its worker has taken it. A release lets go only of what no attempt waits for, so one that comes while a decode
worker has an attempt, and has not fetched the state yet, lets go of nothing.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from math import inf

from soak.records import Attempt


@dataclass(frozen=True, slots=True)
class Idle:
    """A time in which a state was held and no attempt was out. `end`: infinite if nothing has ended it."""

    begin: float
    end: float


def idle_times(state_since: float, attempts: Sequence[Attempt], releases: Sequence[float]) -> Iterator[Idle]:
    """Of one state. `attempts`: all of its request, the read that left it included; `releases`: when workers took
    releases of the request."""
    out = [one for one in attempts if one.taken is not None]
    settled = min(_fetched(state_since, out), _released(state_since, out, releases))
    begin = state_since
    for one in sorted(out, key=lambda one: one.taken or 0.0):
        taken, ended = one.taken or 0.0, _end(one)
        if ended <= begin:
            continue
        if taken >= settled:
            break
        if taken > begin:
            yield Idle(begin, taken)
        begin = ended
    if begin < settled:
        yield Idle(begin, settled)


def _end(attempt: Attempt) -> float:
    return inf if attempt.ended is None else attempt.ended


def _fetched(state_since: float, out: Sequence[Attempt]) -> float:
    return min(
        (one.fetched for one in out if one.fetched is not None and one.fetched >= state_since), default=inf
    )


def _released(state_since: float, out: Sequence[Attempt], releases: Sequence[float]) -> float:
    waiting = [one for one in out if one.role != "reader"]
    return min(
        (
            at
            for at in releases
            if at >= state_since and not any((one.taken or 0.0) <= at < _end(one) for one in waiting)
        ),
        default=inf,
    )

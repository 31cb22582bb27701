"""When a majority of voters could talk with each other and with a candidate: processes there, no fault between them."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import combinations

from stackpitch.loop import SECOND, Time
from stackpitch.rehearse.judging.lives import FOREVER, Lives, Span
from stackpitch.rehearse.records import Record

LINGERS = frozenset({"repeat", "slow", "reorder"})  # messages under way arrive up to `strength` after it
LATE = LINGERS | {"hold"}
LEARNS: Time = 2 * SECOND  # in which a voter that lost its file learns from the others, once it can


@dataclass(slots=True)
class Calm:
    """A run of time in which these voters and this candidate had no trouble with each other."""

    voters: tuple[int, ...]
    candidate: int
    begin: Time
    end: Time


@dataclass(slots=True)
class Faults:
    """`pairs`: by unordered pair, when a fault lay on either path, or what it delayed could still arrive. `late`: by whom
    it arrives at, from anybody: a renewal that comes late or once more makes a voter wait anew, its owner dead or not."""

    pairs: dict[tuple[int, int], list[Span]]
    late: dict[int, list[Span]]


def faults(records: Iterable[Record]) -> Faults:
    on: dict[str, Record] = {}
    found = Faults(defaultdict(list), defaultdict(list))

    def close(name: str, until: Time) -> None:
        one = on.pop(name)
        span = one["at"], until + (round(one["strength"] * 10) if one["kind"] in LINGERS else 0)
        for pair in sorted({(min(path), max(path)) for path in one["paths"]}):
            found.pairs[pair].append(span)
        for receiver in sorted({to for _, to in one["paths"]} if one["kind"] in LATE else ()):
            found.late[receiver].append(span)

    for one in records:
        if one["what"] == "fault":
            if one["name"] in on:
                close(one["name"], one["at"])
            if one["on"]:
                on[one["name"]] = one
    for name in list(on):
        close(name, FOREVER)
    return found


def free(spans: Iterable[Span], last: Time) -> list[Span]:
    """The times between spans, up to the last."""
    found: list[Span] = []
    at: Time = 0
    for begin, end in sorted(spans):
        if begin > at:
            found.append((at, min(begin, last)))
        at = max(at, end)
    if at < last:
        found.append((at, last))
    return [one for one in found if one[0] < one[1]]


def not_whole(
    lives: Lives, pairs: dict[tuple[int, int], list[Span]], voters: tuple[int, ...], last: Time
) -> dict[int, list[Span]]:
    """Of each voter whose file was harmed: until it could have learnt from a majority of voters other than itself."""
    found: dict[int, list[Span]] = {number: [] for number in voters}
    for number in voters:
        for begin, end in lives.hurt[number]:
            until: Time = FOREVER
            for others in combinations([one for one in voters if one != number], len(voters) // 2 + 1):
                spans = [
                    one
                    for other in others
                    for one in lives.away(other) + pairs[min(number, other), max(number, other)]
                ]
                spans += lives.down[number] + lives.stopped[number] + [(0, end)]
                until = min(
                    [until, *(one + LEARNS for one, over in free(spans, last) if over - one >= LEARNS)]
                )
            found[number].append((begin, until))
    return found


def founded(records: list[Record], lives: Lives, voters: tuple[int, ...], last: Time) -> Time:
    """When all voters were there together for the first time: before it a new fleet has nobody who votes, by design."""
    pairs = faults(records).pairs
    spans = [one for number in voters for one in lives.away(number)]
    spans += [one for two in combinations(sorted(voters), 2) for one in pairs[two]]
    return next((begin for begin, _ in free(spans, last)), last)


def read(
    records: list[Record], lives: Lives, voters: tuple[int, ...], gateways: int, last: Time
) -> list[Calm]:
    seen = faults(records)
    pairs = seen.pairs
    unlearnt = not_whole(lives, pairs, voters, last)
    found: list[Calm] = []
    for some in combinations(sorted(voters), len(voters) // 2 + 1):
        for candidate in range(gateways):
            there = sorted({*some, candidate})
            spans = [one for number in there for one in lives.down[number] + lives.stopped[number]]
            spans += [
                one for number in some for one in lives.hurt[number] + unlearnt[number] + seen.late[number]
            ]
            spans += [one for two in combinations(there, 2) for one in pairs[two]]
            found += [Calm(some, candidate, begin, end) for begin, end in free(spans, last)]
    return found

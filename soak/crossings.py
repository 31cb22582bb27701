"""Which pairs of events met a request, and at which of its stages. `python -m soak.crossings FILE ...` adds up files of seeds.

An event is a trouble of the plan, by the name that the promises' page has for its kind, or a client's leaving. It
touches a request whose gateway or worker it is at, for as long as it lasts.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from itertools import combinations_with_replacement
from pathlib import Path

from soak.records import Attempt, Record, Request

NEAR = 0.05  # seconds around a stage
WANTED = 20  # meetings of each pair at each stage
LEAVES = "client leaves"
KINDS = {
    "stop": ("roll",),
    "kill": ("kill",),
    "pause": ("stop-short", "stop-long"),
    "reload": ("hup", "hup-settings"),
    "worker hangs": ("hang", "hang-midway", "slow", "silent", "deaf", "mute-idle", "comments", "pauses"),
    "worker breaks": (
        "break",
        "fail",
        "stray",
        "cut",
        "half-close",
        "garbage",
        "reset",
        "close-idle",
        "pieces",
        "late-reset",
        "departs",
        "forms",
        "unsound",
    ),
    "worker declines": ("decline", "forget"),
    "late connect": ("late-connect", "delay"),
    "worker drains": ("drain", "drain-long"),
    "worker dies": ("die",),
    "worker joins": ("join",),
    "discovery fails": (
        "discovery-down",
        "discovery-silent",
        "discovery-late",
        "discovery-reset",
        "discovery-pieces",
        "discovery-mute",
        "discovery-unsound",
    ),
    "system fails": ("short-io", "local", "broken-io"),
    "clock steps": ("clock",),
    "crowd": ("crowd", "burst", "unsound-requests"),
}
# Of these a gateway has one at a time: the next waits for its end.
ONE_AT_A_TIME = ("stop", "kill", "pause")
EVENT_OF = {kind: name for name, kinds in KINDS.items() for kind in kinds}
EVENTS = (*KINDS, LEAVES)


class Stage(StrEnum):
    """Of a request."""

    TAKEN = "taken"  # no attempt yet
    PREFILL = "prefill"
    HANDOVER = "handover"  # read, and not yet at a decode worker
    DECODE = "decode"  # no event yet
    STREAMING = "streaming"
    BETWEEN = "between attempts"


Crossing = tuple[str, str, Stage]


@dataclass(frozen=True, slots=True)
class Event:
    """`where`: names of gateways or workers; none: everywhere."""

    name: str
    begin: float
    end: float
    where: frozenset[str] = frozenset()


def met(record: Record, events: list[Event]) -> Counter[Crossing]:
    """How many requests met each pair at each stage."""
    by_request: dict[str, list[Attempt]] = {}
    for attempt in sorted(record.attempts, key=lambda one: one.began):
        by_request.setdefault(attempt.request, []).append(attempt)
    found: Counter[Crossing] = Counter()
    for request in record.requests:
        if request.sent is None:
            continue
        attempts = by_request.get(request.name, [])
        near = _touching(request, attempts, events)
        crossings = {
            (first, second, stage)
            for stage, begin, end in stages(request, attempts)
            for first, second in _pairs(near, begin - NEAR, end + NEAR)
        }
        found.update(crossings)
    return found


def stages(request: Request, attempts: list[Attempt]) -> Iterator[tuple[Stage, float, float]]:
    """With the time that each took."""
    at, stage = request.sent or 0.0, Stage.TAKEN
    for attempt in attempts:
        yield stage, at, attempt.began
        at = attempt.ended or attempt.began
        if attempt.role == "reader":
            yield Stage.PREFILL, attempt.began, at
        else:
            first = attempt.events[0] if attempt.events else at
            yield Stage.DECODE, attempt.began, first
            if attempt.events:
                yield Stage.STREAMING, first, at
        stage = Stage.HANDOVER if attempt.outcome == "read" else Stage.BETWEEN
    end = request.ended or request.left or at
    if end > at and not (attempts and attempts[-1].events):
        yield stage, at, end


def _touching(request: Request, attempts: list[Attempt], events: list[Event]) -> list[Event]:
    names = {request.gateway, *(one.worker for one in attempts)}
    near = [one for one in events if not one.where or one.where & names]
    if request.left is not None:
        near.append(Event(LEAVES, request.left, request.left))
    return near


def _pairs(events: list[Event], begin: float, end: float) -> Iterator[tuple[str, str]]:
    """Of different events that both touch this time."""
    here = [one for one in events if one.begin <= end and one.end >= begin]
    counts = Counter(one.name for one in here)
    names = [name for name in EVENTS if counts[name]]
    for first, second in combinations_with_replacement(names, 2):
        if first != second or counts[first] > 1:
            yield first, second


def can_meet(first: str, second: str) -> bool:
    """Whether both can touch one request: a gateway is signalled by one trouble at a time, a client leaves once."""
    alone = first in ONE_AT_A_TIME and second in ONE_AT_A_TIME
    return not alone and not first == second == LEAVES


def written(crossings: Counter[Crossing]) -> str:
    """One line of a file that seeds write to."""
    return json.dumps([[*crossing, count] for crossing, count in crossings.items()])


def read(text: str) -> Counter[Crossing]:
    """What `written` wrote, of all lines."""
    found: Counter[Crossing] = Counter()
    for line in text.splitlines():
        for first, second, stage, count in json.loads(line):
            found[first, second, Stage(stage)] += count
    return found


def main() -> int:
    """Prints how often each pair was met, and what was met seldom or never."""
    found: Counter[Crossing] = Counter()
    seeds = 0
    for path in sys.argv[1:]:
        text = Path(path).read_text()
        seeds += len(text.splitlines())
        found += read(text)
    pairs = [pair for pair in combinations_with_replacement(EVENTS, 2) if can_meet(*pair)]
    all_of = [(*pair, stage) for pair in pairs for stage in Stage]
    seldom = [one for one in all_of if found[one] < WANTED]
    never = [one for one in seldom if not found[one]]
    print(f"{seeds} seeds: {len(all_of)} crossings of two events at a stage, {found.total()} meetings")
    print(f"{len(seldom)} met fewer than {WANTED} times, {len(never)} of them never")
    by_pair: dict[tuple[str, str], list[str]] = {}
    for first, second, stage in seldom:
        by_pair.setdefault((first, second), []).append(f"{stage} {found[first, second, stage]}")
    for pair, counts in by_pair.items():
        print(f"  {' + '.join(pair)}: {', '.join(counts)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

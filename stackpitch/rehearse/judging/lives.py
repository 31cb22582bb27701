"""When processes were there, from the director's records."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from stackpitch.loop import Time
from stackpitch.rehearse.records import Record

Span = tuple[Time, Time]
FOREVER: Time = 1 << 62


@dataclass(slots=True)
class Lives:
    """By `module.number`. `down`: from a kill, or from SIGTERM ("ended", then "killed" as it
    is gone), until it listens again; `stopped`: SIGSTOP to SIGCONT; `hurt`: its voter's
    file was taken away, set back or given to it twice, to when that was over (the file itself may not be whole then)."""

    starts: dict[int, list[Time]] = field(default_factory=lambda: defaultdict(list))
    kills: dict[int, list[tuple[Time, int]]] = field(default_factory=lambda: defaultdict(list))
    down: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))
    stopped: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))
    hurt: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))

    def started_before(self, number: int, at: Time) -> Time:
        starts = self.starts[number]
        place = bisect_right(starts, at)
        return starts[place - 1] if place else 0

    def harmed_before(self, number: int, at: Time) -> Time:
        """When its voter's file was last taken away or set back; 0: never."""
        return max((begin for begin, _ in self.hurt[number] if begin <= at), default=0)

    def away(self, number: int) -> list[Span]:
        return self.down[number] + self.stopped[number] + self.hurt[number]

    def death_after(self, number: int, at: Time) -> Time:
        """When the process that ran at that time was killed without a word."""
        return next((when for when, signal in self.kills[number] if when >= at and signal != 15), FOREVER)


def read(records: Iterable[Record], names: dict[str, int]) -> Lives:
    lives = Lives()
    gone: dict[int, Time] = dict.fromkeys(names.values(), 0)
    asleep: dict[int, Time] = {}
    harmed: dict[int, Time] = {}
    for one in records:
        number = names.get(one.get("name", ""))
        if one["who"] != "director" or number is None:
            continue
        what, at = one["what"], one["at"]
        if what in ("killed", "ended"):
            if what == "ended" or one["signal"] != 15:
                lives.kills[number].append((at, one.get("signal", 15)))
            gone.setdefault(number, at)
            if number in asleep:
                lives.stopped[number].append((asleep.pop(number), at))
        elif what == "started":
            lives.starts[number].append(at)
        elif what == "listens" and number in gone:
            lives.down[number].append((gone.pop(number), at))
        elif what == "stopped":
            asleep.setdefault(number, at)
        elif what == "continued" and number in asleep:
            lives.stopped[number].append((asleep.pop(number), at))
        elif what == "file":
            harmed.setdefault(number, at)
        elif what == "file-over" and number in harmed:
            lives.hurt[number].append((harmed.pop(number), at))
    for table, left in ((lives.down, gone), (lives.stopped, asleep), (lives.hurt, harmed)):
        for number, since in left.items():
            table[number].append((since, FOREVER))
    return lives

"""Duties' calls as the network saw them, put together from its records."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from stackpitch.loop import Time
from stackpitch.rehearse.records import Record

Stamp = tuple[int, int]  # term, start of the owner's process


@dataclass(slots=True)
class Copy:
    """One passing of a call: a repeated one has two."""

    passed: Time
    answered: Time | None = None
    word: str = ""


@dataclass(slots=True)
class Act:
    """One call. `came`: into the network; `delivered`: when its sender had the answer."""

    number: int
    sender: int
    to: int
    duty: str
    kind: str
    stamp: Stamp
    came: Time
    lease: Time = 0  # asked for, of kind "lease"
    copies: dict[int, Copy] = field(default_factory=dict)
    delivered: Time | None = None

    @property
    def yes(self) -> bool:
        """As its sender heard it."""
        first = self.copies.get(0)
        return self.delivered is not None and first is not None and first.word == "yes"


def read(records: Iterable[Record]) -> list[Act]:
    """In the order in which they came. What is no call of a duty is left out."""
    acts: dict[int, Act] = {}
    for one in records:
        what, at = one["what"], one["at"]
        if what == "call" and "kind" in one:
            term, start = one["stamp"]
            acts[one["call"]] = Act(
                one["call"],
                one["sender"],
                one["to"],
                one["duty"],
                one["kind"],
                (term, start),
                at,
                one.get("ticks", 0),
            )
            continue
        act = acts.get(one.get("call", 0))
        if act is None:
            continue
        if what == "passed":
            act.copies[one["copy"]] = Copy(at)
        elif what == "answered" and one["copy"] in act.copies:
            act.copies[one["copy"]].answered = at
            act.copies[one["copy"]].word = one.get("word", "")
        elif what == "delivered":
            act.delivered = at
    return list(acts.values())

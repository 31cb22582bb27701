"""Whom a voter tells that a duty is vacant, and when: a few at first, more while nobody takes it.

Candidates wait to be told, so an idle fleet is silent and a vacancy starts one campaign, not one a gateway. The order is the
same at all voters, and another one for each duty, which spreads them.
"""

from dataclasses import dataclass
from zlib import crc32

from stackpitch.loop import MS, Time

STEP: Time = 1200  # between two steps; a campaign takes two turns to the voters and back
APART: Time = (
    30 * MS
)  # between candidates told in one step: the first one's campaign is over before the next begins
MOST = (
    16  # told in one step: with all steps together a vacancy costs the fleet some calls a gateway, spread out
)
SLOWEST: Time = 20_000  # between two steps once everybody has been told in vain, and told again


def order(duty: str, candidates: int) -> list[int]:
    return sorted(range(candidates), key=lambda number: (crc32(f"{duty} {number}".encode()), number))


@dataclass(slots=True)
class Vacancy:
    """One duty's, at one voter. `last`: who had it; told last, as a lease that ran out speaks against it."""

    order: list[int]
    last: int | None = None
    at: int = 0  # place in the order
    count: int = 1  # to be told next
    due: Time = 0
    step: Time = STEP

    def begin(self, now: Time, last: int | None) -> None:
        self.last, self.at, self.count, self.due, self.step = last, 0, 1, now, STEP

    def next(self, now: Time) -> list[int]:
        """Who is to be told now; goes round for as long as nobody takes the duty."""
        if now < self.due:
            return []
        others = [one for one in self.order if one != self.last] + ([] if self.last is None else [self.last])
        told = [others[(self.at + step) % len(others)] for step in range(min(self.count, len(others)))]
        self.at += len(told)
        if self.at >= len(others):
            self.at, self.step = 0, min(2 * self.step, SLOWEST)
        self.count, self.due = min(2 * self.count, MOST), now + self.step
        return told

    def hurry(self, now: Time) -> bool:
        """None of those told is there: the next ones needn't wait, if it is the first way round and not yet crowded."""
        if self.count >= MOST or self.step > STEP:
            return False
        self.due = now
        return True

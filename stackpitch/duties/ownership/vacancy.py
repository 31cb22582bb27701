"""Whom a voter tells that a duty is vacant, and when: a few at first, more while nobody takes it.

Candidates wait to be told, so an idle fleet is silent and a vacancy starts one campaign, not one a gateway. The order is the
same at all voters, and another one for each duty, which spreads them.
"""

from dataclasses import dataclass
from zlib import crc32

from stackpitch.loop import Time

STEP: Time = 1200  # between two steps; a campaign takes two turns to the voters and back
MOST = 16  # told in one step: with all steps together a vacancy costs the fleet some calls a gateway, spread out


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

    def begin(self, now: Time, last: int | None) -> None:
        self.last, self.at, self.count, self.due = last, 0, 1, now

    def next(self, now: Time) -> list[int]:
        """Who is to be told now; goes round for as long as nobody takes the duty."""
        if now < self.due:
            return []
        others = [one for one in self.order if one != self.last] + ([] if self.last is None else [self.last])
        told = [others[(self.at + step) % len(others)] for step in range(min(self.count, len(others)))]
        self.at = (self.at + len(told)) % len(others)
        self.count, self.due = min(2 * self.count, MOST), now + STEP
        return told

    def hurry(self, now: Time) -> None:
        """None of those told is there: the next ones needn't wait."""
        self.due = now

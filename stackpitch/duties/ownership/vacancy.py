"""Which candidates a voting replica notifies of a vacant duty, and when: few at first, then more.

Candidates wait for a notification, so an idle fleet sends nothing and a vacancy starts one campaign rather
than one per gateway. All voting replicas use the same order; it differs between duties, which spreads them.
"""

from dataclasses import dataclass
from zlib import crc32

from stackpitch.loop import MS, Time

STEP_INTERVAL: Time = 1200  # ticks between two steps; a campaign takes two round trips to the voting replicas
# Between candidates notified in one step, so that the first one's campaign ends before the next begins.
CANDIDATE_SPACING: Time = 30 * MS
# Candidates notified in one step: over all steps a vacancy costs the fleet some calls per gateway, spread
# out.
MAX_PER_STEP = 16
MAX_STEP_INTERVAL: Time = 20_000  # ticks; the interval doubles after each pass over all candidates


def candidate_order(duty: str, candidates: int) -> list[int]:
    """The candidates' numbers in the order in which a vacancy of `duty` is offered to them."""
    return sorted(range(candidates), key=lambda number: (crc32(f"{duty} {number}".encode()), number))


@dataclass(slots=True)
class VacancyNotifier:
    """The notifications of one duty's vacancy by one voting replica.

    `previous_holder` is notified last, as its lease ran out.
    """

    candidates: list[int]
    previous_holder: int | None = None
    position: int = 0  # in the list of candidates
    batch_size: int = 1  # of the next step
    due: Time = 0
    interval: Time = STEP_INTERVAL

    def start(self, now: Time, previous_holder: int | None) -> None:
        """Begins a new vacancy, with the first candidate due now."""
        self.previous_holder, self.position, self.batch_size, self.due, self.interval = (
            previous_holder,
            0,
            1,
            now,
            STEP_INTERVAL,
        )

    def next_candidates(self, now: Time) -> list[int]:
        """The candidates to notify now, empty before `due`; starts over while nobody takes the duty."""
        if now < self.due:
            return []
        others = [one for one in self.candidates if one != self.previous_holder] + (
            [] if self.previous_holder is None else [self.previous_holder]
        )
        notified = [
            others[(self.position + step) % len(others)] for step in range(min(self.batch_size, len(others)))
        ]
        self.position += len(notified)
        if self.position >= len(others):
            self.position, self.interval = 0, min(2 * self.interval, MAX_STEP_INTERVAL)
        self.batch_size, self.due = min(2 * self.batch_size, MAX_PER_STEP), now + self.interval
        return notified

    def skip_wait(self, now: Time) -> bool:
        """Makes the next step due now, as no notified candidate was reachable; returns whether it did.

        Only during the first pass and below the largest step.
        """
        if self.batch_size >= MAX_PER_STEP or self.interval > STEP_INTERVAL:
            return False
        self.due = now
        return True

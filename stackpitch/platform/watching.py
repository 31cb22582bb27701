"""The timing of calls to discovery, derived from the one bound within which a change has to be known. Pure.

A change has to be known `MAX_STALENESS` after discovery had it and could be reached. Within that time must
fit a watch that goes silent as soon as it is sent, or a discovery that returns just after an attempt began,
then `MAX_FAILED_ATTEMPTS` failed attempts and a slow answer.
"""

from dataclasses import dataclass
from zlib import crc32

from stackpitch.loop import MS, SECOND, Time

MAX_STALENESS = 6 * SECOND
# Attempts in a row that may be refused, time out or be answered badly while the next is still in time.
MAX_FAILED_ATTEMPTS = 3
MAX_CONNECTIONS = 4  # to discovery at once; each has a reserved descriptor
MIN_CONNECTING_GAP = 50 * MS
MIN_GAP_FACTOR = 0.75  # of a gap: the shortest that any gateway uses


@dataclass(frozen=True, slots=True)
class WatchTimes:
    """One gateway's timing of its calls to discovery."""

    wait: Time  # how long discovery may hold a watch open until there is news
    grace: Time  # how long the answer may take after that before the watch counts as silent
    # Before the first attempt after a failure, so that gateways that lost their watches together spread out.
    pause: Time
    gaps: tuple[Time, ...]  # between the starts of successive attempts; the last one repeats
    connecting_gap: Time  # the same, after an attempt whose connection was not established
    answer: Time  # for a successful attempt: connecting and the complete list
    # Before the next call after an immediate answer without news. Less than 200 ms, for which a watch goes on
    # between two calls.
    rest: Time

    @property
    def overlap(self) -> Time:
        """From the start of a watch that is not answered to the start of the next call."""
        return self.wait + self.grace

    def gap(self, attempt: int) -> Time:
        """From the start of attempt number `attempt`, counted from 0, to the start of the next."""
        return self.gaps[min(attempt, len(self.gaps) - 1)]

    def silent(self) -> Time:
        """Worst case from a watch that is silent from its first moment to the complete list."""
        return self.overlap + self.recovered()

    def recovered(self) -> Time:
        """Worst case from a failure, or a change of address, to the complete list."""
        return self.pause + sum(self.gap(attempt) for attempt in range(MAX_FAILED_ATTEMPTS)) + self.answer

    def back(self) -> Time:
        """Worst case from discovery's return after a long outage to the complete list.

        An attempt has begun just before the return and fails.
        """
        return (1 + MAX_FAILED_ATTEMPTS) * self.gaps[-1] + self.answer

    def margin(self) -> Time:
        """What is left of the bound in the worst case."""
        return MAX_STALENESS - max(self.silent(), self.back())


def gateway_spread(name: str, seed: int) -> float:
    """A number from 0 to 1 that differs between gateways."""
    return crc32(f"{seed} {name}".encode()) / (1 << 32)


def watch_times(spread: float, drain_grace: Time = SECOND) -> WatchTimes:
    """`spread`: from 0 to 1, see `gateway_spread`. It makes the attempts of different gateways drift apart.

    `drain_grace`: for how long after a change a server that drains may still be sent to. What discovery has at
    its return from an outage counts as told at once, so the next attempt has to begin within that time.
    """
    unit = MAX_STALENESS // 30
    short = min(unit, drain_grace // 2)
    factor = MIN_GAP_FACTOR + (1 - MIN_GAP_FACTOR) * spread
    gaps = tuple(int(count * unit * factor) for count in (1, 2, 4))
    return WatchTimes(
        wait=9 * unit,
        grace=3 * unit,
        pause=int(short * spread / 2),
        gaps=gaps,
        connecting_gap=max(MIN_CONNECTING_GAP, int(short * factor)),
        answer=5 * unit,
        rest=unit // 4,
    )

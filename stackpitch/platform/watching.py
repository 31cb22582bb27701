"""When discovery is asked: every time of it follows from the one bound within which a change has to be known. Pure.

A change counts as told `BOUND` after discovery had it and could be reached. A watch that fell silent the moment it went
out, or a discovery that returns just after a try began, has to fit in that with `BAD` spoilt tries and a slow answer.
"""

from dataclasses import dataclass
from zlib import crc32

from stackpitch.loop import SECOND, Time

BOUND = 6 * SECOND
BAD = 3  # tries in a row that may be refused, silent or spoilt, and the next still be in time
TRIES = 4  # connections to discovery at once, each with a descriptor of the reserve
LEAST_SHARE = 0.75  # of a gap: the shortest among the gateways


@dataclass(frozen=True, slots=True)
class WatchTimes:
    wait: Time  # a watch may wait so long for news
    grace: Time  # and its answer take so long after that; then it is silent
    pause: Time  # before the first try after a failure: gateways that all lost their watch at once don't ask at once
    gaps: tuple[Time, ...]  # between the starts of tries, in order; the last for all that follow
    answer: Time  # connection and whole list of a try that is good
    rest: Time  # before the next call when an answer came at once and told nothing new; a watch goes on for 200 ms

    def gap(self, place: int) -> Time:
        return self.gaps[min(place, len(self.gaps) - 1)]

    def silent(self) -> Time:
        """From a watch that is silent from its first moment to the whole list."""
        return self.wait + self.grace + self.taken_up()

    def taken_up(self) -> Time:
        """From a failure, or another address, to the whole list."""
        return self.pause + sum(self.gap(place) for place in range(BAD)) + self.answer

    def back(self) -> Time:
        """From discovery's return after a long silence to the whole list: a try has just begun, and was in vain."""
        return (1 + BAD) * self.gaps[-1] + self.answer

    def margin(self) -> Time:
        return BOUND - max(self.silent(), self.back())


def gateway_spread(name: str, seed: int) -> float:
    """From 0 to 1, another one at each gateway."""
    return crc32(f"{seed} {name}".encode()) / (1 << 32)


def watch_times(spread: float) -> WatchTimes:
    """`spread`: from 0 to 1, the gateway's own. Tries of different gateways drift apart by it."""
    part = BOUND // 30
    gaps = tuple(int(count * part * (LEAST_SHARE + (1 - LEAST_SHARE) * spread)) for count in (1, 2, 4))
    return WatchTimes(
        wait=9 * part,
        grace=3 * part,
        pause=int(part * spread / 2),
        gaps=gaps,
        answer=5 * part,
        rest=part // 4,
    )

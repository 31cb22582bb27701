"""How long is waited between tries, and how much is done at once. Whom a voter tells of a vacancy, and when: `vacancy`."""

from dataclasses import dataclass, field
from zlib import crc32

from stackpitch.loop import MS, SECOND, Time

JOIN: Time = (
    200 * MS
)  # between two rounds of a voter that starts: some tens of them within the lease that it keeps quiet
ROUND: Time = (
    100 * MS
)  # after an owner's round that no majority answered; its lease bounds how many there are
SPLIT: Time = (
    150 * MS
)  # within which a candidate that lost a campaign after its pre-vote begins none: some campaigns long
REST: Time = 10 * SECOND  # after work that broke, in which this gateway leaves the duty to others
LEARN: Time = (
    300 * MS
)  # between two rounds of a gateway that learns the terms in service; doubles up to `LEARN_LONGEST`
LEARN_LONGEST: Time = 10 * SECOND  # a fleet without its voters is not asked all the time
ANNOUNCE: Time = 500 * MS  # before those that were not reached are told once more; doubles up to the period
AT_ONCE = 8  # announcements under way from one owner: 1,024 gateways are told in some turns, and none crowds out renewals


def split_rest(duty: str, number: int, count: int) -> Time:
    """After the `count`th campaign that was split: not the same for two candidates, nor for one twice."""
    return crc32(f"{duty} {number} {count}".encode()) % SPLIT


def learn_again(pause: Time) -> Time:
    """The next pause after this one."""
    return min(2 * pause, LEARN_LONGEST)


@dataclass(slots=True)
class Announcing:
    """Whom an owner tells next that it is there: everybody once in a period, those that were not reached soon again."""

    everybody: list[int]
    period: Time
    due: Time  # for everybody
    wanted: list[int] = field(init=False)
    pause: Time = ANNOUNCE

    def __post_init__(self) -> None:
        self.wanted = list(self.everybody)

    def told(self, now: Time, missed: list[int]) -> Time:
        """After a round that didn't reach `missed`; how long to wait before `next`."""
        self.wanted = missed
        if not missed:
            return max(ANNOUNCE, self.due - now)
        wait, self.pause = min(self.pause, self.period), min(2 * self.pause, self.period)
        return wait

    def next(self, now: Time) -> list[int]:
        if now >= self.due:
            self.wanted, self.pause, self.due = list(self.everybody), ANNOUNCE, now + self.period
        return self.wanted

"""Retry intervals and concurrency limits of coordinated tasks, and the schedule of an owner's announcements.

`vacancy` decides which candidates a voting replica notifies of a vacancy, and when.
"""

from dataclasses import dataclass, field
from zlib import crc32

from stackpitch.loop import MS, SECOND, Time

# Between two rounds of a voting replica that is joining: some tens of rounds fit in the lease duration for
# which it grants nothing after a start.
JOIN_INTERVAL: Time = 200 * MS
# After an owner's round that no majority answered; the lease bounds how many such rounds there are.
ROUND_RETRY_DELAY: Time = 100 * MS
# The longest back-off of a candidate that lost a campaign after winning its pre-vote: some campaigns long.
MAX_SPLIT_VOTE_BACKOFF: Time = 150 * MS
# After the duty's work failed: for this long the gateway leaves the duty to others.
FAILURE_BACKOFF: Time = 10 * SECOND
# Between two rounds of a gateway that learns the terms in service; doubles up to `MAX_LEARN_INTERVAL`.
LEARN_INTERVAL: Time = 300 * MS
MAX_LEARN_INTERVAL: Time = 10 * SECOND  # bounds the calls of a fleet whose voting replicas are all down
# Before unreached gateways are notified again; doubles up to the announcement period.
ANNOUNCE_RETRY_DELAY: Time = 500 * MS
# Per owner: 1,024 gateways are notified in batches, so that announcements don't delay lease renewals.
MAX_CONCURRENT_ANNOUNCEMENTS = 8


def split_vote_backoff(duty: str, number: int, count: int) -> Time:
    """The back-off after the `count`th split vote, in ticks; differs by candidate and by attempt."""
    return crc32(f"{duty} {number} {count}".encode()) % MAX_SPLIT_VOTE_BACKOFF


def next_learn_interval(pause: Time) -> Time:
    """The interval that follows `pause`, in ticks: exponential, bounded by `MAX_LEARN_INTERVAL`."""
    return min(2 * pause, MAX_LEARN_INTERVAL)


@dataclass(slots=True)
class AnnouncementSchedule:
    """Which gateways an owner announces itself to next: all once per period, unreached ones again sooner.

    `targets` holds the gateways of the next round, at most all of them; each round replaces it.
    """

    gateways: list[int]
    period: Time
    due: Time  # of the next announcement to all gateways
    targets: list[int] = field(init=False)
    retry_delay: Time = ANNOUNCE_RETRY_DELAY

    def __post_init__(self) -> None:
        self.targets = list(self.gateways)

    def record_round(self, now: Time, missed: list[int]) -> Time:
        """Records that a round didn't reach `missed`; returns the ticks until the next round."""
        self.targets = missed
        if not missed:
            return max(ANNOUNCE_RETRY_DELAY, self.due - now)
        wait, self.retry_delay = min(self.retry_delay, self.period), min(2 * self.retry_delay, self.period)
        return wait

    def next_targets(self, now: Time) -> list[int]:
        """The gateways to announce to now; all of them once a period has passed."""
        if now >= self.due:
            self.targets, self.retry_delay, self.due = (
                list(self.gateways),
                ANNOUNCE_RETRY_DELAY,
                now + self.period,
            )
        return self.targets

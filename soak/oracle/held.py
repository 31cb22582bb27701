"""Rule 5: with no attempt out, what is held is used or released in time."""

from collections import defaultdict
from collections.abc import Iterator
from math import inf

from soak.oracle.excuses import Excuse
from soak.oracle.seen import Seen
from soak.oracle.state_life import Idle, idle_times
from soak.records import Attempt

HELD_MORE = 0.3  # seconds over what the settings allow


def breaks(seen: Seen) -> Iterator[str]:
    """Of each read that left a state."""
    allowed = float(seen.settings["extra"]["releaseMs"]) / 1000 + HELD_MORE
    released: dict[str, list[float]] = defaultdict(list)
    for one in seen.record.releases:
        released[one.request].append(one.at)
    for name, attempts in seen.attempts.items():
        for read in attempts:
            if read.state_since is not None:
                for idle in idle_times(read.state_since, attempts, released[name]):
                    yield from _judged(seen, read, idle, allowed)


def _judged(seen: Seen, read: Attempt, idle: Idle, allowed: float) -> Iterator[str]:
    gateway = read.gateway
    limit = seen.due(gateway, idle.begin, allowed)
    if idle.end <= limit:
        return
    if (
        excuse := _excuse(seen, read, idle.begin, limit) or _nobody_ran(seen, gateway, idle, allowed)
    ) is not None:
        seen.excused[excuse] += 1
        return
    how = "never" if idle.end == inf else f"{idle.end - idle.begin:.2f} s after the last attempt's end"
    yield f"rule 5: what {read.worker} held for {read.request} of {gateway} was used or let go of {how}"


def _excuse(seen: Seen, read: Attempt, begin: float, limit: float) -> Excuse | None:
    if seen.killed(read.gateway, read.began, limit):
        return Excuse.KILLED
    if seen.broke(read.gateway, begin, limit):
        return Excuse.BROKEN_IO
    return Excuse.RUN_ENDED if limit > seen.end else None


def _nobody_ran(seen: Seen, gateway: str, idle: Idle, allowed: float) -> Excuse | None:
    """No worker that the gateway had been told of took anything in the page's time over the settings', and what was held was
    let go of in time once one did. That time is one in which the gateway itself ran."""
    since = seen.due(gateway, idle.begin, allowed - HELD_MORE) - seen.slack
    ran = seen.first_take(gateway, since)
    if ran < seen.due(gateway, idle.begin, allowed) - seen.slack:
        return None
    limit = seen.due(gateway, ran, allowed)
    in_time = min(idle.end, seen.end) <= limit
    return Excuse.NOBODY_RAN if in_time or seen.killed(gateway, idle.begin, limit) else None

"""Rule 4: what all gateways together send to a worker that has just started."""

from collections import defaultdict
from collections.abc import Iterator
from math import sqrt

from soak.oracle.seen import Seen
from soak.records import Start

NEAR = 5.0  # seconds to each side, over which a warm worker's load is counted
FEW = 30  # attempts under which chance is given more room
KNEW_PART = 2 / 3  # of what came, by gateways that had been told of the start


def breaks(seen: Seen) -> Iterator[str]:
    """Of each start, the first time that too much came."""
    given = seen.settings["guarantees"]
    warm_up, cold_from = float(given["warmUpMs"]) / 1000, float(given["coldFrom"])
    window, multiple = float(given["fallMs"]) / 1000, float(given["fallMultiple"])
    by_worker: dict[str, list[float]] = defaultdict(list)
    senders: dict[tuple[str, float], str] = {}
    roles = {one.worker: one.role for one in seen.record.attempts}
    for attempt in seen.record.attempts:
        if attempt.whole is not None:
            by_worker[attempt.worker].append(attempt.whole)
            senders[attempt.worker, attempt.whole] = attempt.gateway
    for start in seen.record.starts:
        mine = sorted(at for at in by_worker[start.worker] if start.at <= at < start.at + warm_up)
        peers = [name for name, role in roles.items() if role == start.role and name != start.worker]
        usual = _usual(by_worker, peers, start.at)
        for index, at in enumerate(mine):
            late = [one for one in mine[: index + 1] if one > at - window]
            came = len(late)
            knew = sum(_knew(seen, senders[start.worker, one], start, one) for one in late)
            warmth = cold_from + (1 - cold_from) * ((at - start.at) / warm_up) ** 2
            bound = most(multiple * warmth * usual * window)
            if came > bound and knew > came * KNEW_PART:
                yield (
                    f"rule 4: {start.worker} got {came} attempts within {window} s, {at - start.at:.1f} s after "
                    f"its start; {bound:.1f} are allowed"
                )
                break


def most(budget: float) -> float:
    """Attempts that a budget allows, with its room for chance."""
    roots = 3 if budget < FEW else 2
    return budget + roots * sqrt(budget) + roots


def _knew(seen: Seen, gateway: str, start: Start, at: float) -> bool:
    """Whether it had been told of the start."""
    return any(
        one.gateway == gateway and one.worker == start.worker and start.at <= one.at < at
        for one in seen.record.told_up
    )


def _usual(by_worker: dict[str, list[float]], peers: list[str], around: float) -> float:
    """Attempts a second that other workers of the role got around then, in the mean of those that got any."""
    near = [sum(abs(at - around) < NEAR for at in by_worker[name]) for name in peers]
    some = [count / (2 * NEAR) for count in near if count]
    return sum(some) / len(some) if some else 0.0

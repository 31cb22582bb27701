"""W1: in any second, no link carries more than its capacity and a stated burst.

After an edit the capacity before counts for as long as gateways take to look at the file, and one grant's time.
"""

from collections import defaultdict, deque
from collections.abc import Iterable

from stackpitch.loop import SECOND, Time
from stackpitch.rehearse.judging.weights.country import Country, Key
from stackpitch.rehearse.judging.weights.transfers import Transfer
from stackpitch.rehearse.rules import Breach


def over(transfers: Iterable[Transfer], country: Country, told: Time, burst: Time, rule: int) -> list[Breach]:
    """The worst second of each link that broke it."""
    window: dict[Key, deque[Transfer]] = defaultdict(deque)
    sums: dict[Key, int] = defaultdict(int)
    worst: dict[Key, tuple[float, int, int, Time]] = {}
    for one in transfers:
        for key in one.path:
            inside = window[key]
            inside.append(one)
            sums[key] += one.size
            while inside[0].at <= one.at - SECOND:
                sums[key] -= inside.popleft().size
            begin = one.at - SECOND - told - country.at(one.at).grant
            rate = country.rate(key[0], begin, one.at)
            allowed = rate * (SECOND + burst) // SECOND
            if sums[key] > allowed and sums[key] / max(1, allowed) > worst.get(key, (0.0,))[0]:
                worst[key] = sums[key] / max(1, allowed), sums[key], allowed, one.at
    return [
        Breach(
            rule,
            f"{key[0]} {key[1]}",
            f"{key[0]} ({key[1]}) carried {carried} bytes in a second; allowed: {allowed}",
            [f"the second up to {at / 10:.1f} ms"],
        )
        for key, (_, carried, allowed, at) in sorted(worst.items())
    ]

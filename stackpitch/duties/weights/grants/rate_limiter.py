"""How fast a grant may be used: a bucket that fills at its rate and holds `BURST_TIME` of it. Pure."""

from stackpitch.loop import MS, SECOND, Time

BURST_TIME: Time = (
    100 * MS
)  # a lane takes at most so much of its rate at once; so the burst of a link is that of its capacity
SLICE: Time = 40 * MS  # asked for at a time at least, so that calls stay few


class RateLimiter:
    """Empty at first: what an earlier grant of the lane left over is not carried on."""

    def __init__(self, rate: int, now: Time, ends: Time) -> None:
        self.rate, self.at, self.ends = rate, now, ends
        self.had = 0  # units of bytes * ticks a second, so that nothing is lost by rounding

    def _fill(self, now: Time) -> None:
        upto = min(now, self.ends)
        if upto > self.at:
            self.had = min(self.had + self.rate * (upto - self.at), max(self.rate * BURST_TIME, SECOND))
            self.at = upto

    def take(self, now: Time, most: int) -> int:
        """Bytes that may be asked for now: 0 if too few to be worth it, or if the grant is over."""
        self._fill(now)
        if now >= self.ends:
            return 0
        worth = min(most, max(1, self.rate * SLICE // SECOND))
        free = self.had // SECOND
        if free < worth:
            return 0
        given = min(free, most)
        self.had -= given * SECOND
        return given

    def available_at(self, now: Time, most: int) -> Time | None:
        """When `take` is worth asking again; None: not within this grant."""
        self._fill(now)
        worth = min(most, max(1, self.rate * SLICE // SECOND))
        at = now + max(1, -(-(worth * SECOND - self.had) // self.rate))
        return at if at < self.ends else None

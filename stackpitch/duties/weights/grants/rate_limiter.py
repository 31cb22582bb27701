"""Limits the rate at which a grant is used: a token bucket in bytes that holds `BURST_TIME` of its rate. Pure."""

from stackpitch.loop import MS, SECOND, Time

# A lane may take the bytes of this time at once, so the burst on a link is that of its capacity.
BURST_TIME: Time = 100 * MS
MIN_SLICE_TIME: Time = 40 * MS  # the least time whose bytes are requested at once, to keep requests few


class RateLimiter:
    """Starts empty: what an earlier grant of the lane left unused is not carried over. `rate` in bytes a second."""

    def __init__(self, rate: int, now: Time, ends: Time) -> None:
        self.rate, self.filled_at, self.ends = rate, now, ends
        self.credit = 0  # in bytes * SECOND, so that nothing is lost by rounding

    def _fill(self, now: Time) -> None:
        end = min(now, self.ends)
        if end > self.filled_at:
            self.credit = min(
                self.credit + self.rate * (end - self.filled_at), max(self.rate * BURST_TIME, SECOND)
            )
            self.filled_at = end

    def take(self, now: Time, most: int) -> int:
        """Takes up to `most` bytes and returns the number; 0 if too few are available or the grant has ended."""
        self._fill(now)
        if now >= self.ends:
            return 0
        threshold = min(most, max(1, self.rate * MIN_SLICE_TIME // SECOND))
        available = self.credit // SECOND
        if available < threshold:
            return 0
        granted = min(available, most)
        self.credit -= granted * SECOND
        return granted

    def available_at(self, now: Time, most: int) -> Time | None:
        """The earliest time at which `take` returns more than 0; None if that is after the grant's end."""
        self._fill(now)
        threshold = min(most, max(1, self.rate * MIN_SLICE_TIME // SECOND))
        time = now + max(1, -(-(threshold * SECOND - self.credit) // self.rate))
        return time if time < self.ends else None

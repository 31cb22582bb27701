"""Plausibility checks on load and cached token counts reported by servers. Pure; only the standard library.

A share slightly outside 0 to 1 is noise and is clipped, as is a cached token count above its prompt's length.
A value far outside its range, or one that is not a number, is no evidence about the server and is dropped.
Both are counted under a fixed set of names that exist from the start.
"""

from math import nan

from stackpitch.interface import SECOND, Report, Time

SHARE_TOLERANCE = 0.5  # a share that is outside 0 to 1 by at most this is clipped, beyond it dropped
MAX_QUEUED = 1e9  # requests; above any real queue
MIN_LOG_INTERVAL = 10 * SECOND


def parse_number(value: object) -> float:
    """The value as a float; NaN if it is not a number."""
    if isinstance(value, bool) or not isinstance(value, (int, float, str)):
        return nan
    try:
        return float(value)
    except (ValueError, OverflowError):
        return nan


class PlausibilityFilter:
    """Clips or drops implausible values and counts them since the start.

    The caller sets `server` to the name of the server whose values it passes next.
    """

    def __init__(self) -> None:
        self.counts = dict.fromkeys(
            ("load_clipped", "load_dropped", "load_unread", "kept_clipped", "kept_dropped"), 0
        )
        self.server, self.last_server = "", ""
        self.logged_total, self.logged_at = 0, -MIN_LOG_INTERVAL

    def count(self, kind: str) -> None:
        """Counts one implausible value of the current server."""
        self.counts[kind] += 1
        self.last_server = self.server

    def share(self, value: object) -> float | None:
        """A share from 0 to 1; None if it was not reported or is dropped."""
        if value is None:
            return None
        share = parse_number(value)
        if 0 <= share <= 1:
            return share
        if -SHARE_TOLERANCE <= share <= 1 + SHARE_TOLERANCE:
            self.count("load_clipped")
            return min(1.0, max(0.0, share))
        self.count("load_dropped")
        return None

    def queued(self, value: object) -> float | None:
        """A number of queued requests; None if it was not reported or is dropped."""
        if value is None:
            return None
        queued = parse_number(value)
        if 0 <= queued < MAX_QUEUED:
            return queued
        self.count("load_dropped")
        return None

    def report(self, held: object, slots: object, queued: object) -> Report:
        """The load report with each value checked by itself."""
        return Report(self.share(held), self.share(slots), self.queued(queued))

    def cached_tok(self, value: object, prompt_tok: int) -> int:
        """The number of the prompt's tokens that the server found cached; 0 if it is dropped."""
        cached = nan if isinstance(value, str) else parse_number(value)
        if cached < 0 or not cached.is_integer():
            self.count("kept_dropped")
            return 0
        if cached > prompt_tok > 0:  # a prompt length of 0 is unknown, so there is nothing to compare with
            self.count("kept_clipped")
        return int(min(cached, prompt_tok))

    def due_log_fields(self, now: Time) -> dict[str, object] | None:
        """The fields of the log line that is due: the latest implausible value's server, all counts above 0.

        None if nothing was counted since the last line, or that line is less than MIN_LOG_INTERVAL old.
        """
        total = sum(self.counts.values())
        if total == self.logged_total or now - self.logged_at < MIN_LOG_INTERVAL:
            return None
        self.logged_total, self.logged_at = total, now
        return {"last": self.last_server, **{kind: count for kind, count in self.counts.items() if count}}

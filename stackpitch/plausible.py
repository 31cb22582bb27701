"""What servers tell of their load and of kept tokens, held to what can be. Pure; only the standard library.

A share a little outside 0 to 1 is noise and is clipped, as is a kept count over its prompt. What is far outside, or no
number, says nothing of the server and is dropped. Both are counted, by a few kinds that are there from the start.
"""

from math import nan

from stackpitch.interface import SECOND, Report, Time

SHARE_TOLERANCE = 0.5  # of a whole: that far outside its range a share is still taken for one
MOST_QUEUED = 1e9  # requests; no server has so many
SAY = 10 * SECOND  # between two lines of the log at least


def number(told: object) -> float:
    """NaN if it is none."""
    if isinstance(told, bool) or not isinstance(told, (int, float, str)):
        return nan
    try:
        return float(told)
    except (ValueError, OverflowError):
        return nan


class PlausibilityFilter:
    """Counts since the start. `server` is whose word is judged now."""

    def __init__(self) -> None:
        self.counts = dict.fromkeys(
            ("load_clipped", "load_dropped", "load_unread", "kept_clipped", "kept_dropped"), 0
        )
        self.server, self.last = "", ""
        self.said, self.said_at = 0, -SAY

    def count(self, kind: str) -> None:
        self.counts[kind] += 1
        self.last = self.server

    def share(self, told: object) -> float | None:
        if told is None:
            return None
        found = number(told)
        if 0 <= found <= 1:
            return found
        if -SHARE_TOLERANCE <= found <= 1 + SHARE_TOLERANCE:
            self.count("load_clipped")
            return min(1.0, max(0.0, found))
        self.count("load_dropped")
        return None

    def queued(self, told: object) -> float | None:
        if told is None:
            return None
        found = number(told)
        if 0 <= found < MOST_QUEUED:
            return found
        self.count("load_dropped")
        return None

    def report(self, held: object, slots: object, queued: object) -> Report:
        return Report(self.share(held), self.share(slots), self.queued(queued))

    def cached_tok(self, told: object, prompt_tok: int) -> int:
        """Tokens of the prompt that were found kept."""
        found = nan if isinstance(told, str) else number(told)
        if found < 0 or not found.is_integer():
            self.count("kept_dropped")
            return 0
        if found > prompt_tok > 0:  # one whose prompt's length is not told can't be judged
            self.count("kept_clipped")
        return int(min(found, prompt_tok))

    def due_log_fields(self, now: Time) -> dict[str, object] | None:
        """What the log is to say now, if anything: the counts that are not nought, and whose word was doubted last."""
        all = sum(self.counts.values())
        if all == self.said or now - self.said_at < SAY:
            return None
        self.said, self.said_at = all, now
        return {"last": self.last, **{kind: count for kind, count in self.counts.items() if count}}

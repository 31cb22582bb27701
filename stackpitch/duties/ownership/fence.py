"""Fencing at a receiver: it rejects effects under an older stamp than the highest seen of the duty."""

from stackpitch.duties.calls import Stamp


class Fence:
    """One entry per duty in the settings; never removed, as forgetting one would admit an older owner."""

    def __init__(self) -> None:
        self.highest: dict[str, Stamp] = {}

    def admits(self, duty: str, stamp: Stamp) -> bool:
        """Whether an effect under `stamp` may be applied; a newer term fences off all older ones.

        The same term from another start of the process is rejected too: a voting replica that lost its file
        may have granted it to both, and which of them came later is unknown.
        """
        known = self.highest.get(duty, Stamp())
        if stamp.term > known.term:
            self.highest[duty] = stamp
            return True
        return stamp == known and stamp.term > 0

    def highest_stamp(self, duty: str) -> Stamp:
        """The highest stamp seen for the duty; term 0 if none was."""
        return self.highest.get(duty, Stamp())

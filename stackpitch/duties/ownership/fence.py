"""What a receiver of effects remembers: the highest stamp of each duty. Everything under an older one is turned down."""

from stackpitch.duties.calls import Stamp


class Fence:
    """One entry a duty that settings name; never emptied, as forgetting would let an older owner in."""

    def __init__(self) -> None:
        self.highest: dict[str, Stamp] = {}

    def admits(self, duty: str, stamp: Stamp) -> bool:
        """Whether an effect may be taken; one under a newer term shuts out all older ones.

        The same term from another start of the process is turned down too: a voter that lost its file may have let both
        have it, and there is no telling which came later.
        """
        known = self.highest.get(duty, Stamp())
        if stamp.term > known.term:
            self.highest[duty] = stamp
            return True
        return stamp == known and stamp.term > 0

    def highest_stamp(self, duty: str) -> Stamp:
        return self.highest.get(duty, Stamp())

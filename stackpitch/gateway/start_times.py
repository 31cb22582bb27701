"""When servers started, whatever the machines' wall clocks say.

Pure, except that it reads this machine's clocks.
"""

from collections.abc import Container
from dataclasses import dataclass

from stackpitch.loop import SECOND, Time, World

FORGET_AFTER = 60 * SECOND  # a server that returns within this with the same start has not restarted


@dataclass(slots=True)
class StartTime:
    """A server's latest start by this process's clock.

    `claimed`: as the list says, but no later than now. `learned`: when this process learned of it; None:
    the server was there before this process.
    """

    claimed_unix_ms: int
    claimed: Time
    learned: Time | None
    left: Time | None = None  # since when no list has named the server


class StartTimes:
    """When servers started, by this process's monotonic clock.

    Lists give starts in wall time, and any machine's wall clock may be wrong or be stepped. Of a server,
    or a restart, that is learned of after an up-to-date list, one more thing is known: it did not exist
    before that list, but for the time that news takes. The module weighs the claim against it
    (`brain.slow_start`). The claims of servers that were there before this process are believed.

    `by_name` is emptied of a server `FORGET_AFTER` after the last list that named it.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.epoch = (
            world.wall_ms() * 10 - world.now()
        )  # read once, so that clock steps from now on have no effect
        self.current = False  # a list has been applied that was up to date
        self.by_name: dict[str, StartTime] = {}

    def record(self, name: str, claimed_unix_ms: int | None) -> StartTime | None:
        """Records what a list says of a server's start; None: long ago."""
        if claimed_unix_ms is None:
            self.by_name.pop(name, None)
            return None
        known, now = self.by_name.get(name), self.world.now()
        if known is not None and known.claimed_unix_ms == claimed_unix_ms:
            return known
        claimed = min(now, claimed_unix_ms * 10 - self.epoch)
        start = self.by_name[name] = StartTime(claimed_unix_ms, claimed, now if self.current else None)
        return start

    def confirm_current(self) -> None:
        """The list in force is up to date: servers that are learned of from now on are new."""
        self.current = True

    def retain(self, named: Container[str]) -> None:
        """The list names only these servers; forgets those that left long ago."""
        now = self.world.now()
        for name, start in list(self.by_name.items()):
            if name in named:
                start.left = None
            elif start.left is None:
                start.left = now
            elif now - start.left > FORGET_AFTER:
                del self.by_name[name]

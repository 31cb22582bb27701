"""When members started, whatever the machines' wall clocks say. Pure but for the look at this machine's clocks."""

from collections.abc import Container
from dataclasses import dataclass

from stackpitch.loop import SECOND, Time, World

FORGET_AFTER = 60 * SECOND  # a member that comes back unchanged within this has not restarted


@dataclass(slots=True)
class StartTime:
    """A member's latest start by this process's clock: as the list claims it, no later than now, and when it was told of;
    None: it was there when this process came."""

    claimed_unix_ms: int
    claimed: Time
    learned: Time | None
    left: Time | None = None  # since when no list has named it


class StartTimes:
    """When members started, by this process's monotonic clock.

    Lists tell starts in wall time, and any machine's wall clock may be wrong or be stepped. Of a member, or a
    restart, that is told of after a current list had been taken, one more thing is known: there was none before
    that, but for the time that news takes. The module weighs the claim against it (`brain.slow_start`). What was
    there when this process came is taken at its word.

    Emptied of a member `FORGET_AFTER` after the last list that named it.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.epoch = world.wall_ms() * 10 - world.now()  # steps of the clock from now on change nothing
        self.current = False  # a list has been taken that was current then
        self.by_name: dict[str, StartTime] = {}

    def record(self, name: str, claimed_unix_ms: int | None) -> StartTime | None:
        """None: long ago."""
        if claimed_unix_ms is None:
            self.by_name.pop(name, None)
            return None
        known, now = self.by_name.get(name), self.world.now()
        if known is not None and known.claimed_unix_ms == claimed_unix_ms:
            return known
        claimed = min(now, claimed_unix_ms * 10 - self.epoch)
        found = self.by_name[name] = StartTime(claimed_unix_ms, claimed, now if self.current else None)
        return found

    def confirm_current(self) -> None:
        """The list in force is current: whoever is told of from now on is new."""
        self.current = True

    def retain(self, named: Container[str]) -> None:
        """The list names these alone; forgets those that left long ago."""
        now = self.world.now()
        for name, start in list(self.by_name.items()):
            if name in named:
                start.left = None
            elif start.left is None:
                start.left = now
            elif now - start.left > FORGET_AFTER:
                del self.by_name[name]

"""Remembers for a while which requests may have had an effect that must not happen twice."""

from stackpitch.interface import SECOND, Generation, Time
from stackpitch.loop import World

REMEMBERED: Time = 60 * SECOND


class RecentlyRun:
    """The ids of finished requests that may have run and are not idempotent.

    A client that left, or missed its answer, may repeat its request with the same id. Emptied by time: an id
    leaves `REMEMBERED` after its request has finished.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._finished_at: dict[str, Time] = {}  # earliest first

    def add(self, gen: Generation) -> None:
        """Remembers a finished request, if repeating it could repeat its effect."""
        self._forget_old()
        if gen.product.effect != "idempotent" and gen.may_have_run():
            self._finished_at.pop(gen.name, None)  # so that it becomes the latest
            self._finished_at[gen.name] = self._world.now()

    def __contains__(self, name: str) -> bool:
        self._forget_old()
        return name in self._finished_at

    def _forget_old(self) -> None:
        oldest = self._world.now() - REMEMBERED
        while self._finished_at:
            name, finished_at = next(iter(self._finished_at.items()))
            if finished_at > oldest:
                return
            del self._finished_at[name]

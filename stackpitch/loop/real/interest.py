"""What epoll is asked to tell of one descriptor."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stackpitch.loop.real.world import RealWorld

TRY_AGAIN = 50  # tenths of a millisecond until a change is asked for again


class Interest:
    """A descriptor's registration. Its handler is called with the events that came."""

    __slots__ = ("descriptor", "ended", "events", "world")

    def __init__(
        self, world: "RealWorld", descriptor: int, events: int, handler: Callable[[int], None]
    ) -> None:
        """Raises OSError where the system has no room for it; then nothing stays behind."""
        self.world, self.descriptor, self.events, self.ended = world, descriptor, events, False
        world.epoll.register(descriptor, events)
        world.handlers[descriptor] = handler

    def change(self, events: int) -> None:
        """Asks for these events from now on."""
        if events != self.events:
            self.events = events
            self._tell()

    def _tell(self) -> None:
        """Guards against a system that can't for a moment: a change that is lost would be waited on for good."""
        if self.ended:
            return
        try:
            self.world.epoll.modify(self.descriptor, self.events)
        except OSError:
            self.world.at(self.world.now() + TRY_AGAIN, self._tell)

    def end(self) -> None:
        """Nothing more is told. To be called before the descriptor is closed; more than once does no harm."""
        if self.ended:
            return
        self.ended = True
        del self.world.handlers[self.descriptor]
        try:
            self.world.epoll.unregister(self.descriptor)
        except OSError:  # the descriptor's close does the same
            pass

"""The registration of one descriptor with epoll."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stackpitch.loop.real.world import RealWorld

RETRY_DELAY = 50  # tenths of a millisecond before a failed change is retried


class Interest:
    """Registers a descriptor with epoll; `handler` is called with the events that occurred."""

    __slots__ = ("descriptor", "ended", "events", "world")

    def __init__(
        self, world: "RealWorld", descriptor: int, events: int, handler: Callable[[int], None]
    ) -> None:
        """Raises OSError if the system cannot register it; nothing is left registered then."""
        self.world, self.descriptor, self.events, self.ended = world, descriptor, events, False
        world.epoll.register(descriptor, events)
        world.handlers[descriptor] = handler

    def change(self, events: int) -> None:
        """Sets the events to watch for."""
        if events != self.events:
            self.events = events
            self._apply()

    def _apply(self) -> None:
        """Applies the change, retrying after an error: a task would wait forever on a lost change."""
        if self.ended:
            return
        try:
            self.world.epoll.modify(self.descriptor, self.events)
        except OSError:
            self.world.at(self.world.now() + RETRY_DELAY, self._apply)

    def end(self) -> None:
        """Unregisters the descriptor. Must be called before it is closed; may be called more than once."""
        if self.ended:
            return
        self.ended = True
        del self.world.handlers[self.descriptor]
        try:
            self.world.epoll.unregister(self.descriptor)
        except OSError:  # closing the descriptor removes it as well
            pass

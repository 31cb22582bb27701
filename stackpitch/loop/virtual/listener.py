"""Simulated listening sockets."""

from collections import deque
from typing import TYPE_CHECKING

from stackpitch.loop.task import Coro, Task
from stackpitch.loop.virtual.process import Process
from stackpitch.loop.virtual.stream import VirtualStream
from stackpitch.loop.world import Address, ConnectionLost, Stream

if TYPE_CHECKING:
    from stackpitch.loop.virtual.world import VirtualWorld


class VirtualListener:
    """A simulated listening socket. `process` owns it; None: the world itself."""

    def __init__(
        self, world: "VirtualWorld", address: Address, backlog: int, process: Process | None
    ) -> None:
        self.world, self.address, self.backlog, self.process = world, address, backlog, process
        self.queue: deque[VirtualStream] = deque()
        self.waiter: Task | None = None
        self.blocked = self.closed = self.finishing = False
        self.connect_delay = 0  # added to the time that a connection takes to be established
        # Bytes that accepted connections take in before they are read; None: `WINDOW`.
        self.receive_window: int | None = None
        if process is not None:
            process.sockets[self] = None

    def accept(self) -> Coro[Stream]:
        while not self.queue or self.blocked:
            if self.finishing:
                self.close()
            if self.closed:
                raise ConnectionLost("closed here")
            self.waiter = self.world.current
            try:
                yield
            finally:
                self.waiter = None
        return self.queue.popleft()

    def block_connections(self, on: bool) -> None:
        self.blocked = on
        if not on and self.waiter is not None:
            self.waiter.wake()

    def finish(self) -> None:
        self.finishing = True
        if self.waiter is not None:
            self.waiter.wake()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.world.listeners.pop(self.address, None)
            if self.process is not None:
                self.process.sockets.pop(self, None)
            for stream in self.queue:
                stream.abort()
            if self.waiter is not None:
                self.waiter.throw(ConnectionLost("closed here"))

    abort = close

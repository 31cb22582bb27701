"""Simulated connections."""

from collections import deque
from typing import TYPE_CHECKING

from stackpitch.loop.task import Coro, Task
from stackpitch.loop.timers import Time
from stackpitch.loop.virtual.process import Process
from stackpitch.loop.world import Address, ConnectionLost

if TYPE_CHECKING:
    from stackpitch.loop.virtual.world import VirtualWorld

WINDOW = 256 * 1024  # bytes in flight or unread, beyond which data stays buffered at the sender


class VirtualStream:
    """One end of a connection. Data arrives at the other end in order, `latency` after it was sent."""

    def __init__(self, world: "VirtualWorld", peer: Address, process: Process | None, latency: Time) -> None:
        self.world, self.peer, self.process, self.latency = world, peer, process, latency
        self.other: VirtualStream
        self.window = WINDOW
        self.eof = self.closed = self.broken = self.finished = False
        self.inbox: deque[bytes] = deque()
        self.in_flight = 0  # bytes on their way to this end, or unread here
        self.out = bytearray()
        self.reader: Task | None = None
        self.writer: Task | None = None
        if process is not None:
            process.sockets[self] = None

    @property
    def arrived_at(self) -> Time:
        return self.world.earliest_event

    @property
    def buffered(self) -> int:
        return len(self.out)

    def wake_on_input(self, task: Task | None) -> None:
        self.reader = task
        if task is not None and (self.inbox or self.eof or self.broken or self.closed):
            task.wake(True)

    def recv_now(self, max_bytes: int = 65536, force: bool = False) -> bytes | None:
        if self.closed:
            raise ConnectionLost("closed here")
        if self.broken:
            raise ConnectionLost("Connection reset by peer")
        if not self.inbox:
            return b"" if self.eof else None
        data = self.inbox.popleft()
        while self.inbox and len(data) + len(self.inbox[0]) <= max_bytes:
            data += self.inbox.popleft()
        if len(data) > max_bytes:
            self.inbox.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self.in_flight -= len(data)
        self.other.push()
        return data

    def recv(self, max_bytes: int = 65536) -> Coro[bytes]:
        while (data := self.recv_now(max_bytes)) is None:
            self.reader = self.world.current
            try:
                yield
            finally:
                self.reader = None
        return data

    def write(self, data: bytes) -> None:
        if self.closed:
            raise ConnectionLost("closed here")
        if self.broken:
            raise ConnectionLost("Broken pipe")
        self.out += data
        self.push()

    def push(self) -> None:
        """Sends what fits into the other end's window."""
        other = self.other
        free = other.window - other.in_flight
        if self.out and free > 0 and not self.closed:
            data = bytes(self.out[:free])
            del self.out[:free]
            other.in_flight += len(data)
            self.world.network(self.latency, lambda: other.arrive(data))
            if self.writer is not None:
                self.writer.wake()
        if self.finished and not self.out:
            self.finished = False
            self.world.network(self.latency, other.arrive_end)

    def arrive(self, data: bytes) -> None:
        """Receives data from the other end."""
        if self.closed:  # data for a closed socket is answered with a reset
            self.world.network(self.latency, self.other.arrive_reset)
        elif not self.broken:
            self.inbox.append(data)
            self.wake_reader()

    def arrive_end(self) -> None:
        """Receives the end of the stream."""
        if not self.closed:
            self.eof = True
            self.wake_reader()

    def arrive_reset(self) -> None:
        """Receives a reset: unread data is lost."""
        if not self.closed:
            self.broken = self.eof = True
            self.inbox.clear()
            self.wake_reader()
            if self.writer is not None:
                self.writer.wake()

    def wake_reader(self) -> None:
        """Wakes the task that waits for input, if any."""
        if self.reader is not None:
            self.reader.wake(True)

    def drain(self, below: int = 0) -> Coro[None]:
        while len(self.out) > below:
            if self.closed or self.broken:
                raise ConnectionLost("closed here" if self.closed else "Broken pipe")
            self.writer = self.world.current
            try:
                yield
            finally:
                self.writer = None
            if self.closed:  # closing empties the buffer
                raise ConnectionLost("closed here")

    def unacknowledged(self) -> int:
        return 0 if self.closed or self.broken else len(self.out) + self.other.in_flight

    def finish(self) -> None:
        if not self.closed:
            self.finished = True
            self.push()

    def close(self) -> None:
        """Unread data turns the close into a reset, as with a real socket."""
        self._close(bool(self.inbox))

    def abort(self) -> None:
        self._close(True)

    def _close(self, reset: bool) -> None:
        if self.closed:
            return
        self.closed = True
        self.out.clear()
        if self.process is not None:
            self.process.sockets.pop(self, None)
        other = self.other
        self.world.network(self.latency, other.arrive_reset if reset else other.arrive_end)
        for task in (self.reader, self.writer):
            if task is not None:
                task.wake(True)

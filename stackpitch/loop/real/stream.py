"""Connected TCP sockets."""

import errno
import os
import select
import socket
import struct
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import TYPE_CHECKING

from stackpitch.loop.real.closing import close_socket
from stackpitch.loop.real.interest import Interest
from stackpitch.loop.task import Coro, Task
from stackpitch.loop.timers import Time
from stackpitch.loop.world import Address, ConnectionLost

if TYPE_CHECKING:
    from stackpitch.loop.real.world import RealWorld

INT = struct.Struct("i")
BROKEN_EVENTS = select.EPOLLHUP | select.EPOLLERR  # both directions have ended; no call blocks any more
IN_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | BROKEN_EVENTS
END_EVENTS = select.EPOLLRDHUP | BROKEN_EVENTS
OUT_EVENTS = select.EPOLLOUT | BROKEN_EVENTS
WAIT_IN = select.EPOLLIN | select.EPOLLRDHUP
WAIT_OUT = select.EPOLLOUT
# Transient errors, which leave the connection unchanged.
TRANSIENT = (errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, errno.EINTR)


class RealStream:
    """A connected TCP socket, registered level-triggered: epoll reports it as long as it is readable or
    writable.

    So a short read or write says nothing about the socket's buffers, and no further call is needed to find
    out. Input events are not watched while nobody reads what has arrived, nor after the peer's end of stream,
    as each poll would return at once; output events are watched only while data is buffered.
    """

    # Reads, and their bytes, without a wait before other tasks get a turn.
    MAX_WITHOUT_WAIT, MAX_BYTES_WITHOUT_WAIT = 16, 128 << 10

    def __init__(
        self, world: "RealWorld", sock: socket.socket, peer: Address, since: Time | None = None
    ) -> None:
        """`since`: earliest time at which the connection can have been established, if not now. Raises
        OSError if the system cannot register the socket, which then still belongs to the caller."""
        self.world, self.sock, self.peer = world, sock, peer
        self.eof = self.closed = self.finishing = False
        self.broken = False  # with data still buffered
        self.readable = True  # a read may return data
        self.reported = False  # epoll has reported input that has not been read completely since
        self.reader: Task | None = None
        self.writer: Task | None = None
        self.out = bytearray()  # written and not yet sent
        self.without_wait = self.bytes_without_wait = 0  # reads without a wait, and their bytes
        self.arrived_at = world.now() if since is None else since
        # Earliest time at which unread data can have arrived; None if none is known to be there.
        self.since: Time | None = self.arrived_at
        self.fd = sock.fileno()
        self.interest = Interest(world, self.fd, WAIT_IN, self.on_event)

    @property
    def buffered(self) -> int:
        return len(self.out)

    def on_event(self, events: int) -> None:
        if events & BROKEN_EVENTS:
            self.interest.end()  # else each poll would report it; from here on no call blocks
        if events & IN_EVENTS:
            self._on_input(bool(events & END_EVENTS))
        if events & OUT_EVENTS:
            self._on_output()

    def _on_input(self, ended: bool) -> None:
        self.eof = self.eof or ended
        if self.eof or self.reported:
            self.interest.change(self.interest.events & ~WAIT_IN)
        self.readable = self.reported = True
        if self.since is None:
            self.since = self.world.earliest_event
        if self.reader is not None:
            self.reader.wake(True)

    def _on_output(self) -> None:
        if self.out:
            try:
                self._flush()
            except ConnectionLost:
                # A waiting `drain` must not take the emptied buffer for bytes that were sent.
                self.broken = True
                self.out.clear()
        if self.writer is not None:
            self.writer.wake()

    def _mark_unreadable(self) -> None:
        """Nothing more is known to be readable; epoll reports what is there or arrives."""
        self.readable, self.reported, self.since = False, False, None
        self.interest.change(self.interest.events | WAIT_IN)

    def wake_on_input(self, task: Task | None) -> None:
        self.reader = task
        if task is not None and (self.readable or self.closed):
            task.wake(True)

    def recv_now(self, max_bytes: int = 65536, force: bool = False) -> bytes | None:
        if self.closed:
            raise ConnectionLost("closed here")
        if not (self.readable or force):
            return None
        try:
            data = self.sock.recv(max_bytes)
        except OSError as error:
            if error.errno not in TRANSIENT:
                raise ConnectionLost(os.strerror(error.errno or 0)) from None
            if not self.eof:
                self._mark_unreadable()
            return None
        self.arrived_at = self.world.polled_at if self.since is None else self.since
        self.eof = self.eof or not data
        if len(data) < max_bytes and not self.eof:
            self._mark_unreadable()
        return data

    def recv(self, max_bytes: int = 65536) -> Coro[bytes]:
        if (
            self.without_wait >= self.MAX_WITHOUT_WAIT
            or self.bytes_without_wait >= self.MAX_BYTES_WITHOUT_WAIT
        ):
            self.without_wait = self.bytes_without_wait = 0
            yield from self.world.pause()
        while (data := self.recv_now(max_bytes)) is None:
            self.without_wait = self.bytes_without_wait = 0
            self.reader = self.world.current
            try:
                yield
            finally:
                self.reader = None
        self.without_wait += 1
        self.bytes_without_wait += len(data)
        return data

    def write(self, data: bytes) -> None:
        if self.closed:
            raise ConnectionLost("closed here")
        if self.out:
            self.out += data
            return
        sent = self._send(data)
        if sent < len(data):
            self.out += memoryview(data)[sent:]
            self.interest.change(self.interest.events | WAIT_OUT)

    def _send(self, data: bytes | bytearray) -> int:
        """Sends what the system accepts now and returns the number of bytes."""
        try:
            return self.sock.send(data)
        except OSError as error:
            if error.errno in TRANSIENT:
                return 0
            raise ConnectionLost(os.strerror(error.errno or 0)) from None

    def _flush(self) -> None:
        """Sends buffered data; what remains is sent when the socket is writable again."""
        del self.out[: self._send(self.out)]
        if self.out:
            return
        self.interest.change(self.interest.events & ~WAIT_OUT)
        if self.finishing:
            self._shutdown()

    def drain(self, below: int = 0) -> Coro[None]:
        while len(self.out) > below or self.broken:
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
        if self.closed:
            return 0
        try:
            unacked: int = INT.unpack(ioctl(self.fd, TIOCOUTQ, INT.pack(0)))[0]
        except OSError:  # not supported
            unacked = 0
        return len(self.out) + unacked

    def finish(self) -> None:
        if not self.closed:
            self.finishing = True
            if not self.out:
                self._shutdown()

    def _shutdown(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # already disconnected

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.out.clear()
            self.interest.end()
            close_socket(self.sock)
            for task in (self.reader, self.writer):
                if task is not None:
                    task.wake(True)

    def abort(self) -> None:
        if not self.closed:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass  # falls back to a plain close
            self.close()

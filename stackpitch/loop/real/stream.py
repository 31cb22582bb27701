"""Connected sockets of this machine."""

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

NUMBER = struct.Struct("i")
BROKEN_EVENTS = select.EPOLLHUP | select.EPOLLERR  # both directions have ended; every call returns at once
IN_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | BROKEN_EVENTS
END_EVENTS = select.EPOLLRDHUP | BROKEN_EVENTS
OUT_EVENTS = select.EPOLLOUT | BROKEN_EVENTS
WAIT_IN = select.EPOLLIN | select.EPOLLRDHUP
WAIT_OUT = select.EPOLLOUT
NOT_NOW = (errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, errno.EINTR)  # the connection is as it was


class RealStream:
    """A connected TCP socket, watched by level: epoll tells of it for as long as something can be read, or taken.

    So a read or a write that was short promises nothing of the socket's buffers, and needs no further call to find
    out. Epoll isn't asked about reading while nobody takes what has come, and from the other side's end on, or each
    wait would end at once; and about writing only while something is buffered.
    """

    IN_A_ROW = 16  # reads without a wait, then the others get their turn

    def __init__(
        self, world: "RealWorld", sock: socket.socket, peer: Address, since: Time | None = None
    ) -> None:
        """`since`: when it came about at the earliest, if not now. Raises OSError where the system has no room for it;
        the socket is still the caller's then."""
        self.world, self.sock, self.peer = world, sock, peer
        self.eof = self.closed = self.finishing = False
        self.broken = False  # with bytes still buffered here
        self.readable = True  # or may be
        self.told = False  # epoll has told of something that has not been taken whole since
        self.reader: Task | None = None
        self.writer: Task | None = None
        self.out = bytearray()
        self.row = 0
        self.arrived_at = world.now() if since is None else since
        self.since: Time | None = (
            self.arrived_at
        )  # when what may be read came at the earliest; None: nothing is known to be there
        self.fd = sock.fileno()
        self.interest = Interest(world, self.fd, WAIT_IN, self.on_event)

    @property
    def buffered(self) -> int:
        return len(self.out)

    def on_event(self, events: int) -> None:
        if events & BROKEN_EVENTS:
            self.interest.end()  # else each wait would tell of it; from here on no call has to wait
        if events & IN_EVENTS:
            self._on_input(bool(events & END_EVENTS))
        if events & OUT_EVENTS:
            self._on_output()

    def _on_input(self, ended: bool) -> None:
        self.eof = self.eof or ended
        if self.eof or self.told:
            self.interest.change(self.interest.events & ~WAIT_IN)
        self.readable = self.told = True
        if self.since is None:
            self.since = self.world.earliest_event
        if self.reader is not None:
            self.reader.wake(True)

    def _on_output(self) -> None:
        if self.out:
            try:
                self._push()
            except ConnectionLost:
                # A waiting `drain` must not take the emptied buffer for bytes that were sent.
                self.broken = True
                self.out.clear()
        if self.writer is not None:
            self.writer.wake()

    def _emptied(self) -> None:
        """There is nothing more to read, as far as is known: epoll tells if there is, or when it comes."""
        self.readable, self.told, self.since = False, False, None
        self.interest.change(self.interest.events | WAIT_IN)

    def wake_on_input(self, task: Task | None) -> None:
        self.reader = task
        if task is not None and (self.readable or self.closed):
            task.wake(True)

    def recv_now(self, most: int = 65536, force: bool = False) -> bytes | None:
        if self.closed:
            raise ConnectionLost("closed here")
        if not (self.readable or force):
            return None
        try:
            data = self.sock.recv(most)
        except OSError as wrong:
            if wrong.errno not in NOT_NOW:
                raise ConnectionLost(os.strerror(wrong.errno or 0)) from None
            if not self.eof:
                self._emptied()
            return None
        self.arrived_at = self.world.polled_at if self.since is None else self.since
        self.eof = self.eof or not data
        if len(data) < most and not self.eof:
            self._emptied()
        return data

    def recv(self, most: int = 65536) -> Coro[bytes]:
        self.row += 1
        if self.row > self.IN_A_ROW:
            self.row = 0
            yield from self.world.pause()
        while (data := self.recv_now(most)) is None:
            self.row = 0
            self.reader = self.world.current
            try:
                yield
            finally:
                self.reader = None
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
        """How much of it the system takes now."""
        try:
            return self.sock.send(data)
        except OSError as wrong:
            if wrong.errno in NOT_NOW:
                return 0
            raise ConnectionLost(os.strerror(wrong.errno or 0)) from None

    def _push(self) -> None:
        """Hands over what the system takes now; the rest, if there is any, at its next word."""
        del self.out[: self._send(self.out)]
        if self.out:
            return
        self.interest.change(self.interest.events & ~WAIT_OUT)
        if self.finishing:
            self._shut()

    def drain(self, below: int = 0) -> Coro[None]:
        while len(self.out) > below or self.broken:
            if self.closed or self.broken:
                raise ConnectionLost("closed here" if self.closed else "Broken pipe")
            self.writer = self.world.current
            try:
                yield
            finally:
                self.writer = None
            if self.closed:  # which empties the buffer
                raise ConnectionLost("closed here")

    def unacknowledged(self) -> int:
        if self.closed:
            return 0
        try:
            found: int = NUMBER.unpack(ioctl(self.fd, TIOCOUTQ, NUMBER.pack(0)))[0]
        except OSError:  # a system that does not tell
            found = 0
        return len(self.out) + found

    def finish(self) -> None:
        if not self.closed:
            self.finishing = True
            if not self.out:
                self._shut()

    def _shut(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # it is gone already

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
                pass  # a plain close will do
            self.close()

"""Connected sockets of this machine."""

import os
import select
import socket
import struct
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import TYPE_CHECKING

from stackpitch.loop.task import Coro, Task
from stackpitch.loop.world import Address, Lost

if TYPE_CHECKING:
    from stackpitch.loop.real.world import RealWorld

NUMBER = struct.Struct("i")
IN_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
END_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
OUT_EVENTS = select.EPOLLOUT | select.EPOLLHUP | select.EPOLLERR
ALL_EVENTS = select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET


class RealStream:
    """A connected TCP socket, registered once with epoll by edges."""

    IN_A_ROW = 16  # reads without a wait, then the others get their turn

    def __init__(self, world: "RealWorld", sock: socket.socket, peer: Address) -> None:
        self.world, self.sock, self.peer = world, sock, peer
        self.eof = self.closed = self.finishing = False
        self.broken = False  # with bytes still buffered here
        self.readable = self.writable = True
        self.reader: Task | None = None
        self.writer: Task | None = None
        self.out = bytearray()
        self.row = 0
        self.fd = sock.fileno()
        world.handlers[self.fd] = self.on_event
        world.epoll.register(self.fd, ALL_EVENTS)

    @property
    def buffered(self) -> int:
        return len(self.out)

    def on_event(self, events: int) -> None:
        if events & IN_EVENTS:
            self.readable = True
            self.eof = self.eof or bool(events & END_EVENTS)
            if self.reader is not None:
                self.reader.wake(True)
        if events & OUT_EVENTS:
            self.writable = True
            if self.out:
                try:
                    self._push()
                except Lost:  # whoever waits must not take the empty buffer for bytes that were handed over
                    self.broken = True
                    self.out.clear()
            if self.writer is not None:
                self.writer.wake()

    def attend(self, task: Task | None) -> None:
        self.reader = task
        if task is not None and (self.readable or self.closed):
            task.wake(True)

    def recv_now(self, most: int = 65536, look: bool = False) -> bytes | None:
        if self.closed:
            raise Lost("closed here")
        if not (self.readable or look):
            return None
        try:
            data = self.sock.recv(most)
        except BlockingIOError:
            self.readable = False
            return None
        except OSError as wrong:
            raise Lost(os.strerror(wrong.errno or 0)) from None
        if len(data) < most:
            # A short read has emptied the socket: what comes later makes a new edge. At the end, or if the
            # other side has closed already, there will be none, so the socket stays readable.
            self.readable = not data or self.eof
        self.eof = self.eof or not data
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
            raise Lost("closed here")
        if self.out:
            self.out += data
            return
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as wrong:
            raise Lost(os.strerror(wrong.errno or 0)) from None
        if sent < len(data):
            self.writable = False
            self.out += memoryview(data)[sent:]

    def _push(self) -> None:
        while self.out and self.writable:
            try:
                sent = self.sock.send(self.out)
            except BlockingIOError:
                self.writable = False
                return
            except OSError as wrong:
                raise Lost(os.strerror(wrong.errno or 0)) from None
            del self.out[:sent]
        if self.finishing and not self.out:
            self._shut()

    def drain(self, below: int = 0) -> Coro[None]:
        while len(self.out) > below or self.broken:
            if self.closed or self.broken:
                raise Lost("closed here" if self.closed else "Broken pipe")
            self.writer = self.world.current
            try:
                yield
            finally:
                self.writer = None
            if self.closed:  # which empties the buffer
                raise Lost("closed here")

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
            self.world.forget(self.fd)
            self.sock.close()
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

"""Listening sockets of this machine."""

import errno
import select
import socket
from typing import TYPE_CHECKING

from stackpitch.loop.real.stream import RealStream
from stackpitch.loop.task import Coro, Task
from stackpitch.loop.world import Address, Lost

if TYPE_CHECKING:
    from stackpitch.loop.real.world import RealWorld


class RealListener:
    """A listening TCP socket. Out of descriptors, it waits a little and takes up again."""

    OUT_OF_DESCRIPTORS = 500  # pause, tenths of a millisecond
    IN_A_ROW = 16  # taken without a wait, then the others get their turn, whatever knocks

    def __init__(self, world: "RealWorld", address: Address, backlog: int) -> None:
        self.world, self.backlog = world, backlog
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(backlog)
        self.address: Address = self.sock.getsockname()
        self.waiter: Task | None = None
        self.choked, self.fillers = False, list[socket.socket]()
        self.finishing = False
        self.row = 0
        self.fd = self.sock.fileno()
        world.handlers[self.fd] = self.on_event
        world.epoll.register(self.fd, select.EPOLLIN)

    def on_event(self, events: int) -> None:
        if self.waiter is not None:
            self.waiter.wake()
        elif not self.choked:
            self.world.epoll.modify(self.fd, 0)  # nobody accepts now: no spinning on a full queue

    def accept(self) -> Coro[RealStream]:
        self.row += 1
        if self.row > self.IN_A_ROW:
            self.row = 0
            yield from self.world.pause()
        while True:
            if not self.choked:
                try:
                    sock, peer = self.sock.accept()
                except BlockingIOError:
                    if self.finishing:
                        self.close()
                        raise Lost("closed here") from None
                except OSError as wrong:
                    if wrong.errno in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS):
                        yield from self.world.sleep(self.OUT_OF_DESCRIPTORS)
                        continue
                    if self.sock.fileno() < 0:
                        raise Lost("closed here") from None
                    continue  # that connection broke before it was taken
                else:
                    try:
                        sock.setblocking(False)
                        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                        return RealStream(self.world, sock, peer)
                    except OSError:  # guards the door against a connection that broke as it was taken
                        sock.close()
                        continue
            self.row = 0
            self.waiter = self.world.current
            if not self.choked:
                self.world.epoll.modify(self.fd, select.EPOLLIN)
            try:
                yield
            finally:
                self.waiter = None

    def choke(self, on: bool) -> None:
        """Fills the accept queue with connections of our own, so that the kernel drops others' first packets."""
        if on and not self.choked:
            self.choked = True
            self.world.epoll.modify(self.fd, 0)
            self.sock.listen(0)
            for _ in range(2):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
                filler.connect_ex(self.address)
                self.fillers.append(filler)
        elif not on and self.choked:
            self.choked = False
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            self.sock.listen(self.backlog)
            self.world.epoll.modify(self.fd, select.EPOLLIN)
            if self.waiter is not None:
                self.waiter.wake()

    def finish(self) -> None:
        """Guards against the resets that a plain close sends to connections still in the kernel's queue, whose clients
        may have written their requests already."""
        self.finishing = True
        if self.waiter is not None:
            self.waiter.wake()

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.world.forget(self.fd)
            self.sock.close()
            if self.waiter is not None:
                self.waiter.throw(Lost("closed here"))

"""Listening sockets of this machine."""

import errno
import select
import socket
from typing import TYPE_CHECKING

from stackpitch.loop.real.closing import close_socket
from stackpitch.loop.real.connecting import reason
from stackpitch.loop.real.interest import Interest
from stackpitch.loop.real.stream import RealStream
from stackpitch.loop.task import Coro, Task
from stackpitch.loop.timers import Time
from stackpitch.loop.world import Address, ConnectionLost

if TYPE_CHECKING:
    from stackpitch.loop.real.world import RealWorld


THAT_CONNECTION = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.EINTR,
        errno.ETIMEDOUT,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
    }
)  # it broke before it was taken; accept(2) says to try the next one


class RealListener:
    """A listening TCP socket. Where the system can't, it waits a little and takes up again."""

    OUT_OF_DESCRIPTORS = 500  # pause, tenths of a millisecond
    IN_A_ROW = 16  # taken without a wait, then the others get their turn, whatever knocks

    def __init__(self, world: "RealWorld", address: Address, backlog: int) -> None:
        self.world, self.backlog = world, backlog
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)
            self.sock.listen(backlog)
            self.address: Address = self.sock.getsockname()
            self.fd = self.sock.fileno()
            self.interest = Interest(world, self.fd, select.EPOLLIN, self.on_event)
        except OSError:
            close_socket(self.sock)
            raise
        self.waiter: Task | None = None
        self.failed = 0  # calls of accept since the last that brought a connection
        self.blocked, self.fillers = False, list[socket.socket]()
        self.finishing = False
        self.row = 0
        self.since: Time | None = (
            world.now()
        )  # when the first in its queue came at the earliest; None: none is known
        self.marked, self.since_marked = world.now(), 0  # a time, and how many have been taken since

    def on_event(self, events: int) -> None:
        if self.since is None:
            self.since = self.marked = self.world.earliest_event
            self.since_marked = 0
        if self.waiter is not None:
            self.waiter.wake()
        elif not self.blocked:
            self.interest.change(0)  # nobody accepts now: no spinning on a full queue

    def accept(self) -> Coro[RealStream]:
        self.row += 1
        if self.row > self.IN_A_ROW:
            self.row = 0
            yield from self.world.pause()
        while True:
            if not self.blocked:
                try:
                    sock, peer = self.sock.accept()
                except BlockingIOError:
                    self.since = None
                    if self.finishing:
                        self.close()
                        raise ConnectionLost("closed here") from None
                except OSError as wrong:
                    if self.sock.fileno() < 0:
                        raise ConnectionLost("closed here") from None
                    yield from self._rest_after(wrong)
                    continue
                else:
                    if (stream := self._stream(sock, peer)) is not None:
                        return stream
                    continue
            yield from self._knock()

    def _rest_after(self, wrong: OSError) -> Coro[None]:
        """Guards the others against an error that lasts: without a pause nothing else would run meanwhile."""
        self.world.note_fault("accept", reason(wrong))
        own = wrong.errno in THAT_CONNECTION and self.failed < self.IN_A_ROW
        self.failed += 1
        yield from self.world.sleep(0 if own else self.OUT_OF_DESCRIPTORS)

    def _stream(self, sock: socket.socket, peer: Address) -> RealStream | None:
        """None for a connection that broke as it was taken, or that the system has no room for."""
        self.failed = 0
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return RealStream(self.world, sock, peer, self._came())
        except OSError as wrong:
            self.world.note_fault("accept", reason(wrong))
            close_socket(sock)
            return None

    def _came(self) -> Time:
        """When the one that was just taken came at the earliest. The queue holds no more than `backlog`: who is taken
        after so many came after the first of them was taken."""
        self.since_marked += 1
        if self.since_marked > self.backlog:
            self.since, self.marked, self.since_marked = self.marked, self.world.now(), 0
        return self.world.polled_at if self.since is None else self.since

    def _knock(self) -> Coro[None]:
        """Waits until somebody may be there."""
        self.row = 0
        self.waiter = self.world.current
        if not self.blocked:
            self.interest.change(select.EPOLLIN)
        try:
            yield
        finally:
            self.waiter = None

    def block_connections(self, on: bool) -> None:
        """Fills the accept queue with connections of our own, so that the kernel drops others' first packets."""
        if on and not self.blocked:
            self.blocked = True
            self.interest.change(0)
            self.sock.listen(0)
            for _ in range(2):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
                filler.connect_ex(self.address)
                self.fillers.append(filler)
        elif not on and self.blocked:
            self.blocked = False
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            self.sock.listen(self.backlog)
            self.interest.change(select.EPOLLIN)
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
            self.interest.end()
            close_socket(self.sock)
            if self.waiter is not None:
                self.waiter.throw(ConnectionLost("closed here"))

"""Listening sockets."""

import errno
import select
import socket
from typing import TYPE_CHECKING

from stackpitch.loop.real.closing import close_socket
from stackpitch.loop.real.connecting import error_text
from stackpitch.loop.real.interest import Interest
from stackpitch.loop.real.stream import RealStream
from stackpitch.loop.task import Coro, Task
from stackpitch.loop.timers import Time
from stackpitch.loop.world import Address, ConnectionLost

if TYPE_CHECKING:
    from stackpitch.loop.real.world import RealWorld

# Errors of accept(2) that concern the one pending connection; the next one should be tried.
CONNECTION_ERRORS = frozenset(
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
)


class RealListener:
    """A listening TCP socket. After a system error it pauses and tries again."""

    # Pause after a lasting error, such as being out of file descriptors; tenths of a millisecond.
    ERROR_PAUSE = 500
    # Connections accepted without a wait before other tasks get a turn, even under a flood.
    MAX_WITHOUT_WAIT = 16

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
        self.failed = 0  # failed calls of accept since the last success
        self.blocked, self.fillers = False, list[socket.socket]()
        self.finishing = False
        self.without_wait = 0  # connections accepted without a wait
        # Earliest time at which the first queued connection can have arrived; None if none is known to be
        # queued.
        self.since: Time | None = world.now()
        # A time, and how many connections have been accepted since: see `_arrived_at`.
        self.marked, self.since_marked = world.now(), 0

    def on_event(self, events: int) -> None:
        if self.since is None:
            self.since = self.marked = self.world.earliest_event
            self.since_marked = 0
        if self.waiter is not None:
            self.waiter.wake()
        elif not self.blocked:
            self.interest.change(0)  # nobody accepts now, and a non-empty queue would make the loop spin

    def accept(self) -> Coro[RealStream]:
        self.without_wait += 1
        if self.without_wait > self.MAX_WITHOUT_WAIT:
            self.without_wait = 0
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
                except OSError as error:
                    if self.sock.fileno() < 0:
                        raise ConnectionLost("closed here") from None
                    yield from self._pause_after(error)
                    continue
                else:
                    if (stream := self._stream(sock, peer)) is not None:
                        return stream
                    continue
            yield from self._wait_readable()

    def _pause_after(self, error: OSError) -> Coro[None]:
        """Pauses after an error of accept: retrying a lasting one at once would starve all other tasks."""
        self.world.note_fault("accept", error_text(error))
        of_connection = error.errno in CONNECTION_ERRORS and self.failed < self.MAX_WITHOUT_WAIT
        self.failed += 1
        yield from self.world.sleep(0 if of_connection else self.ERROR_PAUSE)

    def _stream(self, sock: socket.socket, peer: Address) -> RealStream | None:
        """Wraps an accepted socket; None if it broke meanwhile or the system could not register it."""
        self.failed = 0
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return RealStream(self.world, sock, peer, self._arrived_at())
        except OSError as error:
            self.world.note_fault("accept", error_text(error))
            close_socket(sock)
            return None

    def _arrived_at(self) -> Time:
        """Earliest time at which the connection just accepted can have arrived.

        The queue holds at most `backlog` connections, so one accepted after that many others arrived after
        the first of those was accepted.
        """
        self.since_marked += 1
        if self.since_marked > self.backlog:
            self.since, self.marked, self.since_marked = self.marked, self.world.now(), 0
        return self.world.polled_at if self.since is None else self.since

    def _wait_readable(self) -> Coro[None]:
        """Waits until a connection may be queued."""
        self.without_wait = 0
        self.waiter = self.world.current
        if not self.blocked:
            self.interest.change(select.EPOLLIN)
        try:
            yield
        finally:
            self.waiter = None

    def block_connections(self, on: bool) -> None:
        """Fills the accept queue with local connections, so that the kernel drops clients' SYN packets."""
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
        """Stops accepting once the kernel's queue is empty: closing the socket at once would reset queued
        connections, whose clients may have sent their requests already."""
        self.finishing = True
        if self.waiter is not None:
            self.waiter.wake()

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.interest.end()
            close_socket(self.sock)
            if self.waiter is not None:
                self.waiter.throw(ConnectionLost("closed here"))

"""Making a connection, and telling this machine's own faults from the other side's."""

import errno
import os
import select
import socket
from typing import TYPE_CHECKING

from stackpitch.loop.real.closing import close_socket
from stackpitch.loop.real.interest import Interest
from stackpitch.loop.real.stream import RealStream
from stackpitch.loop.task import Coro
from stackpitch.loop.timers import Time
from stackpitch.loop.world import Address, ConnectFailed, LocalFault

if TYPE_CHECKING:
    from stackpitch.loop.real.world import RealWorld

IN_THE_MAKING = (errno.EINPROGRESS, errno.EINTR)  # one that was interrupted comes about all the same
ANSWERS = (errno.ECONNREFUSED, errno.ECONNRESET, errno.ETIMEDOUT)  # at once, and yet the other side's
FIRST_PAUSE, LONGEST_PAUSE = 10, 160  # tenths of a millisecond after a fault of this machine


def connect(world: "RealWorld", address: Address, limit: Time) -> Coro[RealStream]:
    """Tries again for as long as it is this machine that can't. Raises ConnectFailed, of which LocalFault if no try
    got so far that the other side could have answered."""
    until, pause = world.now() + limit, FIRST_PAUSE
    while True:
        try:
            return (yield from _connect_once(world, address, until - world.now()))
        except LocalFault as fault:
            world.note_fault("connect", str(fault))
            if world.now() + pause >= until:
                raise
        yield from world.sleep(pause)
        pause = min(2 * pause, LONGEST_PAUSE)


def _connect_once(world: "RealWorld", address: Address, limit: Time) -> Coro[RealStream]:
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as wrong:
        raise LocalFault(reason(wrong)) from None
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code in IN_THE_MAKING:
            yield from _come_about(world, sock, limit)
        elif code:
            raise (ConnectFailed if code in ANSWERS else LocalFault)(os.strerror(code))
        return RealStream(world, sock, address)
    except OSError as wrong:
        close_socket(sock)
        raise LocalFault(reason(wrong)) from None
    except BaseException:
        close_socket(sock)
        raise


def _come_about(world: "RealWorld", sock: socket.socket, limit: Time) -> Coro[None]:
    """Waits for a connection that is in the making. Raises ConnectFailed, and OSError for what is local."""
    task = world.current
    interest = Interest(world, sock.fileno(), select.EPOLLOUT, lambda events: task.wake())
    try:
        with world.limit(limit):
            yield
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise ConnectFailed(os.strerror(code))
            return
    finally:
        interest.end()
    raise ConnectFailed(f"no connection in {limit / 10:.0f} ms")


def reason(wrong: OSError) -> str:
    return os.strerror(wrong.errno) if wrong.errno else str(wrong)

"""Outgoing connections, with local faults told apart from refusals by the remote side."""

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

# The connection is being established; one interrupted by a signal continues all the same.
IN_PROGRESS = (errno.EINPROGRESS, errno.EINTR)
# Immediate errors that come from the remote side.
REMOTE_ERRORS = (errno.ECONNREFUSED, errno.ECONNRESET, errno.ETIMEDOUT)
# Delay before a retry after a local fault, doubled up to the maximum; tenths of a millisecond.
MIN_RETRY_DELAY, MAX_RETRY_DELAY = 10, 160


def connect(world: "RealWorld", address: Address, limit: Time) -> Coro[RealStream]:
    """Connects, retrying local faults until the time limit.

    Raises ConnectFailed; its subclass LocalFault if no attempt got far enough for the remote side to answer.
    """
    until, delay = world.now() + limit, MIN_RETRY_DELAY
    while True:
        try:
            return (yield from _connect_once(world, address, until - world.now()))
        except LocalFault as fault:
            world.note_fault("connect", str(fault))
            if world.now() + delay >= until:
                raise
        yield from world.sleep(delay)
        delay = min(2 * delay, MAX_RETRY_DELAY)


def _connect_once(world: "RealWorld", address: Address, limit: Time) -> Coro[RealStream]:
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:
        raise LocalFault(error_text(error)) from None
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code in IN_PROGRESS:
            yield from _wait_connected(world, sock, limit)
        elif code:
            raise (ConnectFailed if code in REMOTE_ERRORS else LocalFault)(os.strerror(code))
        return RealStream(world, sock, address)
    except OSError as error:
        close_socket(sock)
        raise LocalFault(error_text(error)) from None
    except BaseException:
        close_socket(sock)
        raise


def _wait_connected(world: "RealWorld", sock: socket.socket, limit: Time) -> Coro[None]:
    """Waits until the connection is established. Raises ConnectFailed, and OSError on a local fault."""
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


def error_text(error: OSError) -> str:
    """The system's message for the error number, without a file name or address."""
    return os.strerror(error.errno) if error.errno else str(error)

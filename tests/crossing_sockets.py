"""Sockets of the stand-ins whose events cross: ports, resets, what has reached the other side, and waits that
end."""

import fcntl
import itertools
import os
import select
import socket
import struct
import sys
import termios
from collections.abc import Callable
from contextlib import suppress

from platform_process import waited

PATIENCE = 8.0  # seconds after which a wait for something that is due fails
GRACE = 0.1  # seconds after a client has left in which an attempt that crossed its leaving may still begin
ABORT = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
TCP_CLOSE = 7  # a socket's state once it was reset
FIRST_PORT, PORTS = 15_000, 15_000  # below those that the system gives to connections

_numbers = itertools.count(os.getpid() % 1000 * 1_000_000)
_ports = itertools.count(os.getpid() * 97)


def fresh_id() -> str:
    return f"{next(_numbers):016x}"


def listening_port() -> int:
    """One that no connection is given by the system between this look and its use."""
    for _ in range(200):
        port = FIRST_PORT + next(_ports) % PORTS
        with socket.socket() as one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with suppress(OSError):
                one.bind(("127.0.0.1", port))
                return port
    raise AssertionError("no port is free")


def wait_for(what: Callable[[], bool], failure: str, limit: float = PATIENCE) -> None:
    assert waited(what, limit), f"{failure} within {limit} s"


def readable(stream: socket.socket, limit: float = PATIENCE) -> bool:
    """Whether bytes or an end come within that time. By `poll`, as `select` takes no descriptor over 1,023."""
    waiting = select.poll()
    waiting.register(stream, select.POLLIN)
    return bool(waiting.poll(limit * 1000))


def reset(stream: socket.socket) -> None:
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
    stream.close()


def prompt(stream: socket.socket) -> None:
    """Small parts go out at once: else the system keeps one back until the other side acknowledges the last,
    which may be with its next request."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def wait_delivered(stream: socket.socket) -> None:
    """Until the other side's system has all that was written, and the end if that was."""

    def unacknowledged() -> int:
        return int.from_bytes(fcntl.ioctl(stream, termios.TIOCOUTQ, bytes(4)), sys.byteorder)

    wait_for(lambda: not unacknowledged(), "what was written does not reach the gateway's socket")

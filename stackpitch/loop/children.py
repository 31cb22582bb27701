"""Child processes of the real world."""

import os
import select
import socket
import subprocess
from collections.abc import Sequence
from typing import TYPE_CHECKING

from stackpitch.loop.real.interest import Interest
from stackpitch.loop.task import Coro

if TYPE_CHECKING:
    from stackpitch.loop.real import RealWorld


class RealChild:
    """A child process, awaited through its pidfd."""

    def __init__(self, world: "RealWorld", process: "subprocess.Popen[bytes]") -> None:
        self.world, self.process, self.pid = world, process, process.pid

    def wait(self) -> Coro[int]:
        if (code := self.process.poll()) is not None:
            return code
        descriptor = os.pidfd_open(self.pid)
        task = self.world.current
        interest: Interest | None = None
        try:
            interest = Interest(self.world, descriptor, select.EPOLLIN, lambda events: task.wake())
            while (code := self.process.poll()) is None:
                yield
            return code
        finally:
            if interest is not None:
                interest.end()
            os.close(descriptor)

    def code(self) -> int | None:
        return self.process.poll()

    def signal(self, number: int) -> None:
        self.process.send_signal(number)  # no effect once the exit code has been collected


def spawn(world: "RealWorld", command: Sequence[str], output: str | None) -> RealChild:
    """Starts a child process. Its output is appended to the file `output`, else inherited. Raises OSError."""
    if output is None:
        return RealChild(world, subprocess.Popen(command, stdin=subprocess.DEVNULL))
    with open(output, "ab") as sink:
        return RealChild(world, subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=sink, stderr=sink))


def spawn_piped(
    world: "RealWorld", command: Sequence[str], errors: str | None
) -> tuple[RealChild, socket.socket]:
    """Starts a child with a socket as its stdin and stdout; returns the other end. Raises OSError."""
    parent_end, child_end = socket.socketpair()
    sink = open(errors, "ab") if errors is not None else None  # noqa: SIM115
    try:
        process = subprocess.Popen(command, stdin=child_end.fileno(), stdout=child_end.fileno(), stderr=sink)
    except OSError:
        parent_end.close()
        raise
    finally:
        child_end.close()
        if sink is not None:
            sink.close()
    parent_end.setblocking(False)
    return RealChild(world, process), parent_end

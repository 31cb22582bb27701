"""Calls that block, in threads of the real world."""

import select
import socket
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from stackpitch.loop.real.interest import Interest

if TYPE_CHECKING:
    from stackpitch.loop.real import RealWorld


class WorkerThread:
    """One thread for calls that block, and the socket by which it says that one is done."""

    def __init__(self, world: "RealWorld") -> None:
        self.pool = ThreadPoolExecutor(1, "aside")
        self.done: deque[Callable[[], None]] = deque()
        self.ours, self.theirs = socket.socketpair()
        for one in (self.ours, self.theirs):
            one.setblocking(False)
        Interest(world, self.ours.fileno(), select.EPOLLIN, self.on_event)

    def on_event(self, events: int) -> None:
        try:
            self.ours.recv(4096)
        except BlockingIOError:
            pass
        while self.done:
            self.done.popleft()()

    def submit(self, call: Callable[[], None], then: Callable[[], None]) -> None:
        def work() -> None:
            call()
            self.done.append(then)
            try:
                self.theirs.send(b"x")
            except BlockingIOError:
                pass  # it has enough to wake up for

        self.pool.submit(work)

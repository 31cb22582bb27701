"""Threads for blocking calls, for the real world."""

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
    """One thread that runs blocking calls in order, and a socket pair by which it wakes the event loop."""

    def __init__(self, world: "RealWorld") -> None:
        self.pool = ThreadPoolExecutor(1, "aside")
        self.done: deque[Callable[[], None]] = deque()  # completion callbacks; emptied by `on_event`
        self.wakeup_reader, self.wakeup_writer = socket.socketpair()
        for sock in (self.wakeup_reader, self.wakeup_writer):
            sock.setblocking(False)
        Interest(world, self.wakeup_reader.fileno(), select.EPOLLIN, self.on_event)

    def on_event(self, events: int) -> None:
        """Runs the callbacks of completed calls, in the event loop's thread."""
        try:
            self.wakeup_reader.recv(4096)
        except BlockingIOError:
            pass
        while self.done:
            self.done.popleft()()

    def submit(self, call: Callable[[], None], then: Callable[[], None]) -> None:
        """Runs `call` in the thread, then `then` in the event loop."""

        def work() -> None:
            call()
            self.done.append(then)
            try:
                self.wakeup_writer.send(b"x")
            except BlockingIOError:
                pass  # the socket is full, so the loop wakes up anyway

        self.pool.submit(work)

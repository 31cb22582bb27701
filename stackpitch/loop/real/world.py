"""The world of this machine itself: epoll by edges, the monotonic clock, signals, children."""

import os
import resource
import select
import signal
import socket
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, TypeVar

from stackpitch.loop.real.connecting import connect
from stackpitch.loop.real.listener import RealListener
from stackpitch.loop.real.stream import RealStream
from stackpitch.loop.task import Coro
from stackpitch.loop.timers import Time
from stackpitch.loop.world import Address, World

if TYPE_CHECKING:  # imported when first used: threads, children and inotify cost a third of the loop's start
    from stackpitch.loop.children import RealChild
    from stackpitch.loop.folder_watch import RealWatch
    from stackpitch.loop.worker_thread import WorkerThread

T = TypeVar("T")


class RealWorld(World):
    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.worker_threads: dict[str, WorkerThread] = {}  # by queue; as many as the program has names for
        self.epoll = select.epoll()
        self.handlers: dict[int, Callable[[int], None]] = {}  # by descriptor; emptied by `Interest.end`

    def now(self) -> Time:
        return time.monotonic_ns() // 100_000

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000

    def unique_id(self, what: str = "start") -> int:
        return int.from_bytes(os.urandom(6), "big")

    def max_descriptors(self) -> int:
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        return super().max_descriptors() if most == resource.RLIM_INFINITY else most

    def poll(self, until: Time | None) -> None:
        if until is None:
            wait = -1.0
        elif until == 0:
            wait = 0.0
        else:
            wait = max(0.0, (until * 100_000 - time.monotonic_ns()) / 1e9)
        for descriptor, events in self.epoll.poll(wait, 256):
            handler = self.handlers.get(descriptor)
            if handler is not None:
                handler(events)

    def connect(self, address: Address, limit: Time) -> Coro[RealStream]:
        return connect(self, address, limit)

    def listen(self, address: Address, backlog: int = 1024) -> RealListener:
        return RealListener(self, address, backlog)

    def spawn_child(self, command: Sequence[str], *, output: str | None = None) -> "RealChild":
        from stackpitch.loop.children import spawn

        return spawn(self, command, output)

    def spawn_piped(
        self, command: Sequence[str], *, errors: str | None = None
    ) -> "tuple[RealChild, RealStream]":
        from stackpitch.loop.children import spawn_piped

        child, ours = spawn_piped(self, command, errors)
        return child, RealStream(self, ours, ("child", child.pid))

    def run_blocking(self, call: Callable[[], T], queue: str = "") -> Coro[T]:
        worker = self.worker_threads.get(queue)
        if worker is None:
            from stackpitch.loop.worker_thread import WorkerThread

            worker = self.worker_threads[queue] = WorkerThread(self)
        found: list[T] = []
        wrong: list[Exception] = []
        task, waits = self.current, [True]

        def work() -> None:
            try:
                found.append(call())
            except Exception as error:
                wrong.append(error)

        def then() -> None:
            if waits[0]:
                task.wake()

        worker.submit(work, then)
        try:
            while not found and not wrong:
                yield
        finally:
            waits[0] = False
        if wrong:
            raise wrong[0]
        return found[0]

    def watch(self) -> "RealWatch | None":
        from stackpitch.loop.folder_watch import watching

        return watching(self)

    def signals(self, *numbers: int) -> Callable[[], Coro[int]]:
        ours, theirs = socket.socketpair()
        for one in (ours, theirs):
            one.setblocking(False)
        signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda number, _: self.deliver(number))
        stream = RealStream(self, ours, ("signals", 0))

        def next_one() -> Coro[int]:
            assert theirs.fileno() >= 0  # the closure keeps the other end open
            data = yield from stream.recv(1)
            return data[0]

        return next_one

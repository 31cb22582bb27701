"""The world on the operating system."""

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

# Imported when first used: threads, child processes and inotify take a third of the loop's import time.
if TYPE_CHECKING:
    from stackpitch.loop.children import RealChild
    from stackpitch.loop.folder_watch import RealWatch
    from stackpitch.loop.worker_thread import WorkerThread

T = TypeVar("T")

MAX_EVENTS = 256  # of one poll


class RealWorld(World):
    """Event loop on epoll, with the system's clock, sockets, signals and child processes."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.worker_threads: dict[str, WorkerThread] = {}  # by queue; one for each queue name in the program
        self.epoll = select.epoll()
        self.handlers: dict[int, Callable[[int], None]] = {}  # by descriptor; removed by `Interest.end`

    def now(self) -> Time:
        return time.monotonic_ns() // 100_000

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000

    def unique_id(self, purpose: str = "start") -> int:
        return int.from_bytes(os.urandom(6), "big")

    def max_descriptors(self) -> int:
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        return super().max_descriptors() if limit == resource.RLIM_INFINITY else limit

    def poll(self, until: Time | None) -> None:
        if until is None:
            wait = -1.0
        elif until == 0:
            wait = 0.0
        else:
            wait = max(0.0, (until * 100_000 - time.monotonic_ns()) / 1e9)
        found = self.epoll.poll(wait, MAX_EVENTS)
        if not found and wait > 0:
            # A signal, or a stop of the process, may have ended the wait without a look at what has come.
            found = self.epoll.poll(0, MAX_EVENTS)
        for descriptor, events in found:
            handler = self.handlers.get(descriptor)
            if handler is not None:
                handler(events)

    def _poll(self, before: Time) -> Time:
        """Looks once more before a timer goes, for what arrived before the returned time: the process may have
        been stopped since the last look."""
        now = super()._poll(before)
        due = self.timers.next()
        if due is not None and due <= now:
            self.poll(0)
        return now

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

        child, sock = spawn_piped(self, command, errors)
        return child, RealStream(self, sock, ("child", child.pid))

    def run_blocking(self, call: Callable[[], T], queue: str = "") -> Coro[T]:
        worker = self.worker_threads.get(queue)
        if worker is None:
            from stackpitch.loop.worker_thread import WorkerThread

            worker = self.worker_threads[queue] = WorkerThread(self)
        results: list[T] = []
        errors: list[Exception] = []
        task, waiting = self.current, [True]

        def work() -> None:
            try:
                results.append(call())
            except Exception as error:
                errors.append(error)

        def then() -> None:
            if waiting[0]:
                task.wake()

        worker.submit(work, then)
        try:
            while not results and not errors:
                yield
        finally:
            waiting[0] = False
        if errors:
            raise errors[0]
        return results[0]

    def watch(self) -> "RealWatch | None":
        from stackpitch.loop.folder_watch import open_watch

        return open_watch(self)

    def signals(self, *numbers: int) -> Callable[[], Coro[int]]:
        reader, writer = socket.socketpair()
        for sock in (reader, writer):
            sock.setblocking(False)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda number, _: self.record_signal(number))
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, numbers
        )  # the process may have held them back while it started
        stream = RealStream(self, reader, ("signals", 0))

        def next_signal() -> Coro[int]:
            assert writer.fileno() >= 0  # the closure keeps the other end open
            data = yield from stream.recv(1)
            return data[0]

        return next_signal

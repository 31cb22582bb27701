"""The world of this machine itself: epoll by edges, the monotonic clock, signals, children."""

import errno
import os
import resource
import select
import signal
import socket
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, TypeVar

from stackpitch.loop.real.listener import RealListener
from stackpitch.loop.real.stream import RealStream
from stackpitch.loop.task import Coro
from stackpitch.loop.timers import Time
from stackpitch.loop.world import Address, ConnectFailed, World

if TYPE_CHECKING:  # imported when first used: threads, children and inotify cost a third of the loop's start
    from stackpitch.loop.aside import Aside
    from stackpitch.loop.children import RealChild
    from stackpitch.loop.watching import RealWatch

T = TypeVar("T")


class RealWorld(World):
    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.asides: dict[str, Aside] = {}  # by queue; as many as the program has names for
        self.epoll = select.epoll()
        self.handlers: dict[int, Callable[[int], None]] = {}  # by descriptor; emptied by `forget`

    def now(self) -> Time:
        return time.monotonic_ns() // 100_000

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000

    def fresh(self) -> int:
        return int.from_bytes(os.urandom(6), "big")

    def descriptors(self) -> int:
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        return super().descriptors() if most == resource.RLIM_INFINITY else most

    def forget(self, descriptor: int) -> None:
        if self.handlers.pop(descriptor, None) is not None:
            self.epoll.unregister(descriptor)

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
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as wrong:  # out of descriptors
            raise ConnectFailed(os.strerror(wrong.errno or 0)) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise ConnectFailed(os.strerror(code))
        descriptor, task = sock.fileno(), self.current
        connected = code == 0
        if not connected:
            self.handlers[descriptor] = lambda events: task.wake()
            self.epoll.register(descriptor, select.EPOLLOUT)
            try:
                with self.limit(limit):
                    yield
                    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                    connected = code == 0
            finally:
                self.forget(descriptor)
                if not connected:
                    sock.close()
        if not connected:
            raise ConnectFailed(
                f"no connection in {limit / 10:.0f} ms" if code == errno.EINPROGRESS else os.strerror(code)
            )
        return RealStream(self, sock, address)

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

    def aside(self, call: Callable[[], T], queue: str = "") -> Coro[T]:
        aside = self.asides.get(queue)
        if aside is None:
            from stackpitch.loop.aside import Aside

            aside = self.asides[queue] = Aside(self)
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

        aside.submit(work, then)
        try:
            while not found and not wrong:
                yield
        finally:
            waits[0] = False
        if wrong:
            raise wrong[0]
        return found[0]

    def watch(self) -> "RealWatch | None":
        from stackpitch.loop.watching import watching

        return watching(self)

    def signals(self, *numbers: int) -> Callable[[], Coro[int]]:
        ours, theirs = socket.socketpair()
        for one in (ours, theirs):
            one.setblocking(False)
        signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)
        stream = RealStream(self, ours, ("signals", 0))

        def next_one() -> Coro[int]:
            assert theirs.fileno() >= 0  # the closure keeps the other end open
            data = yield from stream.recv(1)
            return data[0]

        return next_one

"""What a world offers: clock, timers, tasks, streams, listeners, children, chance. Its users know only this."""

from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Protocol, TypeVar
from zlib import crc32

from stackpitch.loop.file_system import FileSystem, RealFileSystem
from stackpitch.loop.files import Files, RealFiles
from stackpitch.loop.task import Coro, Group, Scope, Task, run_group
from stackpitch.loop.timers import Time, Timer, Timers

AT_ONCE: Time = 10  # a poll that took no longer did not wait
T = TypeVar("T")
Address = tuple[str, int]


class ConnectionLost(Exception):
    """The connection broke, or was closed here while something waited on it."""


class ConnectFailed(Exception):
    """No connection came about: refused, unreachable, or the time limit passed."""


class LocalFault(ConnectFailed):
    """This machine could not try: out of descriptors, ports or buffers, or without a route. It says nothing of the
    other side."""

    remedy = (
        "look at this machine's limits of descriptors, ports and memory, and at its interfaces and routes"
    )


class Stream(Protocol):
    """A byte stream. `write` hands over at once what the other side takes and buffers the rest."""

    peer: Address
    eof: bool  # the other side will send no more
    closed: bool  # from here

    @property
    def arrived_at(
        self,
    ) -> Time: ...  # since when what `recv` gave last, or the connection itself, may have been there
    @property
    def buffered(self) -> int: ...  # bytes written here and not yet handed over
    def recv(self, most: int = 65536) -> Coro[bytes]: ...  # b"" at the end; raises ConnectionLost
    def recv_now(self, most: int = 65536, force: bool = False) -> bytes | None:
        """None if nothing has come; raises ConnectionLost. `look`: asks the system also if it has told of nothing since."""
        ...

    def write(self, data: bytes) -> None: ...  # raises ConnectionLost
    def drain(
        self, below: int = 0
    ) -> Coro[None]: ...  # until no more than so much is buffered; raises ConnectionLost
    def wake_on_input(
        self, task: Task | None
    ) -> None: ...  # wakes the task with True once there is something to recv
    def close(self) -> None: ...  # what is buffered is dropped
    def abort(self) -> None: ...  # the other side sees a reset
    def unacknowledged(
        self,
    ) -> int: ...  # bytes that the other side's system has not taken; 0 if that isn't known
    def finish(
        self,
    ) -> None: ...  # half-close once what is buffered has been handed over: no more is written from here


class Listener(Protocol):
    address: Address

    def accept(self) -> Coro[Stream]: ...
    def block_connections(
        self, on: bool
    ) -> None: ...  # new connections don't come about, open ones go on (stand-ins)
    def finish(self) -> None:
        """Closes once all connections that are already queued have been accepted; `accept` raises ConnectionLost then."""
        ...

    def close(self) -> None: ...


class Child(Protocol):
    pid: int

    def wait(self) -> Coro[int]: ...  # its exit code; negative: the signal that ended it
    def signal(self, number: int) -> None: ...
    def code(self) -> int | None: ...  # as `wait` gives it; None while it runs


class Watch(Protocol):
    """Hints that something happened in folders. They may come for nothing and some may be lost: look as well."""

    def set_folders(
        self, folders: Sequence[str]
    ) -> None: ...  # these from now on; those that are not there are left out
    def wait(
        self,
    ) -> Coro[None]: ...  # waits for a hint since the last call; one is enough for any number
    def close(self) -> None: ...


class World(ABC):
    """Runs tasks. One at a time is current; `run` ends when the first task has. `pipes`: whether it can start children whose
    standard input and output are streams."""

    pipes = True

    def __init__(self, seed: int = 0) -> None:
        self.seed = seed
        self.timers = Timers()
        self.ready: deque[tuple[Task, Any, BaseException | None]] = deque()
        self.current_or_none: Task | None = None
        self.closing = False  # all that is still done is clearing away
        self.poll_count = 0  # polls so far
        self.polled_at: Time = 0  # end of the last poll
        self.delivered: dict[int, Time] = {}  # signals that are caught, by number: `first_signal_time`
        self.max_detection_delay: Time = 0  # at most how long what it found had waited for it
        self.on_slow_step: Callable[[str, Time], None] | None = (
            None  # name and time of a step over `slow_step_limit`
        )
        self.slow_step_limit: Time = 500
        self.faults: Counter[tuple[str, str]] = Counter()  # by call and cause; emptied by `take_faults`

    @property
    def current(self) -> Task:
        assert self.current_or_none is not None, "only inside a task"
        return self.current_or_none

    @abstractmethod
    def now(self) -> Time: ...
    @abstractmethod
    def wall_ms(self) -> int:
        """Milliseconds since 1970, for what other machines say of times; nothing is timed by it."""

    @abstractmethod
    def poll(self, until: Time | None) -> None:
        """Waits for something to happen, at most until then; wakes whom it concerns."""

    @abstractmethod
    def connect(self, address: Address, limit: Time) -> Coro[Stream]: ...
    @abstractmethod
    def listen(self, address: Address, backlog: int = 1024) -> Listener: ...
    @abstractmethod
    def spawn_child(self, command: Sequence[str], *, output: str | None = None) -> Child: ...
    @abstractmethod
    def spawn_piped(self, command: Sequence[str], *, errors: str | None = None) -> tuple[Child, Stream]:
        """A child whose standard input and output are a stream's other end."""

    @abstractmethod
    def run_blocking(self, call: Callable[[], T], queue: str = "") -> Coro[T]:
        """Runs a call that blocks (files, no more) where it holds up nobody; those of one queue one at a time, in order.
        A disk that is slow holds up its own queue alone."""

    @abstractmethod
    def watch(self) -> Watch | None:
        """None if this machine has none to give; then looking must do."""

    @abstractmethod
    def signals(self, *numbers: int) -> Callable[[], Coro[int]]:
        """Catches these from now on; what is returned waits for the next one and gives its number."""

    def deliver(self, number: int) -> None:
        """Notes that a signal has come, before any task runs that finds what came with it."""
        self.delivered.setdefault(number, self.polled_at)  # the process may not have run since

    def first_signal_time(self, numbers: Sequence[int]) -> Time | None:
        """The earliest time at which the first of these signals may have been sent; None: none of them has come."""
        return min((self.delivered[one] for one in numbers if one in self.delivered), default=None)

    def files(self) -> Files:
        """Those of this machine, or made-up ones that lose what was not synced."""
        return RealFiles()

    def file_system(self) -> FileSystem:
        """The disk that large files lie on, by which word goes for `files`."""
        return RealFileSystem()

    @abstractmethod
    def unique_id(self, what: str = "start") -> int:
        """48 bits that no other start of a process has: tells one start from another, decides nothing. `what` it is for;
        a made-up world draws for each by itself."""

    def max_descriptors(self) -> int:
        """How many this process may hold."""
        return 1 << 30

    @property
    def earliest_event(self) -> Time:
        """Since when what the last poll found may have been there, however long ago in this turn that poll was."""
        return self.polled_at - self.max_detection_delay

    def note_fault(self, call: str, cause: str) -> None:
        """A call of the system failed for a reason of this machine's own."""
        self.faults[call, cause] += 1

    def take_faults(self) -> dict[str, int]:
        """By `call: cause`; counts anew from now on."""
        found = {f"{call}: {cause}": count for (call, cause), count in sorted(self.faults.items())}
        self.faults.clear()
        return found

    def rng(self, name: str) -> Random:
        """A source of its own for each name, from the world's seed."""
        return Random(crc32(f"{self.seed} {name}".encode()))

    def at(self, when: Time, call: Callable[[], None]) -> Timer:
        return self.timers.at(when, call)

    def sleep(self, delay: Time) -> Coro[None]:
        timer = self.timers.at(self.now() + max(0, delay), self.current.wake)
        try:
            yield
        finally:
            timer.cancel()

    def pause(self) -> Coro[None]:
        """Lets the others run once. Not by waking itself: a task that is woken can't be cancelled in that wait, and one
        that only pauses never could."""
        yield from self.sleep(0)

    def limit(self, delay: Time) -> Scope:
        return Scope(self, delay)

    def scope(self) -> Scope:
        return Scope(self)

    def shield(self) -> Scope:
        return Scope(self, shield=True)

    def group(self, body: Callable[[Group], Coro[T]]) -> Coro[T | None]:
        return run_group(self, body)

    def start(self, coro: Coro[Any], name: str, done: Callable[[Task], None]) -> Task:
        task = Task(self, coro, name, done)
        task.wake()
        return task

    def _poll(self, before: Time) -> Time:
        """Polls, notes how long what it found may have waited, and gives the time. `before`: of the last poll's end.

        A poll that finds something at once may have missed it since the last one. One that waited was told in that
        moment, unless the process was not run: then a timer that was due tells by how much.
        """
        begun = self.now()
        due = begun if self.ready else self.timers.next()
        self.poll(0 if self.ready else due)
        now = self.now()
        at_once = now - begun < AT_ONCE
        self.max_detection_delay = now - before if at_once else max(0, now - due) if due is not None else 0
        self.poll_count += 1
        self.polled_at = now
        return now

    def run(self, main: Coro[T]) -> T:
        """Runs to the end of `main`; raises what it raised."""
        root = self.start(main, "main", lambda _: None)
        now = self.now()
        while not root.ended:
            begun = self.now()
            for _ in range(len(self.ready)):
                task, value, error = self.ready.popleft()
                if task.ended:  # its process was killed meanwhile
                    continue
                self.current_or_none = task
                task.step(value, error)
                if self.on_slow_step is not None:
                    ended = self.now()
                    if ended - begun > self.slow_step_limit:
                        self.on_slow_step(task.name, ended - begun)
                    begun = ended
            self.current_or_none = None
            if root.ended:
                break
            now = self._poll(now)
            while (call := self.timers.pop(now)) is not None:
                call()
        if root.error is not None:
            raise root.error
        result: T = root.result
        return result

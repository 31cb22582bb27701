"""The interface between the program and its environment: clock, timers, tasks, streams, child processes, RNG.

The rest of the program knows only this module's types; `RealWorld` and `VirtualWorld` implement them.
"""

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

# A poll that returns sooner than this (tenths of a millisecond) did not block.
IMMEDIATE: Time = 10
T = TypeVar("T")
Address = tuple[str, int]


class ConnectionLost(Exception):
    """The connection broke, or was closed locally while a task waited on it."""


class ConnectFailed(Exception):
    """No connection was established: refused, unreachable, or the time limit expired."""


class LocalFault(ConnectFailed):
    """This machine could not attempt the connection: out of file descriptors, ports or buffers, or without a
    route. It says nothing about the remote side."""

    remedy = (
        "check this machine's limits on descriptors, ports and memory, and its network interfaces and routes"
    )


class Stream(Protocol):
    """A bidirectional byte stream. `write` passes on what the transport accepts and buffers the rest."""

    peer: Address
    eof: bool  # the peer sends no more
    closed: bool  # locally, by `close` or `abort`

    @property
    def arrived_at(self) -> Time:
        """Earliest possible arrival time of the data last received, or of the connection itself."""
        ...

    @property
    def buffered(self) -> int:
        """Bytes written and not yet accepted by the transport."""
        ...

    def recv(self, max_bytes: int = 65536) -> Coro[bytes]:
        """Waits for data; b"" at the end of the stream. Raises ConnectionLost."""
        ...

    def recv_now(self, max_bytes: int = 65536, force: bool = False) -> bytes | None:
        """Returns data without waiting, None if there is none. Raises ConnectionLost. `force`: tries to read
        even if no readiness event has been reported since the last read."""
        ...

    def write(self, data: bytes) -> None:
        """Raises ConnectionLost."""
        ...

    def drain(self, below: int = 0) -> Coro[None]:
        """Waits until at most `below` bytes are buffered. Raises ConnectionLost."""
        ...

    def wake_on_input(self, task: Task | None) -> None:
        """Wakes the task with True as soon as there is something to receive; None cancels."""
        ...

    def close(self) -> None:
        """Closes both directions; buffered data is dropped."""
        ...

    def abort(self) -> None:
        """Closes with a reset."""
        ...

    def unacknowledged(self) -> int:
        """Bytes that the peer's system has not acknowledged; 0 if that is not known."""
        ...

    def finish(self) -> None:
        """Half-closes the connection once all buffered data is sent. Nothing may be written after it."""
        ...


class Listener(Protocol):
    """A listening socket."""

    address: Address

    def accept(self) -> Coro[Stream]:
        """Waits for the next connection. Raises ConnectionLost once the listener is closed."""
        ...

    def block_connections(self, on: bool) -> None:
        """Simulates an unreachable host: new connections are not established, open ones go on."""
        ...

    def finish(self) -> None:
        """Closes once all queued connections have been accepted; then `accept` raises ConnectionLost."""
        ...

    def close(self) -> None:
        """Closes at once; a waiting `accept` raises ConnectionLost."""
        ...


class Child(Protocol):
    """A child process."""

    pid: int

    def wait(self) -> Coro[int]:
        """Waits for the exit code; a negative one is the signal that terminated the process."""
        ...

    def signal(self, number: int) -> None:
        """Sends a signal; no effect after the process has ended."""
        ...

    def code(self) -> int | None:
        """The exit code as `wait` returns it; None while the process runs."""
        ...


class Watch(Protocol):
    """Hints of changes in folders. Hints may be spurious or lost, so callers must poll as well."""

    def set_folders(self, folders: Sequence[str]) -> None:
        """Replaces the set of watched folders. Folders that do not exist are skipped."""
        ...

    def wait(self) -> Coro[None]:
        """Waits for a hint since the last call; any number of hints counts as one."""
        ...

    def close(self) -> None:
        """Stops watching."""
        ...


class World(ABC):
    """Event loop and environment. Runs tasks one at a time (`current`); `run` ends with its main task.

    `pipes`: whether `spawn_piped` is supported.
    """

    pipes = True

    def __init__(self, seed: int = 0) -> None:
        self.seed = seed
        self.timers = Timers()
        # Tasks to resume with a value or an exception, in order; emptied by each turn of `run`.
        self.ready: deque[tuple[Task, Any, BaseException | None]] = deque()
        self.current_or_none: Task | None = None
        self.closing = False  # only leftover tasks are being cleaned up
        self.poll_count = 0
        self.polled_at: Time = 0  # end of the last poll
        # Earliest time at which each handled signal can have been sent, by number; one entry per handled
        # signal.
        self.signal_times: dict[int, Time] = {}
        # Upper bound on the age of the events that the last poll returned.
        self.max_detection_delay: Time = 0
        # Called with a task's name and the duration of a step that took longer than `slow_step_limit`.
        self.on_slow_step: Callable[[str, Time], None] | None = None
        self.slow_step_limit: Time = 500
        self.longest_turn: Time = 0  # from one poll to the next; reset by `take_longest_turn`
        self.faults: Counter[tuple[str, str]] = Counter()  # by call and cause; emptied by `take_faults`

    @property
    def current(self) -> Task:
        """The running task."""
        assert self.current_or_none is not None, "only inside a task"
        return self.current_or_none

    @abstractmethod
    def now(self) -> Time:
        """Monotonic time."""
        ...

    @abstractmethod
    def wall_ms(self) -> int:
        """Milliseconds since 1970, to compare with times from other machines. Nothing is scheduled by it."""

    @abstractmethod
    def poll(self, until: Time | None) -> None:
        """Waits for events until that time (None: without limit) and wakes the tasks concerned."""

    @abstractmethod
    def connect(self, address: Address, limit: Time) -> Coro[Stream]:
        """Connects within the time limit. Raises ConnectFailed."""
        ...

    @abstractmethod
    def listen(self, address: Address, backlog: int = 1024) -> Listener:
        """Listens on an address; port 0 lets the system choose. Raises OSError."""
        ...

    @abstractmethod
    def spawn_child(self, command: Sequence[str], *, output: str | None = None) -> Child:
        """Starts a child process; its output is appended to the file `output`."""
        ...

    @abstractmethod
    def spawn_piped(self, command: Sequence[str], *, errors: str | None = None) -> tuple[Child, Stream]:
        """Starts a child whose standard input and output are the other end of the stream."""

    @abstractmethod
    def run_blocking(self, call: Callable[[], T], queue: str = "") -> Coro[T]:
        """Runs a blocking call (file I/O only) without blocking the loop, and returns its result.

        Calls of one queue run one at a time, in order, so a slow disk delays only its own queue.
        """

    @abstractmethod
    def watch(self) -> Watch | None:
        """A new folder watch; None if the system provides none, and callers have to poll."""

    @abstractmethod
    def signals(self, *numbers: int) -> Callable[[], Coro[int]]:
        """Handles these signals from now on; the returned function waits for the next one's number."""

    def record_signal(self, number: int) -> None:
        """Records the arrival of a signal, before any task runs that handles events of the same poll."""
        self.signal_times.setdefault(number, self.polled_at)  # the process may not have run since

    def first_signal_time(self, numbers: Sequence[int]) -> Time | None:
        """Earliest time at which the first of these signals can have been sent; None if none has arrived."""
        return min(
            (self.signal_times[number] for number in numbers if number in self.signal_times), default=None
        )

    def files(self) -> Files:
        """Files for durable logs: the machine's, or simulated ones that lose unsynced data in a crash."""
        return RealFiles()

    def file_system(self) -> FileSystem:
        """File system for large files; as with `files`, the machine's or a simulated one."""
        return RealFileSystem()

    @abstractmethod
    def unique_id(self, purpose: str = "start") -> int:
        """48 bits that differ between any two starts of a process. They tell starts apart and decide nothing.

        In a simulated world each purpose has a random sequence of its own.
        """

    def max_descriptors(self) -> int:
        """How many file descriptors this process may have open."""
        return 1 << 30

    @property
    def earliest_event(self) -> Time:
        """Earliest time at which events returned by the last poll can have occurred, however long ago that
        poll was in this turn."""
        return self.polled_at - self.max_detection_delay

    def note_fault(self, call: str, cause: str) -> None:
        """Counts a system call that failed for a reason local to this machine."""
        self.faults[call, cause] += 1

    def take_faults(self) -> dict[str, int]:
        """Returns the counts by `call: cause` and resets them."""
        counts = {f"{call}: {cause}": count for (call, cause), count in sorted(self.faults.items())}
        self.faults.clear()
        return counts

    def take_longest_turn(self) -> Time:
        """Returns the longest time in which the loop did not poll, and resets it."""
        longest, self.longest_turn = self.longest_turn, 0
        return longest

    def rng(self, name: str) -> Random:
        """A random generator for this name, derived from the world's seed and independent of the others."""
        return Random(crc32(f"{self.seed} {name}".encode()))

    def at(self, when: Time, call: Callable[[], None]) -> Timer:
        """Schedules a call."""
        return self.timers.at(when, call)

    def sleep(self, delay: Time) -> Coro[None]:
        """Suspends the current task for `delay`."""
        timer = self.timers.at(self.now() + max(0, delay), self.current.wake)
        try:
            yield
        finally:
            timer.cancel()

    def pause(self) -> Coro[None]:
        """Lets the other tasks run once.

        It sleeps instead of waking itself: a task that has been woken cannot be cancelled in that wait, so a
        task that only pauses could never be cancelled.
        """
        yield from self.sleep(0)

    def limit(self, delay: Time) -> Scope:
        """A scope that is cancelled after `delay`."""
        return Scope(self, delay)

    def scope(self) -> Scope:
        """A scope without a time limit."""
        return Scope(self)

    def shield(self) -> Scope:
        """A scope in which the task ignores the cancellation of outer scopes."""
        return Scope(self, shield=True)

    def group(self, body: Callable[[Group], Coro[T]]) -> Coro[T | None]:
        """Runs `body` with a new task group: see `run_group`."""
        return run_group(self, body)

    def start(self, coro: Coro[Any], name: str, done: Callable[[Task], None]) -> Task:
        """Starts a task outside any group; `done` is called when it has ended."""
        task = Task(self, coro, name, done)
        task.wake()
        return task

    def _poll(self, before: Time) -> Time:
        """Polls, records how old the returned events may be, and returns the time. `before`: end of the last
        poll.

        If the poll did not block, an event may be as old as the last poll. If it blocked, events are reported
        when they occur unless the process was not scheduled; an overdue timer then bounds that delay.
        """
        begun = self.now()
        self.longest_turn = max(self.longest_turn, begun - before)
        due = begun if self.ready else self.timers.next()
        self.poll(0 if self.ready else due)
        now = self.now()
        immediate = now - begun < IMMEDIATE
        self.max_detection_delay = now - before if immediate else max(0, now - due) if due is not None else 0
        self.poll_count += 1
        self.polled_at = now
        return now

    def run(self, main: Coro[T]) -> T:
        """Runs until `main` ends and returns its result; raises what it raised."""
        root = self.start(main, "main", lambda _: None)
        now = self.now()
        while not root.ended:
            begun = self.now()
            for _ in range(len(self.ready)):
                task, value, error = self.ready.popleft()
                if task.ended:  # its (simulated) process was killed in the meantime
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

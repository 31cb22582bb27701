"""A made-up machine: simulated clock and network, processes as groups of tasks, everything from one seed.

Users of a world can't tell it from the real one. Computing takes no time here; time goes from one thing that is due to
the next, so a minute takes as long as its work does, and the same seed gives the same order of everything. Files that a
program opens by itself are the real ones, those of `files()` are in memory. A process that is killed leaves at once: its
connections break, its timers never fire, and its tasks are neither resumed nor unwound, as nothing of a killed process
runs. One that is stopped (SIGSTOP) does nothing until it is continued, then all that came up meanwhile at once; its part of
the network goes on: connections come about, bytes arrive.
"""

import signal as signals
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from stackpitch.loop.disk import Disk, VirtualFiles
from stackpitch.loop.task import Coro, Task
from stackpitch.loop.timers import Time, Timer
from stackpitch.loop.world import Address, ConnectFailed, Lost, Stream, Watch, World

T = TypeVar("T")
Program = Callable[[Sequence[str]], Coro[Any]]
WINDOW = 256 * 1024  # bytes on their way or unread, after which a writer's bytes wait with it
EPOCH_MS = 1_700_000_000_000


class Process:
    """All tasks, connections and listeners that began under one command. `None` in the world: the world's own."""

    def __init__(self, world: "VirtualWorld", pid: int) -> None:
        self.world, self.pid = world, pid
        self.ended: int | None = None
        self.things: dict[Any, None] = {}  # open streams and listeners
        self.tasks: dict[Task, None] = {}  # that have not ended
        self.caught: set[int] = set()
        self.arrived: deque[int] = deque()
        self.waiter: Task | None = None  # in `signals`
        self.waiting: list[Task] = []  # in `wait`
        self.files: list[VirtualFiles] = []
        self.stopped = False
        # While it is stopped; emptied when it goes on.
        self.due: list[Callable[[], None]] = []
        self.parked: list[tuple[Task, Any, BaseException | None]] = []
        self.pending: list[int] = []

    def stop(self) -> None:
        self.stopped = True

    def go_on(self) -> None:
        """First the timers that are due, then the tasks that were woken, as a loop does that has slept too long."""
        self.stopped = False
        due, self.due = self.due, []
        parked, self.parked = self.parked, []
        for call in due:
            self.world.acted(self, call)
        self.world.ready.extend(parked)

    def end(self, code: int) -> None:
        if self.ended is not None:
            return
        self.ended = code
        self.due.clear()
        for task, _, _ in self.parked:
            task.ended = True
        for files in self.files:
            files.end(code < 0)
        for thing in list(self.things):
            thing.abort()
        for task in self.tasks:
            task.ended = True
        self.world.left += self.tasks  # kept, as letting them go would unwind them
        self.tasks.clear()
        for task in self.waiting:
            task.wake()


class VirtualChild:
    def __init__(self, process: Process) -> None:
        self.process, self.pid = process, process.pid

    def wait(self) -> Coro[int]:
        while self.process.ended is None:
            self.process.waiting.append(self.process.world.current)
            yield
        return self.process.ended

    def code(self) -> int | None:
        return self.process.ended

    def signal(self, number: int) -> None:
        process = self.process
        if process.ended is not None:
            return
        if number == signals.SIGSTOP:
            process.stop()
        elif number == signals.SIGCONT:
            if process.stopped:
                process.go_on()
                pending, process.pending = process.pending, []
                for one in pending:
                    self.signal(one)
        elif process.stopped and number != signals.SIGKILL:
            process.pending.append(number)
        elif number in process.caught:
            process.arrived.append(number)
            if process.waiter is not None:
                process.waiter.wake()
        else:
            process.end(-number)


class VirtualTask(Task):
    """Of a process; one that is stopped takes no step."""

    __slots__ = ("process",)

    def __init__(self, world: "VirtualWorld", coro: Coro[Any], name: str, done: Callable[[Task], None],
                 process: Process) -> None:
        super().__init__(world, coro, name, done)
        self.process = process

    def step(self, value: Any, error: BaseException | None) -> None:
        if self.process.stopped:
            self.process.parked.append((self, value, error))
        else:
            super().step(value, error)


class VirtualStream:
    """One end of a connection. What is written arrives at the other in order, `latency` later."""

    def __init__(self, world: "VirtualWorld", peer: Address, process: Process | None, latency: Time) -> None:
        self.world, self.peer, self.process, self.latency = world, peer, process, latency
        self.other: VirtualStream
        self.eof = self.closed = self.broken = self.finished = False
        self.inbox: deque[bytes] = deque()
        self.held = 0  # bytes on their way to here, or unread here
        self.out = bytearray()
        self.reader: Task | None = None
        self.writer: Task | None = None
        if process is not None:
            process.things[self] = None

    @property
    def buffered(self) -> int:
        return len(self.out)

    def attend(self, task: Task | None) -> None:
        self.reader = task
        if task is not None and (self.inbox or self.eof or self.broken or self.closed):
            task.wake(True)

    def recv_now(self, most: int = 65536) -> bytes | None:
        if self.closed:
            raise Lost("closed here")
        if self.broken:
            raise Lost("Connection reset by peer")
        if not self.inbox:
            return b"" if self.eof else None
        data = self.inbox.popleft()
        while self.inbox and len(data) + len(self.inbox[0]) <= most:
            data += self.inbox.popleft()
        if len(data) > most:
            self.inbox.appendleft(data[most:])
            data = data[:most]
        self.held -= len(data)
        self.other.push()
        return data

    def recv(self, most: int = 65536) -> Coro[bytes]:
        while (data := self.recv_now(most)) is None:
            self.reader = self.world.current
            try:
                yield
            finally:
                self.reader = None
        return data

    def write(self, data: bytes) -> None:
        if self.closed:
            raise Lost("closed here")
        if self.broken:
            raise Lost("Broken pipe")
        self.out += data
        self.push()

    def push(self) -> None:
        """Puts on its way what the other side has room for."""
        other = self.other
        room = WINDOW - other.held
        if self.out and room > 0 and not self.closed:
            data = bytes(self.out[:room])
            del self.out[:room]
            other.held += len(data)
            self.world.network(self.latency, lambda: other.arrive(data))
            if self.writer is not None:
                self.writer.wake()
        if self.finished and not self.out:
            self.finished = False
            self.world.network(self.latency, other.arrive_end)

    def arrive(self, data: bytes) -> None:
        if not self.closed and not self.broken:
            self.inbox.append(data)
            self.wake_reader()

    def arrive_end(self) -> None:
        if not self.closed:
            self.eof = True
            self.wake_reader()

    def arrive_reset(self) -> None:
        if not self.closed:
            self.broken = self.eof = True
            self.inbox.clear()
            self.wake_reader()
            if self.writer is not None:
                self.writer.wake()

    def wake_reader(self) -> None:
        if self.reader is not None:
            self.reader.wake(True)

    def drain(self, below: int = 0) -> Coro[None]:
        while len(self.out) > below:
            if self.closed or self.broken:
                raise Lost("closed here" if self.closed else "Broken pipe")
            self.writer = self.world.current
            try:
                yield
            finally:
                self.writer = None

    def finish(self) -> None:
        if not self.closed:
            self.finished = True
            self.push()

    def close(self) -> None:
        """With bytes unread it is a reset, as a system does it."""
        self._leave(bool(self.inbox))

    def abort(self) -> None:
        self._leave(True)

    def _leave(self, reset: bool) -> None:
        if self.closed:
            return
        self.closed = True
        self.out.clear()
        if self.process is not None:
            self.process.things.pop(self, None)
        other = self.other
        self.world.network(self.latency, other.arrive_reset if reset else other.arrive_end)
        for task in (self.reader, self.writer):
            if task is not None:
                task.wake(True)


class VirtualListener:
    def __init__(self, world: "VirtualWorld", address: Address, backlog: int, process: Process | None) -> None:
        self.world, self.address, self.backlog, self.process = world, address, backlog, process
        self.queue: deque[VirtualStream] = deque()
        self.waiter: Task | None = None
        self.choked = self.closed = False
        if process is not None:
            process.things[self] = None

    def accept(self) -> Coro[Stream]:
        while not self.queue or self.choked:
            if self.closed:
                raise Lost("closed here")
            self.waiter = self.world.current
            try:
                yield
            finally:
                self.waiter = None
        return self.queue.popleft()

    def choke(self, on: bool) -> None:
        self.choked = on
        if not on and self.waiter is not None:
            self.waiter.wake()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.world.listeners.pop(self.address, None)
            if self.process is not None:
                self.process.things.pop(self, None)
            for stream in self.queue:
                stream.abort()
            if self.waiter is not None:
                self.waiter.throw(Lost("closed here"))

    abort = close


class VirtualWorld(World):
    """`programs`: what a command becomes; called with its words after the interpreter's. `latency`: one way, on
    average; each connection has one of its own within a half of it."""

    def __init__(self, seed: int = 0, latency: Time = 2, programs: Program | None = None) -> None:
        super().__init__(seed)
        self.time: Time = 1_000_000
        self.latency, self.programs = latency, programs
        self.random = self.chance("network")
        self.listeners: dict[Address, VirtualListener] = {}
        self.processes: dict[Task, Process] = {}  # emptied as tasks end
        self.left: list[Task] = []  # of killed processes; bounded by what they had under way
        self.acting: Process | None = None  # whose timer comes up now
        self.disk = Disk(self.chance("disk"))
        self.next_port, self.next_pid, self.starts = 40_000, 100, 0

    def bury(self) -> None:
        """Lets go of what killed processes left, once nobody looks any more: unwinding it does harm to nobody now."""
        self.over = True
        for task in self.left:
            self.current_or_none = task
            try:
                task.coro.close()
            except BaseException:  # it expects a world that goes on
                pass
        self.left.clear()
        self.current_or_none = None

    @property
    def process(self) -> Process | None:
        if self.acting is not None:
            return self.acting
        task = self.current_or_none
        return self.processes.get(task) if task is not None else None

    def now(self) -> Time:
        return self.time

    def wall_ms(self) -> int:
        return EPOCH_MS + self.time // 10

    def fresh(self) -> int:
        self.starts += 1
        return self.chance(f"start {self.starts}").getrandbits(48)

    def poll(self, until: Time | None) -> None:
        if until is None:
            raise RuntimeError("nothing is due any more, and the main task waits")
        self.time = max(self.time, until)

    def at(self, when: Time, call: Callable[[], None]) -> Timer:
        process = self.process
        if process is None:
            return super().at(when, call)
        return super().at(when, lambda: self.acted(process, call))

    def acted(self, process: Process, call: Callable[[], None]) -> None:
        """A timer's call, as its process: nothing of it once that has ended, later while it is stopped."""
        if process.stopped:
            process.due.append(call)
        elif process.ended is None:
            self.acting = process
            try:
                call()
            finally:
                self.acting = None

    def network(self, delay: Time, call: Callable[[], None]) -> None:
        """Happens whatever becomes of who caused it."""
        self.timers.at(self.time + delay, call)

    def start(self, coro: Coro[Any], name: str, done: Callable[[Task], None]) -> Task:
        process = self.process
        if process is None:
            return super().start(coro, name, lambda task: self._done(task, done))
        return self._begin(process, coro, name, lambda task: self._done(task, done))

    def _begin(self, process: Process, coro: Coro[Any], name: str, done: Callable[[Task], None]) -> Task:
        task = VirtualTask(self, coro, name, done, process)
        task.wake()
        self.processes[task] = process
        process.tasks[task] = None
        return task

    def _done(self, task: Task, done: Callable[[Task], None]) -> None:
        process = self.processes.pop(task, None)
        if process is not None:
            process.tasks.pop(task, None)
        done(task)

    def connect(self, address: Address, limit: Time) -> Coro[Stream]:
        latency = max(1, round(self.latency * self.random.uniform(0.5, 1.5)))
        process, begun = self.process, self.time
        yield from self.sleep(min(latency, limit))
        listener = self.listeners.get(address)
        if listener is None:
            yield from self.sleep(min(latency, limit))
            raise ConnectFailed("Connection refused")
        if listener.choked or len(listener.queue) >= listener.backlog or 2 * latency > limit:
            yield from self.sleep(max(0, begun + limit - self.time))
            raise ConnectFailed(f"no connection in {limit / 10:.0f} ms")
        self.next_port += 1
        here = VirtualStream(self, address, process, latency)
        there = VirtualStream(self, ("127.0.0.1", self.next_port), listener.process, latency)
        here.other, there.other = there, here
        listener.queue.append(there)
        if listener.waiter is not None:
            listener.waiter.wake()
        yield from self.sleep(latency)
        return here

    def listen(self, address: Address, backlog: int = 1024) -> VirtualListener:
        if not address[1]:
            self.next_port += 1
            address = address[0], self.next_port
        if address in self.listeners:
            raise OSError(98, "Address already in use")
        found = self.listeners[address] = VirtualListener(self, address, backlog, self.process)
        return found

    def spawn_child(self, command: Sequence[str], *, output: str | None = None) -> VirtualChild:
        assert self.programs is not None, "this world knows no programs"
        self.next_pid += 1
        process = Process(self, self.next_pid)
        coro = self.programs(command)

        def ended(task: Task) -> None:
            self.processes.pop(task, None)
            process.tasks.pop(task, None)
            if output is not None and task.error is not None:
                with open(output, "a", encoding="utf-8") as sink:
                    sink.write(f"{type(task.error).__name__}: {task.error}\n")
            process.end(0 if task.error is None else 1)

        self._begin(process, coro, f"process {process.pid}", ended)
        return VirtualChild(process)

    def spawn_piped(self, command: Sequence[str], *, errors: str | None = None) -> tuple[VirtualChild, Stream]:
        raise OSError(38, "no pipes in a made-up world")

    def files(self) -> VirtualFiles:
        made, process = VirtualFiles(self.disk), self.process
        if process is not None:
            process.files.append(made)
        return made

    def aside(self, call: Callable[[], T]) -> Coro[T]:
        yield from ()
        return call()

    def watch(self) -> Watch | None:
        return None

    def signals(self, *numbers: int) -> Callable[[], Coro[int]]:
        process = self.process
        if process is not None:
            process.caught |= {int(number) for number in numbers if number != signals.SIGKILL}

        def next_one() -> Coro[int]:
            while process is None or not process.arrived:
                if process is not None:
                    process.waiter = self.current
                yield
            return process.arrived.popleft()

        return next_one

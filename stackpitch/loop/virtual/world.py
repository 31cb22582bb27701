"""The made-up world itself: its clock, its timers and tasks by process, what listens where."""

import signal as signals
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from stackpitch.loop.file_system import FileSystem
from stackpitch.loop.task import Coro, Task
from stackpitch.loop.timers import Time, Timer
from stackpitch.loop.virtual.disk import Disk, VirtualFiles
from stackpitch.loop.virtual.listener import VirtualListener
from stackpitch.loop.virtual.process import Process, VirtualChild, VirtualTask
from stackpitch.loop.virtual.stream import VirtualStream
from stackpitch.loop.world import Address, ConnectFailed, Stream, Watch, World

T = TypeVar("T")
Program = Callable[[Sequence[str]], Coro[Any]]
EPOCH_MS = 1_700_000_000_000


class VirtualWorld(World):
    """`programs`: what a command becomes; called with its words after the interpreter's. `latency`: one way, on
    average; each connection has one of its own within a half of it. `volume`: of all its processes, else the real one."""

    pipes = False

    def __init__(
        self,
        seed: int = 0,
        latency: Time = 2,
        programs: Program | None = None,
        file_system: FileSystem | None = None,
    ) -> None:
        super().__init__(seed)
        self.time: Time = 1_000_000
        self.latency, self.programs, self.shared_file_system = latency, programs, file_system
        self.random = self.rng("network")
        self.listeners: dict[Address, VirtualListener] = {}
        self.processes: dict[Task, Process] = {}  # emptied as tasks end
        self.left: list[Task] = []  # of killed processes; bounded by what they had under way
        self.acting: Process | None = None  # whose timer comes up now
        self.disk = Disk(self.rng("disk"))
        self.next_port, self.next_pid = 40_000, 100
        self.starts: Counter[str] = Counter()  # by what a fresh number is for: as many as the program has

    def close(self) -> None:
        """Lets go of what killed processes left, once nobody looks any more: unwinding it does harm to nobody now."""
        self.closing = True
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

    def unique_id(self, what: str = "start") -> int:
        self.starts[what] += 1
        return self.rng(f"{what} {self.starts[what]}").getrandbits(48)

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
        if (
            listener.blocked
            or len(listener.queue) >= listener.backlog
            or 2 * latency + listener.connect_delay > limit
        ):
            yield from self.sleep(max(0, begun + limit - self.time))
            raise ConnectFailed(f"no connection in {limit / 10:.0f} ms")
        if listener.connect_delay:
            yield from self.sleep(listener.connect_delay)
        self.next_port += 1
        here = VirtualStream(self, address, process, latency)
        there = VirtualStream(self, ("127.0.0.1", self.next_port), listener.process, latency)
        here.other, there.other = there, here
        if listener.receive_window is not None:
            there.window = listener.receive_window
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

    def spawn_piped(
        self, command: Sequence[str], *, errors: str | None = None
    ) -> tuple[VirtualChild, Stream]:
        raise OSError(38, "no pipes in a made-up world")

    def files(self) -> VirtualFiles:
        made, process = VirtualFiles(self.disk), self.process
        if process is not None:
            process.files.append(made)
        return made

    def file_system(self) -> FileSystem:
        return self.shared_file_system if self.shared_file_system is not None else super().file_system()

    def run_blocking(self, call: Callable[[], T], queue: str = "") -> Coro[T]:
        yield from ()
        return call()

    def watch(self) -> Watch | None:
        return None

    def first_signal_time(self, numbers: Sequence[int]) -> Time | None:
        delivered = self.process.delivered if self.process is not None else {}
        return min((delivered[one] for one in numbers if one in delivered), default=None)

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

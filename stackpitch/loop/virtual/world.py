"""The simulated world: its clock, its timers and tasks by process, and its listeners."""

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
EPOCH_MS = 1_700_000_000_000  # wall clock at the simulated time 0


class VirtualWorld(World):
    """A simulated machine.

    `programs` returns the main task of a command, given its arguments. `latency` is the mean one-way network
    latency; that of each connection differs from it by up to half. `file_system` is shared by all processes;
    by default the real one is used.
    """

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
        self.processes: dict[Task, Process] = {}  # by task; entries leave as tasks end
        self.killed_tasks: list[Task] = []  # of killed processes; emptied by `close`
        self.timer_process: Process | None = None  # whose timer is being called
        self.disk = Disk(self.rng("disk"))
        self.next_port, self.next_pid = 40_000, 100
        self.ids_drawn: Counter[str] = Counter()  # by purpose: one entry for each in the program

    def close(self) -> None:
        """Unwinds the tasks of killed processes. For the end of the simulation, when that has no effects."""
        self.closing = True
        for task in self.killed_tasks:
            self.current_or_none = task
            try:
                task.coro.close()
            except BaseException:  # its cleanup expects a running world
                pass
        self.killed_tasks.clear()
        self.current_or_none = None

    @property
    def process(self) -> Process | None:
        """The process that runs now; None for the world's own tasks."""
        if self.timer_process is not None:
            return self.timer_process
        task = self.current_or_none
        return self.processes.get(task) if task is not None else None

    def now(self) -> Time:
        return self.time

    def wall_ms(self) -> int:
        return EPOCH_MS + self.time // 10

    def unique_id(self, purpose: str = "start") -> int:
        self.ids_drawn[purpose] += 1
        return self.rng(f"{purpose} {self.ids_drawn[purpose]}").getrandbits(48)

    def poll(self, until: Time | None) -> None:
        if until is None:
            raise RuntimeError("deadlock: nothing is due, and the main task waits")
        self.time = max(self.time, until)

    def at(self, when: Time, call: Callable[[], None]) -> Timer:
        process = self.process
        if process is None:
            return super().at(when, call)
        return super().at(when, lambda: self.call_as(process, call))

    def call_as(self, process: Process, call: Callable[[], None]) -> None:
        """Runs a timer's call as its process: postponed while that is stopped, dropped once it has ended."""
        if process.stopped:
            process.due.append(call)
        elif process.exit_code is None:
            self.timer_process = process
            try:
                call()
            finally:
                self.timer_process = None

    def network(self, delay: Time, call: Callable[[], None]) -> None:
        """Schedules a network event, which happens even if the process that caused it is stopped or ends."""
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
        near = VirtualStream(self, address, process, latency)
        far = VirtualStream(self, ("127.0.0.1", self.next_port), listener.process, latency)
        near.other, far.other = far, near
        if listener.receive_window is not None:
            far.window = listener.receive_window
        listener.queue.append(far)
        if listener.waiter is not None:
            listener.waiter.wake()
        yield from self.sleep(latency)
        return near

    def listen(self, address: Address, backlog: int = 1024) -> VirtualListener:
        if not address[1]:
            self.next_port += 1
            address = address[0], self.next_port
        if address in self.listeners:
            raise OSError(98, "Address already in use")
        listener = self.listeners[address] = VirtualListener(self, address, backlog, self.process)
        return listener

    def spawn_child(self, command: Sequence[str], *, output: str | None = None) -> VirtualChild:
        assert self.programs is not None, "this world has no programs"
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
        raise OSError(38, "no pipes in a simulated world")

    def files(self) -> VirtualFiles:
        files, process = VirtualFiles(self.disk), self.process
        if process is not None:
            process.files.append(files)
        return files

    def file_system(self) -> FileSystem:
        return self.shared_file_system if self.shared_file_system is not None else super().file_system()

    def run_blocking(self, call: Callable[[], T], queue: str = "") -> Coro[T]:
        yield from ()
        return call()

    def watch(self) -> Watch | None:
        return None

    def first_signal_time(self, numbers: Sequence[int]) -> Time | None:
        times = self.process.signal_times if self.process is not None else {}
        return min((times[number] for number in numbers if number in times), default=None)

    def signals(self, *numbers: int) -> Callable[[], Coro[int]]:
        process = self.process
        if process is not None:
            process.handled |= {int(number) for number in numbers if number != signals.SIGKILL}

        def next_signal() -> Coro[int]:
            while process is None or not process.arrived:
                if process is not None:
                    process.signal_waiter = self.current
                yield
            return process.arrived.popleft()

        return next_signal

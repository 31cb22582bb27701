"""Simulated processes: groups of tasks.

A killed process ends at once: its connections break, its timers never fire, and its tasks are neither resumed
nor unwound, as no code of a killed process runs. A stopped one (SIGSTOP) does nothing until it is continued,
and then everything that became due meanwhile runs at once; its kernel goes on: connections are established
and bytes arrive.
"""

import signal as signals
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from stackpitch.loop.task import Coro, Task
from stackpitch.loop.timers import Time
from stackpitch.loop.virtual.disk import VirtualFiles

if TYPE_CHECKING:
    from stackpitch.loop.virtual.world import VirtualWorld


class Process:
    """The tasks, connections and listeners of one started command. The world's own have the process None."""

    def __init__(self, world: "VirtualWorld", pid: int) -> None:
        self.world, self.pid = world, pid
        self.exit_code: int | None = None
        self.sockets: dict[Any, None] = {}  # open streams and listeners; entries leave on close
        self.tasks: dict[Task, None] = {}  # entries leave as tasks end
        self.handled: set[int] = set()  # signals with a handler
        self.arrived: deque[int] = deque()  # handled signals; emptied as `signals` returns them
        self.signal_times: dict[
            int, Time
        ] = {}  # when each handled signal was first sent; one entry per signal
        self.signal_waiter: Task | None = None  # in `signals`
        self.exit_waiters: list[Task] = []  # in `VirtualChild.wait`
        self.files: list[VirtualFiles] = []
        self.stopped = False
        # Calls, task steps and signals that became due while the process is stopped; emptied by `resume`.
        self.due: list[Callable[[], None]] = []
        self.parked: list[tuple[Task, Any, BaseException | None]] = []
        self.pending: list[int] = []

    def stop(self) -> None:
        """SIGSTOP."""
        self.stopped = True

    def resume(self) -> None:
        """SIGCONT: runs overdue timers, then the woken tasks, as an event loop does that overslept."""
        self.stopped = False
        due, self.due = self.due, []
        parked, self.parked = self.parked, []
        for call in due:
            self.world.call_as(self, call)
        self.world.ready.extend(parked)

    def end(self, code: int) -> None:
        """Ends the process with this exit code; a negative one is the signal that killed it."""
        if self.exit_code is not None:
            return
        self.exit_code = code
        self.due.clear()
        for task, _, _ in self.parked:
            task.ended = True
        for files in self.files:
            files.end(code < 0)
        for open_socket in list(self.sockets):
            open_socket.abort()
        for task in self.tasks:
            task.ended = True
        self.world.killed_tasks += self.tasks  # referenced, as garbage collection would unwind them
        self.tasks.clear()
        for task in self.exit_waiters:
            task.wake()


class VirtualChild:
    """Handle of a simulated process."""

    def __init__(self, process: Process) -> None:
        self.process, self.pid = process, process.pid

    def wait(self) -> Coro[int]:
        while self.process.exit_code is None:
            self.process.exit_waiters.append(self.process.world.current)
            yield
        return self.process.exit_code

    def code(self) -> int | None:
        return self.process.exit_code

    def signal(self, number: int) -> None:
        process = self.process
        if process.exit_code is not None:
            return
        if number == signals.SIGSTOP:
            process.stop()
        elif number == signals.SIGCONT:
            if process.stopped:
                process.resume()
                pending, process.pending = process.pending, []
                for pending_number in pending:
                    self.signal(pending_number)
        elif process.stopped and number != signals.SIGKILL:
            process.pending.append(number)
            process.signal_times.setdefault(number, process.world.now())
        elif number in process.handled:
            process.signal_times.setdefault(number, process.world.now())
            process.arrived.append(number)
            if process.signal_waiter is not None:
                process.signal_waiter.wake()
        else:
            process.end(-number)


class VirtualTask(Task):
    """A task of a simulated process; it does not run while the process is stopped."""

    __slots__ = ("process",)

    def __init__(
        self,
        world: "VirtualWorld",
        coro: Coro[Any],
        name: str,
        done: Callable[[Task], None],
        process: Process,
    ) -> None:
        super().__init__(world, coro, name, done)
        self.process = process

    def step(self, value: Any, error: BaseException | None) -> None:
        if self.process.stopped:
            self.process.parked.append((self, value, error))
        else:
            super().step(value, error)

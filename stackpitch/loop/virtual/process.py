"""Processes of a made-up machine: groups of tasks.

One that is killed leaves at once: its connections break, its timers never fire, and its tasks are neither resumed nor
unwound, as nothing of a killed process runs. One that is stopped (SIGSTOP) does nothing until it is continued, then all
that came up meanwhile at once; its part of the network goes on: connections come about, bytes arrive.
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
    """All tasks, connections and listeners that began under one command. `None` in the world: the world's own."""

    def __init__(self, world: "VirtualWorld", pid: int) -> None:
        self.world, self.pid = world, pid
        self.ended: int | None = None
        self.things: dict[Any, None] = {}  # open streams and listeners
        self.tasks: dict[Task, None] = {}  # that have not ended
        self.caught: set[int] = set()
        self.arrived: deque[int] = deque()
        self.delivered: dict[int, Time] = {}  # when each caught signal was sent first; as many as are caught
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
            process.delivered.setdefault(number, process.world.now())
        elif number in process.caught:
            process.delivered.setdefault(number, process.world.now())
            process.arrived.append(number)
            if process.waiter is not None:
                process.waiter.wake()
        else:
            process.end(-number)


class VirtualTask(Task):
    """Of a process; one that is stopped takes no step."""

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

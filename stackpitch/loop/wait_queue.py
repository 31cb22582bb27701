"""Fair waiting: what becomes available goes to the longest waiting task that can use it."""

from collections.abc import Callable
from typing import Generic, TypeVar

from stackpitch.loop.task import Coro, Task
from stackpitch.loop.world import World

T = TypeVar("T")


class WaitQueue(Generic[T]):
    """Waiting tasks, longest first.

    A resource is assigned to a task in the same step in which it becomes available, so that no task that
    arrives later, or runs earlier, can take it before the woken one runs.

    `try_acquire` takes the resource on behalf of the waiting task and returns it, or None if it is not
    available; it must neither wait nor call this queue.
    """

    def __init__(self) -> None:
        self.waiting: dict[Task, Callable[[], T | None]] = {}  # emptied as tasks are served or cancelled
        self.assigned: dict[Task, T] = {}  # until the task runs, in the loop's next turn

    def __len__(self) -> int:
        return len(self.waiting)

    def wait(
        self, task: Task, try_acquire: Callable[[], T | None], give_back: Callable[[T], None]
    ) -> Coro[T]:
        """Waits for the resource. `task` is the current task; `give_back` returns what was assigned to a task
        that is cancelled before it runs, for use by another."""
        if (acquired := try_acquire()) is not None:
            return acquired
        self.waiting[task] = try_acquire
        try:
            while task not in self.assigned:
                yield
        except BaseException:
            self.waiting.pop(task, None)
            if task in self.assigned:
                give_back(self.assigned.pop(task))
            raise
        return self.assigned.pop(task)

    def hand_out(self) -> None:
        """Serves waiting tasks; called when something has become available."""
        for task, try_acquire in list(self.waiting.items()):
            if (acquired := try_acquire()) is not None:
                del self.waiting[task]
                self.assigned[task] = acquired
                task.wake()


class Semaphore:
    """Up to `limit` holders at once. Each completed `acquire` needs a `release`, also after cancellation."""

    def __init__(self, world: World, limit: int = 1) -> None:
        self.world, self.limit, self.in_use = world, limit, 0
        self.waiters: WaitQueue[bool] = WaitQueue()

    def _try_acquire(self) -> bool | None:
        if self.in_use >= self.limit:
            return None
        self.in_use += 1
        return True

    def acquire(self) -> Coro[None]:
        """Waits for a place, in order of arrival."""
        yield from self.waiters.wait(self.world.current, self._try_acquire, lambda _: self.release())

    def release(self) -> None:
        """Gives the place back."""
        self.in_use -= 1
        self.waiters.hand_out()

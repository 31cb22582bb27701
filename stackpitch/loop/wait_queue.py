"""Semaphore in order of coming: whatever comes free goes to the one that has waited longest and can use it."""

from collections.abc import Callable
from typing import Generic, TypeVar

from stackpitch.loop.task import Coro, Task
from stackpitch.loop.world import World

T = TypeVar("T")


class WaitQueue(Generic[T]):
    """Who waits, longest first. What comes free is handed over in that same step, so that nobody who comes later, or runs
    earlier, takes it from the one that is woken for it.

    `grab` takes what is wanted in the name of whoever waits, or gives None; it must not wait, nor call this line.
    """

    def __init__(self) -> None:
        self.waiting: dict[Task, Callable[[], T | None]] = {}  # emptied as they get it or are cancelled
        self.handed: dict[Task, T] = {}  # until its task runs, in the next turn of the loop

    def __len__(self) -> int:
        return len(self.waiting)

    def wait(self, task: Task, grab: Callable[[], T | None], back: Callable[[T], None]) -> Coro[T]:
        """`task`: the current one. `back` takes what was handed to a task that is cancelled before it runs: it is another's."""
        if (found := grab()) is not None:
            return found
        self.waiting[task] = grab
        try:
            while task not in self.handed:
                yield
        except BaseException:
            self.waiting.pop(task, None)
            if task in self.handed:
                back(self.handed.pop(task))
            raise
        return self.handed.pop(task)

    def hand_out(self) -> None:
        """Something came free."""
        for task, grab in list(self.waiting.items()):
            if (found := grab()) is not None:
                del self.waiting[task]
                self.handed[task] = found
                task.wake()


class Semaphore:
    """`most` at once; `open` is how many are. Who took a turn gives it back, also when it is cancelled meanwhile."""

    def __init__(self, world: World, most: int = 1) -> None:
        self.world, self.most, self.in_use = world, most, 0
        self.waiters: WaitQueue[bool] = WaitQueue()

    def _grab(self) -> bool | None:
        if self.in_use >= self.most:
            return None
        self.in_use += 1
        return True

    def acquire(self) -> Coro[None]:
        yield from self.waiters.wait(self.world.current, self._grab, lambda _: self.release())

    def release(self) -> None:
        self.in_use -= 1
        self.waiters.hand_out()

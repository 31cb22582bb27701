"""One after the other, in order of coming."""

from collections import deque

from stackpitch.loop import Coro, Task, World


class Turns:
    def __init__(self, world: World) -> None:
        self.world, self.taken = world, False
        self.waiters: deque[Task] = deque()  # emptied as they get their turn or are cancelled

    def take(self) -> Coro[None]:
        while self.taken:
            task = self.world.current
            self.waiters.append(task)
            try:
                yield
            except BaseException:
                if task in self.waiters:
                    self.waiters.remove(task)
                else:
                    self._next()  # woken and cancelled at once: the turn is another's
                raise
        self.taken = True

    def give(self) -> None:
        self.taken = False
        self._next()

    def _next(self) -> None:
        if self.waiters:
            self.waiters.popleft().wake()

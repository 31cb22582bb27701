"""Tasks, scopes and groups: what runs, what bounds it, what owns it.

A task is a generator. A primitive arranges for `Task.wake` to be called, then yields; what is given to `wake`
is what its `yield` returns. Three promises hold, as in trio: a group's children end before the group does;
cancellation and time limits are scopes; no error is lost (a child's error cancels its siblings and comes out of
the group). Cancelling is by level: every wait inside a cancelled scope ends at once until the scope is left.
"""

from collections.abc import Callable, Generator
from types import TracebackType
from typing import TYPE_CHECKING, Any, TypeVar

from stackpitch.loop.timers import Time, Timer

if TYPE_CHECKING:
    from stackpitch.loop.world import World

T = TypeVar("T")
Coro = Generator[Any, Any, T]


class Cancelled(BaseException):
    """Thrown into a task at its wait. Only the scope that was cancelled stops it; never swallow it elsewhere."""

    def __init__(self, scope: "Scope") -> None:
        super().__init__()
        self.scope = scope


class Scope:
    """A stretch of one task that can be cancelled: `with world.limit(delay) as scope`, then `scope.expired`."""

    __slots__ = ("cancel_called", "cancelled", "expired", "limit", "shield", "task", "timer", "world")

    def __init__(self, world: "World", limit: Time | None = None, shield: bool = False) -> None:
        self.world, self.limit, self.shield = world, limit, shield
        self.cancelled = self.expired = False
        self.cancel_called = False  # by a call of `cancel`, whatever the time limit
        self.task: Task | None = None
        self.timer: Timer | None = None

    def __enter__(self) -> "Scope":
        self.task = self.world.current
        self.task.scopes.append(self)
        self.task.alert = self.task.alert or self.cancelled
        if self.limit is not None:
            self.timer = self.world.at(self.world.now() + max(0, self.limit), self._expire)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool:
        assert self.task is not None and self.task.scopes[-1] is self, "scopes are left in the order of entry"
        self.task.scopes.pop()
        if self.cancelled:
            self.task.alert = any(scope.cancelled for scope in self.task.scopes)
        self._disarm()
        self.task = None
        return isinstance(error, Cancelled) and error.scope is self

    def remove_limit(self) -> None:
        """Takes the time limit away, as when the first token has come. Also one that came up in the same turn, after
        that token and before the task went on: it must not strike what has begun."""
        self._disarm()
        if self.expired:
            assert self.task is not None
            self.expired, self.cancelled = False, self.cancel_called
            self.task.alert = any(scope.cancelled for scope in self.task.scopes)

    def _disarm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _expire(self) -> None:
        self.expired = True
        self._strike()

    def cancel(self) -> None:
        self.cancel_called = True
        self._strike()

    def _strike(self) -> None:
        self.cancelled = True
        if self.task is not None:
            self.task.alert = True
            self.task.interrupt()


class Task:
    """One running generator. `result` and `error` hold how it ended; `done` is called once then."""

    __slots__ = ("alert", "coro", "done", "ended", "error", "name", "result", "scheduled", "scopes", "world")

    def __init__(self, world: "World", coro: Coro[Any], name: str, done: Callable[["Task"], None]) -> None:
        self.world, self.coro, self.name, self.done = world, coro, name, done
        self.scopes: list[Scope] = []
        root = Scope(world)
        root.task = self
        self.scopes.append(root)
        self.ended = self.scheduled = False
        self.alert = False  # one of its scopes has been cancelled
        self.result: Any = None
        self.error: BaseException | None = None

    def wake(self, value: Any = None) -> None:
        """Lets a waiting task go on; the first call counts, later ones before it ran are ignored."""
        if not self.scheduled and not self.ended:
            self.scheduled = True
            self.world.ready.append((self, value, None))

    def throw(self, error: BaseException) -> None:
        if not self.scheduled and not self.ended:
            self.scheduled = True
            self.world.ready.append((self, None, error))

    def cancelled_scope(self) -> Scope | None:
        """The outermost cancelled scope that no shield hides."""
        found = None
        for scope in reversed(self.scopes):
            if scope.cancelled:
                found = scope
            if scope.shield:
                break
        return found

    def interrupt(self) -> None:
        if self.world.current_or_none is not self and (scope := self.cancelled_scope()) is not None:
            self.throw(Cancelled(scope))

    def cancel(self) -> None:
        self.scopes[0].cancel()

    def step(self, value: Any, error: BaseException | None) -> None:
        """Runs to the next wait or to the end."""
        self.scheduled = False
        try:
            if error is None:
                self.coro.send(value)
            else:
                self.coro.throw(error)
        except StopIteration as stop:
            self.result = stop.value
        except Cancelled as cancelled:
            if cancelled.scope is not self.scopes[0]:
                self.error = RuntimeError(f"{self.name}: a cancellation left its scope")
        except BaseException as wrong:
            self.error = wrong
        else:
            if self.alert and (scope := self.cancelled_scope()) is not None:
                self.throw(Cancelled(scope))
            return
        self.ended = True
        self.done(self)


class Group:
    """Tasks that end before the block that owns them. Made by `World.group`."""

    def __init__(self, world: "World", scope: Scope) -> None:
        self.world, self.scope = world, scope
        self.tasks: dict[Task, None] = {}  # in order of start; emptied as they end
        self.errors: list[BaseException] = []
        self.waiter: Task | None = None

    def spawn(self, coro: Coro[Any], name: str) -> Task:
        task = self.world.start(coro, name, self._ended)
        self.tasks[task] = None
        if self.scope.cancelled:
            task.cancel()
        return task

    def _ended(self, task: Task) -> None:
        self.tasks.pop(task, None)
        if task.error is not None:
            self.errors.append(task.error)
            self.scope.cancel()
        if not self.tasks and self.waiter is not None:
            self.waiter.wake()

    def join(self) -> Coro[None]:
        while self.tasks:
            self.waiter = self.world.current
            try:
                yield
            finally:
                self.waiter = None

    def cancel(self) -> None:
        for task in list(self.tasks):
            task.cancel()


def run_group(world: "World", body: Callable[[Group], Coro[T]]) -> Coro[T | None]:
    """Runs `body(group)`, then waits for the group's tasks; on an error or cancellation ends them first.

    Returns what the body returned, or None if the group's own scope was cancelled. Raises a child's error, or
    an ExceptionGroup of several.
    """
    result: T | None = None
    errors: list[BaseException] = []
    with Scope(world) as scope:
        group = Group(world, scope)
        errors = group.errors
        try:
            result = yield from body(group)
            yield from group.join()
        except GeneratorExit:
            raise  # let go of from outside, by a world that is over: nothing can be waited for
        except BaseException as wrong:
            if not isinstance(wrong, Cancelled):
                errors.append(wrong)
            group.cancel()
            with Scope(world, shield=True):
                yield from group.join()
            if isinstance(wrong, Cancelled):
                raise
    if len(errors) == 1:
        raise errors[0]
    if errors:
        raise BaseExceptionGroup("several tasks failed", errors)
    return result

"""Structured concurrency: tasks, cancellation scopes and task groups.

A task is a generator. A blocking primitive arranges for `Task.wake` to be called, then yields; the value
given to `wake` is the result of its `yield`. As in trio, a group's tasks end before the group does,
cancellation and time limits are scopes, and no error is lost: an error in one task cancels its siblings and
is raised by the group. Cancellation is level-triggered: every wait inside a cancelled scope ends at once
until the scope is left.
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
    """Thrown into a waiting task. Only the cancelled scope may catch it."""

    def __init__(self, scope: "Scope") -> None:
        super().__init__()
        self.scope = scope


class Scope:
    """A block of a task that can be cancelled or limited in time.

    Usage: `with world.limit(delay) as scope: ...`, then `scope.expired` says whether the limit was exceeded.
    """

    __slots__ = ("cancel_called", "cancelled", "expired", "limit", "shield", "task", "timer", "world")

    def __init__(self, world: "World", limit: Time | None = None, shield: bool = False) -> None:
        self.world, self.limit, self.shield = world, limit, shield
        self.cancelled = self.expired = False
        self.cancel_called = False  # explicitly, apart from the time limit
        self.task: Task | None = None
        self.timer: Timer | None = None

    def __enter__(self) -> "Scope":
        self.task = self.world.current
        self.task.scopes.append(self)
        self.task.cancel_pending = self.task.cancel_pending or self.cancelled
        if self.limit is not None:
            self.timer = self.world.at(self.world.now() + max(0, self.limit), self._expire)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool:
        assert self.task is not None and self.task.scopes[-1] is self, (
            "scopes must be exited in reverse order"
        )
        self.task.scopes.pop()
        if self.cancelled:
            self.task.cancel_pending = any(scope.cancelled for scope in self.task.scopes)
        self._stop_timer()
        self.task = None
        return isinstance(error, Cancelled) and error.scope is self

    def remove_limit(self) -> None:
        """Removes the time limit, for example once the first token has arrived.

        This includes a limit that expired in the same turn, after the token arrived and before the task
        resumed: it must not cancel a response that has begun.
        """
        self._stop_timer()
        if self.expired:
            assert self.task is not None
            self.expired, self.cancelled = False, self.cancel_called
            self.task.cancel_pending = any(scope.cancelled for scope in self.task.scopes)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _expire(self) -> None:
        self.expired = True
        self._cancel()

    def cancel(self) -> None:
        """Cancels the scope: the task is interrupted at its current or next wait inside it."""
        self.cancel_called = True
        self._cancel()

    def _cancel(self) -> None:
        self.cancelled = True
        if self.task is not None:
            self.task.cancel_pending = True
            self.task.interrupt()


class Task:
    """A running generator. When it ends, `result` or `error` is set and `done` is called once."""

    __slots__ = (
        "cancel_pending",
        "coro",
        "done",
        "ended",
        "error",
        "name",
        "result",
        "scheduled",
        "scopes",
        "world",
    )

    def __init__(self, world: "World", coro: Coro[Any], name: str, done: Callable[["Task"], None]) -> None:
        self.world, self.coro, self.name, self.done = world, coro, name, done
        self.scopes: list[Scope] = []
        root = Scope(world)
        root.task = self
        self.scopes.append(root)
        self.ended = self.scheduled = False
        self.cancel_pending = False  # one of its scopes is cancelled
        self.result: Any = None
        self.error: BaseException | None = None

    def wake(self, value: Any = None) -> None:
        """Resumes a waiting task with `value`. Further calls before it has run are ignored."""
        if not self.scheduled and not self.ended:
            self.scheduled = True
            self.world.ready.append((self, value, None))

    def throw(self, error: BaseException) -> None:
        """Resumes a waiting task with an exception; ignored if it has been resumed already."""
        if not self.scheduled and not self.ended:
            self.scheduled = True
            self.world.ready.append((self, None, error))

    def cancelled_scope(self) -> Scope | None:
        """The outermost cancelled scope that is not shielded."""
        outermost = None
        for scope in reversed(self.scopes):
            if scope.cancelled:
                outermost = scope
            if scope.shield:
                break
        return outermost

    def interrupt(self) -> None:
        """Throws `Cancelled` into the task if an effective scope is cancelled and the task is waiting."""
        if self.world.current_or_none is not self and (scope := self.cancelled_scope()) is not None:
            self.throw(Cancelled(scope))

    def cancel(self) -> None:
        """Cancels the whole task."""
        self.scopes[0].cancel()

    def step(self, value: Any, error: BaseException | None) -> None:
        """Runs the task until its next wait or its end."""
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
                self.error = RuntimeError(f"{self.name}: Cancelled was raised outside its scope")
        except BaseException as raised:
            self.error = raised
        else:
            if self.cancel_pending and (scope := self.cancelled_scope()) is not None:
                self.throw(Cancelled(scope))
            return
        self.ended = True
        self.done(self)


class Group:
    """Tasks that end before the block that owns them. Created by `World.group`."""

    def __init__(self, world: "World", scope: Scope) -> None:
        self.world, self.scope = world, scope
        self.tasks: dict[Task, None] = {}  # in order of start; entries leave as tasks end
        self.errors: list[BaseException] = []
        self.waiter: Task | None = None

    def spawn(self, coro: Coro[Any], name: str) -> Task:
        """Starts a task of this group."""
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
        """Waits until all tasks have ended."""
        while self.tasks:
            self.waiter = self.world.current
            try:
                yield
            finally:
                self.waiter = None

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self.tasks):
            task.cancel()


def run_group(world: "World", body: Callable[[Group], Coro[T]]) -> Coro[T | None]:
    """Runs `body(group)`, then waits for the group's tasks; on an error or cancellation cancels them first.

    Returns the body's result, or None if the group's own scope was cancelled. Raises the error of a task or
    of the body; several are raised as an ExceptionGroup.
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
            raise  # the generator is being closed by a world that has ended, so waiting is not possible
        except BaseException as error:
            if not isinstance(error, Cancelled):
                errors.append(error)
            group.cancel()
            with Scope(world, shield=True):
                yield from group.join()
            if isinstance(error, Cancelled):
                raise
    if len(errors) == 1:
        raise errors[0]
    if errors:
        raise BaseExceptionGroup("several tasks failed", errors)
    return result

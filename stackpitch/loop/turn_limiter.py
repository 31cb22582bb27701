"""Bounds how much work of one kind all tasks together do in a turn of the event loop."""

from typing import TYPE_CHECKING

from stackpitch.loop.task import Coro, Task

if TYPE_CHECKING:
    from stackpitch.loop.timers import Timer
    from stackpitch.loop.world import World


class TurnLimiter:
    """Admits work up to a number of units in each turn of the loop; the rest waits for later turns.

    Meant for work whose amount the remote side chooses, such as parsing what clients send. Without it a turn,
    and with it every timer and every other task, waits for as many pieces of such work as there are
    connections.

    Of the waiting tasks the one with the lowest rank is next, and among equals the one that has waited
    longest. One piece of work is admitted in each turn, however large.
    """

    def __init__(self, world: "World", units_per_turn: int) -> None:
        self.world, self.units_per_turn = world, units_per_turn
        self.turn = -1  # the loop's turn that `used` counts in
        self.used = 0  # units
        # Units by rank and waiting task; emptied as tasks are admitted or cancelled.
        self.waiting: dict[int, dict[Task, int]] = {}
        self.admitted: dict[Task, None] = {}  # until they run, in the same turn
        self.timer: Timer | None = None  # while tasks wait: due after the next poll

    def admit(self, units: int, rank: int) -> Coro[None]:
        """Waits for a turn with room for the work, of which the caller does `units` at once afterwards."""
        self._begin_turn()
        if not self.waiting and self.used < self.units_per_turn:
            self.used += units
            return
        task = self.world.current
        self.waiting.setdefault(rank, {})[task] = units
        self._schedule()
        try:
            while task not in self.admitted:
                yield
        finally:
            self.admitted.pop(task, None)
            self._stop_waiting(task, rank)
            self._schedule()  # a timer can't set itself anew: it would be due again in the same turn

    def _begin_turn(self) -> None:
        if self.turn != self.world.poll_count:
            self.turn, self.used = self.world.poll_count, 0

    def _stop_waiting(self, task: Task, rank: int) -> None:
        equals = self.waiting.get(rank, {})
        equals.pop(task, None)
        if not equals:
            self.waiting.pop(rank, None)

    def _schedule(self) -> None:
        if self.waiting and self.timer is None:
            self.timer = self.world.at(self.world.now(), self._admit_waiting)

    def _admit_waiting(self) -> None:
        self.timer = None
        self._begin_turn()
        for rank in sorted(self.waiting):
            for task, units in list(self.waiting[rank].items()):
                if self.used >= self.units_per_turn:
                    return
                self.used += units
                self.admitted[task] = None
                self._stop_waiting(task, rank)
                task.wake()

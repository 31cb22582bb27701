"""Timers in a heap. A cancelled one stays until it comes up or until the dead outnumber the living."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush

Time = int


class Timer:
    """One call to come. `cancel` may be called at any time, also after it ran."""

    __slots__ = ("call", "owner", "when")

    def __init__(self, owner: "Timers", when: Time, call: Callable[[], None]) -> None:
        self.owner, self.when = owner, when
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        if self.call is not None:
            self.call = None
            self.owner.count_cancelled()


class Timers:
    """Ordered by time, then by when they were set. Emptied by coming due and by `cancel`."""

    SWEEP = 512  # dead ones that are let lie in any case; more go once they are over half of all

    def __init__(self) -> None:
        self.heap: list[tuple[Time, int, Timer]] = []
        self.count = self.dead = 0

    def __len__(self) -> int:
        return len(self.heap) - self.dead

    def at(self, when: Time, call: Callable[[], None]) -> Timer:
        self.count += 1
        timer = Timer(self, when, call)
        heappush(self.heap, (when, self.count, timer))
        return timer

    def count_cancelled(self) -> None:
        self.dead += 1
        if self.dead > self.SWEEP and self.dead * 2 > len(self.heap):
            self.heap = [one for one in self.heap if one[2].call is not None]
            heapify(self.heap)
            self.dead = 0

    def next(self) -> Time | None:
        """When the first living timer is due; None without any."""
        while self.heap and self.heap[0][2].call is None:
            heappop(self.heap)
            self.dead -= 1
        return self.heap[0][0] if self.heap else None

    def pop(self, now: Time) -> Callable[[], None] | None:
        """The first call that is due, taken out; None if none is."""
        when = self.next()
        if when is None or when > now:
            return None
        timer = heappop(self.heap)[2]
        call, timer.call = timer.call, None
        return call

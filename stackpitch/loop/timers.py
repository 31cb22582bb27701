"""A heap of timers.

A cancelled timer stays in it until it is due or until cancelled timers outnumber pending ones.
"""

from collections.abc import Callable
from heapq import heapify, heappop, heappush

Time = int  # tenths of a millisecond


class Timer:
    """One scheduled call. `cancel` may be called at any time, also after the call ran."""

    __slots__ = ("call", "timers", "when")

    def __init__(self, timers: "Timers", when: Time, call: Callable[[], None]) -> None:
        self.timers, self.when = timers, when
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        if self.call is not None:
            self.call = None
            self.timers.count_cancelled()


class Timers:
    """Timers ordered by time, then by creation. Entries leave when they are due or after `cancel`."""

    # Cancelled timers are purged once there are more than this many and they are more than half of all.
    MIN_CANCELLED_TO_PURGE = 512

    def __init__(self) -> None:
        self.heap: list[tuple[Time, int, Timer]] = []
        self.count = self.cancelled = 0

    def __len__(self) -> int:
        return len(self.heap) - self.cancelled

    def at(self, when: Time, call: Callable[[], None]) -> Timer:
        """Schedules a call."""
        self.count += 1
        timer = Timer(self, when, call)
        heappush(self.heap, (when, self.count, timer))
        return timer

    def count_cancelled(self) -> None:
        """Called by a timer on cancellation; purges cancelled entries when there are too many."""
        self.cancelled += 1
        if self.cancelled > self.MIN_CANCELLED_TO_PURGE and self.cancelled * 2 > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].call is not None]
            heapify(self.heap)
            self.cancelled = 0

    def next(self) -> Time | None:
        """Time of the first pending timer; None if there is none."""
        while self.heap and self.heap[0][2].call is None:
            heappop(self.heap)
            self.cancelled -= 1
        return self.heap[0][0] if self.heap else None

    def pop(self, now: Time) -> Callable[[], None] | None:
        """Removes and returns the first call that is due; None if none is."""
        when = self.next()
        if when is None or when > now:
            return None
        timer = heappop(self.heap)[2]
        call, timer.call = timer.call, None
        return call

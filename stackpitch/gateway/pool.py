"""Pools of reusable connections to engines: bounded, with idle connections closed after a while."""

from collections import deque
from typing import NamedTuple

from stackpitch.gateway.outcomes import Phase
from stackpitch.loop import ConnectionLost, Coro, Stream, Time, Timer, WaitQueue, World
from stackpitch.loop.world import Address


class PoolExhausted(Exception):
    """The pool's bound is reached and no connection came free in time."""


class ConnectionSlot(NamedTuple):
    """One connection within the bounds, counted as open: an idle one, or None for one yet to be opened."""

    stream: Stream | None


class Rest(NamedTuple):
    """Since when a connection rests after its use, and the timer of the end."""

    since: Time
    timer: Timer


class Budget:
    """Bounds the connections that all pools of a gateway have open together.

    At the bound, the connection that has been idle longest is closed. A slot that comes free goes to the
    leg or call that has waited longest, at whatever pool.

    A connection that rests after its use is closed for a new one where nothing else is left: that costs a connect,
    where waiting would cost the rest of the rest.

    Legs that hang may hold all `max_open` connections, and held KV state must be released in time
    nevertheless: `reserve` more are for calls alone. `open_before_shrink`: how many were open when
    `max_open` was lowered; calls may use these until a slot is free.
    """

    def __init__(self, max_open: int, reserve: int = 0) -> None:
        self.max_open, self.reserve, self.open = max_open, reserve, 0
        self.open_before_shrink = max_open
        self.idle: dict[Stream, Pool] = {}  # of all pools, longest idle first; emptied as the pools' own
        # Of all pools, longest resting first; emptied once they have rested.
        self.resting: dict[Stream, Pool] = {}
        self.waiters: WaitQueue[ConnectionSlot] = WaitQueue()

    def resize(self, max_open: int, reserve: int = 0) -> None:
        """Sets other bounds. Connections beyond `max_open` close at once if idle, else on release."""
        self.max_open, self.reserve = max_open, reserve
        while self.open > max_open and self.idle:
            stream, pool = next(iter(self.idle.items()))
            pool.remove_idle(stream)
            pool.evict(stream)
        self.open_before_shrink = max(max_open, self.open)
        self.waiters.hand_out()  # there may be more room than before

    def slot_freed(self) -> None:
        """A connection was closed, and its slot is free."""
        self.open -= 1
        if self.open < self.max_open:
            self.open_before_shrink = self.max_open
        self.waiters.hand_out()

    def has_room(self, call: bool) -> bool:
        """Makes room for one more connection by closing idle ones; False if there are none.

        `call`: not for a leg.
        """
        bound = max(self.max_open + self.reserve, self.open_before_shrink) if call else self.max_open
        while self.open >= bound:
            if self.idle:
                stream, pool = next(iter(self.idle.items()))
                pool.remove_idle(stream)
            elif self.resting:
                stream, pool = next(iter(self.resting.items()))
                pool.end_rest(stream)
            else:
                return False
            pool.evict(stream)
        return True


class Pool:
    """Connections to one engine.

    `idle` has the newest last; it is emptied by use, by age and when the engine closes a connection. A
    connection carries one leg or call at a time. Only one whose last response was complete, with nothing
    after it, is released for reuse, and it rests for a while before: a second response that comes late would be
    taken for that of the next request. `resting`: longest first.
    """

    def __init__(
        self,
        world: World,
        address: Address,
        max_open: int,
        connect: Time,
        idle: Time,
        settle: Time = 0,
        budget: Budget | None = None,
    ) -> None:
        """`connect`, `idle`: time limits.

        `settle`: how long a released connection is watched before its reuse.
        """
        self.settle, self.budget = settle, budget if budget is not None else Budget(max_open)
        self.world, self.address, self.max_open, self.connect, self.idle_time = (
            world,
            address,
            max_open,
            connect,
            idle,
        )
        self.idle: deque[tuple[Stream, Time]] = deque()  # with the time since which it is idle
        self.resting: dict[Stream, Rest] = {}
        self.open = self.opened = self.reused = 0
        self.closed = False

    def acquire(self, phase: list[Phase], fresh: bool = False, call: bool = False) -> Coro[Stream]:
        """A connection: an idle one if there is one and not `fresh`, else a new one.

        `phase[0]` follows the progress. `call`: for a call, not for a leg. Raises PoolExhausted,
        ConnectFailed.
        """
        phase[0] = Phase.QUEUED
        slot = self._claim_slot(fresh, call)
        if slot is None:
            with self.world.limit(self.connect):
                slot = yield from self.budget.waiters.wait(
                    self.world.current, lambda: self._claim_slot(fresh, call), self._return_slot
                )
            # Not the scope's expiry: a slot may be handed over in the very turn in which the time runs out.
            if slot is None:
                raise PoolExhausted
        stream = slot.stream
        while stream is not None:
            if not fresh and not stream.eof and self._is_quiet(stream):
                self.reused += 1
                return stream
            unusable, stream = stream, self._pop_newest() if not fresh else None
            if stream is None:
                unusable.close()  # its slot goes to the new connection
            else:
                self.discard(unusable)
        phase[0] = Phase.CONNECTING
        try:
            stream = yield from self.world.connect(self.address, self.connect)
        except BaseException:
            self._slot_freed()
            raise
        self.opened += 1
        return stream

    def _claim_slot(self, fresh: bool, call: bool) -> ConnectionSlot | None:
        if self.idle and (not fresh or self.open >= self.max_open):
            return ConnectionSlot(self._pop_newest())
        if self.open >= self.max_open and not call:
            if not self.resting:
                return None
            stream = next(iter(self.resting))
            self.end_rest(stream)
            self.evict(stream)
        if not self.budget.has_room(call):
            return None
        self.open += 1
        self.budget.open += 1
        return ConnectionSlot(None)

    def _return_slot(self, slot: ConnectionSlot) -> None:
        """Gives back the slot of a task that ended before it could use it."""
        if slot.stream is not None:
            self._make_idle(slot.stream)
        else:
            self._slot_freed()

    def _pop_newest(self) -> Stream | None:
        if not self.idle:
            return None
        stream, _ = self.idle.pop()
        del self.budget.idle[stream]
        return stream

    @staticmethod
    def _is_quiet(stream: Stream) -> bool:
        """Whether nothing has arrived on an idle connection: stray bytes after a response, or the end."""
        try:
            return (
                stream.recv_now(force=True) is None
            )  # asks the kernel, as the loop may not have polled since
        except ConnectionLost:
            return False

    def release(self, stream: Stream) -> None:
        """Takes a connection back for reuse, after `settle`, within which stray bytes show."""
        if self.settle and not self.closed:
            now = self.world.now()
            timer = self.world.at(now + self.settle, lambda: self._settled(stream))
            self.resting[stream] = Rest(now, timer)
            self.budget.resting[stream] = self
            self.budget.waiters.hand_out()
        else:
            self._make_idle(stream)

    @property
    def last_good(self) -> Time | None:
        """When a connection that is open last came back in order; None if none is idle or rests."""
        if self.resting:
            return self.resting[next(reversed(self.resting))].since
        return self.idle[-1][1] if self.idle else None

    def end_rest(self, stream: Stream) -> None:
        """Takes a connection out of those that rest."""
        self.resting.pop(stream).timer.cancel()
        del self.budget.resting[stream]

    def _settled(self, stream: Stream) -> None:
        self.end_rest(stream)
        if self._is_quiet(stream):
            self._make_idle(stream)
        else:
            self.discard(stream)

    def _make_idle(self, stream: Stream) -> None:
        if self.closed or self.budget.open > self.budget.max_open:  # the latter after the bound was lowered
            self.discard(stream)
            return
        self.idle.append((stream, self.world.now()))
        self.budget.idle[stream] = self
        self.budget.waiters.hand_out()

    def remove_idle(self, stream: Stream) -> None:
        """Removes a connection from the idle ones."""
        del self.budget.idle[stream]
        self.idle = deque(entry for entry in self.idle if entry[0] is not stream)

    def evict(self, stream: Stream) -> None:
        """Closes a connection without waking a waiter: the slot belongs to the caller."""
        stream.close()
        self.open -= 1
        self.budget.open -= 1

    def discard(self, stream: Stream) -> None:
        """Closes a connection and frees its slot."""
        stream.close()
        self._slot_freed()

    def _slot_freed(self) -> None:
        self.open -= 1
        self.budget.slot_freed()

    def sweep(self) -> None:
        """Closes connections that were idle for too long or that the engine has closed."""
        before = self.world.now() - self.idle_time
        for stream in [idle for idle, since in self.idle if since < before or idle.eof]:
            if stream in self.budget.idle:  # it may have been evicted meanwhile
                self.remove_idle(stream)
                self.discard(stream)

    def apply_bounds(self, max_open: int, connect: Time, idle: Time, settle: Time) -> None:
        """Puts other bounds in force from the next use on; open connections stay."""
        self.max_open, self.connect, self.idle_time, self.settle = max_open, connect, idle, settle

    def close(self) -> None:
        """Closes the connections without a leg or call; the others close as they are released."""
        self.closed = True
        for resting in list(self.resting):
            self.end_rest(resting)
            self.discard(resting)
        while (stream := self._pop_newest()) is not None:
            self.discard(stream)

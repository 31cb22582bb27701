"""Kept connections to engines: one pool for each, bounded, with idle ones closed."""

from collections import deque
from typing import NamedTuple

from stackpitch.gateway.outcomes import Phase
from stackpitch.loop import ConnectionLost, Coro, Stream, Time, WaitQueue, World
from stackpitch.loop.world import Address


class PoolExhausted(Exception):
    """The pool's bound is reached and nothing came free in time."""


class ConnectionSlot(NamedTuple):
    """Room for one connection, counted as open; or a connection that has it."""

    stream: Stream | None


class Budget:
    """What all pools of a gateway may have open together. At the bound the connection idle longest is closed; what comes
    free goes to the leg or call that has waited longest, at whatever pool.

    Attempts that hang may keep all of `most`, and what was read is to be released in time nevertheless: `reserve` more are
    for calls alone. `open_before_shrink`: what was open as `most` fell, which calls may use until a place is free.
    """

    def __init__(self, most: int, reserve: int = 0) -> None:
        self.max_open, self.reserve, self.open = most, reserve, 0
        self.open_before_shrink = most
        self.idle: dict[Stream, Pool] = {}  # of all pools, longest first; emptied as theirs
        self.waiters: WaitQueue[ConnectionSlot] = WaitQueue()

    def resize(self, most: int, reserve: int = 0) -> None:
        """Other bounds. What is open beyond `most` closes at once where it is idle, else as it comes back."""
        self.max_open, self.reserve = most, reserve
        while self.open > most and self.idle:
            stream, pool = next(iter(self.idle.items()))
            pool.remove_idle(stream)
            pool.evict(stream)
        self.open_before_shrink = max(most, self.open)
        self.waiters.hand_out()  # there may be more room than before

    def slot_freed(self) -> None:
        """One was closed, and its place is free."""
        self.open -= 1
        if self.open < self.max_open:
            self.open_before_shrink = self.max_open
        self.waiters.hand_out()

    def has_room(self, call: bool) -> bool:
        bound = max(self.max_open + self.reserve, self.open_before_shrink) if call else self.max_open
        while self.open >= bound:
            if not self.idle:
                return False
            stream, pool = next(iter(self.idle.items()))
            pool.remove_idle(stream)
            pool.evict(stream)
        return True


class Pool:
    """Connections to one engine. `idle` holds the newest last; emptied by use, by age and when the other side ends.

    A connection serves one leg or call at a time. Only one whose last answer was whole, with nothing after it,
    comes back.
    """

    def __init__(
        self,
        world: World,
        address: Address,
        most: int,
        connect: Time,
        idle: Time,
        rest: Time = 0,
        budget: Budget | None = None,
    ) -> None:
        self.settle, self.budget = rest, budget if budget is not None else Budget(most)
        self.world, self.address, self.max_open, self.connect, self.idle_time = (
            world,
            address,
            most,
            connect,
            idle,
        )
        self.idle: deque[tuple[Stream, Time]] = deque()
        self.open = self.opened = self.reused = 0
        self.closed = False

    def acquire(self, phase: list[Phase], fresh: bool = False, call: bool = False) -> Coro[Stream]:
        """A connection, kept or, if `fresh`, new; `phase[0]` follows how far it is. `call`: for a small call, not a leg.
        Raises PoolExhausted, ConnectFailed."""
        phase[0] = Phase.QUEUED
        place = self._claim_slot(fresh, call)
        if place is None:
            with self.world.limit(self.connect):
                place = yield from self.budget.waiters.wait(
                    self.world.current, lambda: self._claim_slot(fresh, call), self._return_slot
                )
            if (
                place is None
            ):  # asked of the place, as it may be handed over in the very turn in which the time is up
                raise PoolExhausted
        stream = place.stream
        while stream is not None:
            if not fresh and not stream.eof and self._is_quiet(stream):
                self.reused += 1
                return stream
            spoilt, stream = stream, self._pop_newest() if not fresh else None
            if stream is None:
                spoilt.close()  # its place serves the new one
            else:
                self.discard(spoilt)
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
        if (self.open >= self.max_open and not call) or not self.budget.has_room(call):
            return None
        self.open += 1
        self.budget.open += 1
        return ConnectionSlot(None)

    def _return_slot(self, place: ConnectionSlot) -> None:
        """Of one that ended before it could use it."""
        if place.stream is not None:
            self._make_idle(place.stream)
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
        """Nothing may have come on an idle connection: garbage after a full answer, or the end."""
        try:
            return stream.recv_now(force=True) is None  # it may have come and not been told yet
        except ConnectionLost:
            return False

    def release(self, stream: Stream) -> None:
        """Takes a connection back; after a rest, in which what comes unasked for shows."""
        if self.settle and not self.closed:
            self.world.at(self.world.now() + self.settle, lambda: self._settled(stream))
        else:
            self._make_idle(stream)

    def _settled(self, stream: Stream) -> None:
        if self._is_quiet(stream):
            self._make_idle(stream)
        else:
            self.discard(stream)

    def _make_idle(self, stream: Stream) -> None:
        if self.closed or self.budget.open > self.budget.max_open:  # the latter once the bound has fallen
            self.discard(stream)
            return
        self.idle.append((stream, self.world.now()))
        self.budget.idle[stream] = self
        self.budget.waiters.hand_out()

    def remove_idle(self, stream: Stream) -> None:
        """It is idle no more."""
        del self.budget.idle[stream]
        self.idle = deque(one for one in self.idle if one[0] is not stream)

    def evict(self, stream: Stream) -> None:
        """Its place goes to whoever asked for this."""
        stream.close()
        self.open -= 1
        self.budget.open -= 1

    def discard(self, stream: Stream) -> None:
        stream.close()
        self._slot_freed()

    def _slot_freed(self) -> None:
        self.open -= 1
        self.budget.slot_freed()

    def sweep(self) -> None:
        """Closes what has been idle for too long or was ended by the other side."""
        before = self.world.now() - self.idle_time
        for stream in [one for one, since in self.idle if since < before or one.eof]:
            if stream in self.budget.idle:  # it may have made way for another meanwhile
                self.remove_idle(stream)
                self.discard(stream)

    def apply_bounds(self, most: int, connect: Time, idle: Time, rest: Time) -> None:
        """Other bounds from the next use on; connections that are open stay."""
        self.max_open, self.connect, self.idle_time, self.settle = most, connect, idle, rest

    def close(self) -> None:
        self.closed = True
        while (stream := self._pop_newest()) is not None:
            self.discard(stream)

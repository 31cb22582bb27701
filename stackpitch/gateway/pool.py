"""Kept connections to engines: one pool for each, bounded, with idle ones closed."""

from collections import deque
from typing import NamedTuple

from stackpitch.gateway.outcomes import Phase
from stackpitch.loop import ConnectionLost, Coro, Stream, Time, WaitQueue, World
from stackpitch.loop.world import Address


class NoneFree(Exception):
    """The pool's bound is reached and nothing came free in time."""


class Place(NamedTuple):
    """Room for one connection, counted as open; or a connection that has it."""

    stream: Stream | None


class Budget:
    """What all pools of a gateway may have open together. At the bound the connection idle longest is closed; what comes
    free goes to the leg or call that has waited longest, at whatever pool.

    Attempts that hang may keep all of `most`, and what was read is to be released in time nevertheless: `reserve` more are
    for calls alone. `before_fall`: what was open as `most` fell, which calls may use until a place is free.
    """

    def __init__(self, most: int, reserve: int = 0) -> None:
        self.most, self.reserve, self.open = most, reserve, 0
        self.before_fall = most
        self.idle: dict[Stream, Pool] = {}  # of all pools, longest first; emptied as theirs
        self.line: WaitQueue[Place] = WaitQueue()

    def resize(self, most: int, reserve: int = 0) -> None:
        """Other bounds. What is open beyond `most` closes at once where it is idle, else as it comes back."""
        self.most, self.reserve = most, reserve
        while self.open > most and self.idle:
            stream, pool = next(iter(self.idle.items()))
            pool.forget(stream)
            pool.shut(stream)
        self.before_fall = max(most, self.open)
        self.line.hand_out()  # there may be more room than before

    def left(self) -> None:
        """One was closed, and its place is free."""
        self.open -= 1
        if self.open < self.most:
            self.before_fall = self.most
        self.line.hand_out()

    def room(self, call: bool) -> bool:
        bound = max(self.most + self.reserve, self.before_fall) if call else self.most
        while self.open >= bound:
            if not self.idle:
                return False
            stream, pool = next(iter(self.idle.items()))
            pool.forget(stream)
            pool.shut(stream)
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
        self.rest, self.budget = rest, budget if budget is not None else Budget(most)
        self.world, self.address, self.most, self.connect, self.idle_time = (
            world,
            address,
            most,
            connect,
            idle,
        )
        self.idle: deque[tuple[Stream, Time]] = deque()
        self.open = self.made = self.reused = 0
        self.closed = False

    def take(self, phase: list[Phase], fresh: bool = False, call: bool = False) -> Coro[Stream]:
        """A connection, kept or, if `fresh`, new; `phase[0]` follows how far it is. `call`: for a small call, not a leg.
        Raises NoneFree, ConnectFailed."""
        phase[0] = Phase.QUEUED
        place = self._place(fresh, call)
        if place is None:
            with self.world.limit(self.connect):
                place = yield from self.budget.line.wait(
                    self.world.current, lambda: self._place(fresh, call), self._back
                )
            if (
                place is None
            ):  # asked of the place, as it may be handed over in the very turn in which the time is up
                raise NoneFree
        stream = place.stream
        while stream is not None:
            if not fresh and not stream.eof and self._silent(stream):
                self.reused += 1
                return stream
            spoilt, stream = stream, self._newest() if not fresh else None
            if stream is None:
                spoilt.close()  # its place serves the new one
            else:
                self.drop(spoilt)
        phase[0] = Phase.CONNECTING
        try:
            stream = yield from self.world.connect(self.address, self.connect)
        except BaseException:
            self._left()
            raise
        self.made += 1
        return stream

    def _place(self, fresh: bool, call: bool) -> Place | None:
        if self.idle and (not fresh or self.open >= self.most):
            return Place(self._newest())
        if (self.open >= self.most and not call) or not self.budget.room(call):
            return None
        self.open += 1
        self.budget.open += 1
        return Place(None)

    def _back(self, place: Place) -> None:
        """Of one that ended before it could use it."""
        if place.stream is not None:
            self._take_back(place.stream)
        else:
            self._left()

    def _newest(self) -> Stream | None:
        if not self.idle:
            return None
        stream, _ = self.idle.pop()
        del self.budget.idle[stream]
        return stream

    @staticmethod
    def _silent(stream: Stream) -> bool:
        """Nothing may have come on an idle connection: garbage after a full answer, or the end."""
        try:
            return stream.recv_now(force=True) is None  # it may have come and not been told yet
        except ConnectionLost:
            return False

    def give(self, stream: Stream) -> None:
        """Takes a connection back; after a rest, in which what comes unasked for shows."""
        if self.rest and not self.closed:
            self.world.at(self.world.now() + self.rest, lambda: self._rested(stream))
        else:
            self._take_back(stream)

    def _rested(self, stream: Stream) -> None:
        if self._silent(stream):
            self._take_back(stream)
        else:
            self.drop(stream)

    def _take_back(self, stream: Stream) -> None:
        if self.closed or self.budget.open > self.budget.most:  # the latter once the bound has fallen
            self.drop(stream)
            return
        self.idle.append((stream, self.world.now()))
        self.budget.idle[stream] = self
        self.budget.line.hand_out()

    def forget(self, stream: Stream) -> None:
        """It is idle no more."""
        del self.budget.idle[stream]
        self.idle = deque(one for one in self.idle if one[0] is not stream)

    def shut(self, stream: Stream) -> None:
        """Its place goes to whoever asked for this."""
        stream.close()
        self.open -= 1
        self.budget.open -= 1

    def drop(self, stream: Stream) -> None:
        stream.close()
        self._left()

    def _left(self) -> None:
        self.open -= 1
        self.budget.left()

    def sweep(self) -> None:
        """Closes what has been idle for too long or was ended by the other side."""
        before = self.world.now() - self.idle_time
        for stream in [one for one, since in self.idle if since < before or one.eof]:
            if stream in self.budget.idle:  # it may have made way for another meanwhile
                self.forget(stream)
                self.drop(stream)

    def take_bounds(self, most: int, connect: Time, idle: Time, rest: Time) -> None:
        """Other bounds from the next use on; connections that are open stay."""
        self.most, self.connect, self.idle_time, self.rest = most, connect, idle, rest

    def close(self) -> None:
        self.closed = True
        while (stream := self._newest()) is not None:
            self.drop(stream)

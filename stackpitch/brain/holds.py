"""Releases in time what requests may hold at workers while no attempt is known to use it.

A state waits at its prefill worker until a decode worker takes it. An attempt that was sent there is no sign that it has
been: it may lie unread in a socket of a worker that has hung or was cut off, and then stops no clock. A release spares
what an attempt waits for that did arrive, so it is sent in time whatever is out.
"""

from stackpitch.interface import NEVER_RAN, Gateway, Generation, Leg, Time


class Holds:
    TENTHS = 6  # of the time allowed, before a release is sent: the rest is for it to find a worker that runs

    def __init__(self, gateway: Gateway, allowed: Time) -> None:
        self.gateway, self.part = gateway, allowed * self.TENTHS // 10
        # Since when something may be held, or may be again; emptied by a stream's start, by a worker that finds no
        # state, and by the request's end.
        self.since: dict[Generation, Time] = {}

    def ended(self, now: Time, leg: Leg, no_state: bool) -> None:
        """An attempt's outcome starts the time anew, unless it proves that the attempt did not arrive."""
        if no_state:
            self.since.pop(leg.gen, None)
        elif self._may_hold(leg):
            self.since[leg.gen] = now
            self.gateway.wake(self.part, lambda _: self._due(leg.gen, now))

    def _may_hold(self, leg: Leg) -> bool:
        """A read's answer may have been lost as it had ended well; what was held before an attempt is so behind it."""
        if leg.outcome == "read":
            return True
        if leg.outcome in NEVER_RAN and leg.outcome != "full":
            return False
        return leg.gen in self.since or (leg.server.role == "reader" and leg.outcome != "full")

    def _due(self, gen: Generation, since: Time) -> None:
        if self.since.get(gen) == since:
            self.gateway.release(gen)

    def overdue(self, now: Time, leg: Leg) -> bool:
        """Whether one more connection in vain would come after the release."""
        held = now - self.since.get(leg.gen, now) if leg.outcome in ("unreachable", "not-sent") else 0
        return held > self.part

    def started(self, gen: Generation) -> None:
        """A stream lets go of all else by itself."""
        self.since.pop(gen, None)

    def let_go(self, gen: Generation) -> None:
        """The request is over, with no attempt out."""
        if self.since.pop(gen, None) is not None:
            self.gateway.release(gen)

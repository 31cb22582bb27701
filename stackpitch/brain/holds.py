"""Releases in time what requests may hold at workers while no attempt is known to use it.

A state waits at its prefill worker until a decode worker takes it. An attempt that was sent there is no sign that it has
been: it may lie unread in a socket of a worker that has hung or was cut off, and then stops no clock. An attempt counts as
arrived once its worker shows that it ran after that was written; else the state is released, as a release would also tear
it from an attempt that waits in its worker's queue, which would have to read the whole prompt again.
"""

from stackpitch.interface import MS, NEVER_RAN, Gateway, Generation, Leg, Time


class Holds:
    PART = (
        0.9  # of the time allowed, then a release is sent: the rest, and what the page grants, is for its way
    )
    VAIN_PART = 0.6  # of it, after which no further connection is tried in vain
    ARRIVAL = (
        100 * MS
    )  # over the time of any way, so that what came after it was not on its way before the attempt

    def __init__(self, gateway: Gateway, allowed: Time) -> None:
        self.gateway, self.allowed = gateway, allowed
        # Since when something may be held, or may be again; emptied by a stream's start, by a worker that finds no
        # state, and by the request's end.
        self.since: dict[Generation, Time] = {}

    def ended(self, now: Time, leg: Leg, no_state: bool) -> None:
        """An attempt's outcome starts the time anew, unless it proves that the attempt did not arrive."""
        if no_state:
            self.since.pop(leg.gen, None)
        elif self._may_hold(leg):
            self.since[leg.gen] = now
            self.gateway.wake(int(self.allowed * self.PART), lambda _: self._due(leg.gen, now))

    def _may_hold(self, leg: Leg) -> bool:
        """A read's answer may have been lost as it had ended well; what was held before an attempt is so behind it."""
        if leg.outcome == "read":
            return True
        if leg.outcome in NEVER_RAN and leg.outcome != "full":
            return False
        return leg.gen in self.since or (leg.server.role == "reader" and leg.outcome in ("reset", "error"))

    def _due(self, gen: Generation, since: Time) -> None:
        if self.since.get(gen) == since and not any(map(self._arrived, gen.legs)):
            self.gateway.release(gen)

    def _arrived(self, leg: Leg) -> bool:
        """Whether it is out at a worker that ran after it was written."""
        out = leg.outcome is None and leg.written is not None
        return out and leg.server.heard >= leg.written + self.ARRIVAL

    def overdue(self, now: Time, leg: Leg) -> bool:
        """Whether one more connection in vain would come after the release."""
        held = now - self.since.get(leg.gen, now) if leg.outcome in ("unreachable", "not-sent") else 0
        return held > self.allowed * self.VAIN_PART

    def started(self, gen: Generation) -> None:
        """A stream lets go of all else by itself."""
        self.since.pop(gen, None)

    def let_go(self, gen: Generation) -> None:
        """The request is over, with no attempt out."""
        if self.since.pop(gen, None) is not None:
            self.gateway.release(gen)

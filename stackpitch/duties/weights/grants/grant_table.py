"""A receiver's grants: which it accepts and which are active.

It checks the term of each grant itself, as a second guard against an owner whose lease has ended.
"""

from stackpitch.duties.calls import Stamp
from stackpitch.duties.weights.grants.grant import Grant, Held, Lane
from stackpitch.loop import Time

MAX_LANES = 4096  # two for each source; bounds the table against faulty calls


class GrantTable:
    """`serials` and `held` are cleared by a higher stamp; entries of `held` also expire by time."""

    def __init__(self, gateway: int, start: int) -> None:
        self.gateway, self.start = gateway, start
        self.stamp = Stamp()
        self.held: dict[Lane, Held] = {}
        self.serials: dict[Lane, int] = {}  # the newest accepted of each lane, also of grants that have ended

    def fence(self, stamp: Stamp) -> bool:
        """False if `stamp` is older than one seen before. A newer one ends all grants under older ones."""
        if stamp < self.stamp:
            return False
        if stamp > self.stamp:
            self.stamp = stamp
            self.held.clear()
            self.serials.clear()
        return True

    def accept(self, stamp: Stamp, grant: Grant, now: Time) -> str:
        """Accepts a grant. Returns "yes", or the reason for the refusal."""
        if not self.fence(stamp):
            return "older term"
        lane = grant.lane
        if lane.gateway != self.gateway or lane.start != self.start or grant.mark.start != self.start:
            return "another process"
        if grant.mark.at > now or min(grant.age, grant.lasts, grant.rate) < 0:
            return "not possible"
        if grant.rate and not (grant.address and grant.path):
            return "not possible"
        if grant.serial <= self.serials.get(lane, 0):
            return "repeated"
        if lane not in self.serials and len(self.serials) >= MAX_LANES:
            return "too many lanes"
        self.serials[lane] = grant.serial
        self.held.pop(lane, None)
        ends = grant.mark.at + grant.age + grant.lasts
        if grant.rate and ends > now:
            self.held[lane] = Held(stamp, grant, ends)
        return "yes"

    def active(self, now: Time) -> list[Held]:
        """Drops the grants that have ended and returns the others."""
        for lane in [lane for lane, held in self.held.items() if held.ends <= now]:
            del self.held[lane]
        return list(self.held.values())

    def finish(self, lane: Lane, serial: int) -> None:
        """Ends a grant whose pieces have all arrived, or whose source failed."""
        if (held := self.held.get(lane)) is not None and held.grant.serial == serial:
            del self.held[lane]

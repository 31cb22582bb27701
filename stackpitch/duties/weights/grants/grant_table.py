"""A receiver's grants: which it takes, which run. The second guard: terms are checked here, whatever the lease said."""

from stackpitch.duties.calls import Stamp
from stackpitch.duties.weights.grants.grant import Grant, Held, Lane
from stackpitch.loop import Time

MOST_LANES = 4096  # two for each source: a bound against a call that went wrong


class GrantTable:
    """`serials` and `held` are emptied by a higher stamp; `held` by time too."""

    def __init__(self, gateway: int, start: int) -> None:
        self.gateway, self.start = gateway, start
        self.stamp = Stamp()
        self.held: dict[Lane, Held] = {}
        self.serials: dict[Lane, int] = {}  # the newest heard of each lane, also of those that have ended

    def fence(self, stamp: Stamp) -> bool:
        """False if it is older than one heard before. A newer one ends all that the older ones granted."""
        if stamp < self.stamp:
            return False
        if stamp > self.stamp:
            self.stamp = stamp
            self.held.clear()
            self.serials.clear()
        return True

    def accept(self, stamp: Stamp, grant: Grant, now: Time) -> str:
        """ "yes", or why not."""
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
        if lane not in self.serials and len(self.serials) >= MOST_LANES:
            return "too many lanes"
        self.serials[lane] = grant.serial
        self.held.pop(lane, None)
        ends = grant.mark.at + grant.age + grant.lasts
        if grant.rate and ends > now:
            self.held[lane] = Held(stamp, grant, ends)
        return "yes"

    def active(self, now: Time) -> list[Held]:
        for lane in [lane for lane, one in self.held.items() if one.ends <= now]:
            del self.held[lane]
        return list(self.held.values())

    def finish(self, lane: Lane, serial: int) -> None:
        """All its pieces are there, or its source failed."""
        if (one := self.held.get(lane)) is not None and one.grant.serial == serial:
            del self.held[lane]

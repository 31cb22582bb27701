"""The owner's decisions: from the wanted set and the gateways' reports to new grants. Pure; one object for each term.

The sum of what may run on a link never exceeds its capacity: a grant gets only what all grants that still count leave.
A lane that should run slower, or fetch something else, gets a newer grant at once. So a higher need waits for one
answer, or for the time of one grant if no answer comes.

After a change of owner the old owner's grants may still run. None was planned after the old lease, so all have ended
`max_remaining_time` of a grant after the new owner began. Once every gateway to which either owner may have granted has
confirmed the new term, it has dropped the old grants, and there is nothing to wait for.
"""

from collections.abc import Callable, Mapping

from stackpitch.duties.weights.forms import Report
from stackpitch.duties.weights.grants.grant import Grant, Lane, max_remaining_time
from stackpitch.duties.weights.links import Key, Links
from stackpitch.duties.weights.plan.allocation import Allocator, LaneAllocation
from stackpitch.duties.weights.plan.needs import needs
from stackpitch.duties.weights.plan.outstanding import OutstandingGrants, SentGrant
from stackpitch.duties.weights.plan.site_states import MIN_RATE_DIVISOR, NO_REVENUE, SiteStates
from stackpitch.duties.weights.wanted import ORIGIN, Wanted
from stackpitch.loop import MS, SECOND, Time

# Added to the time that a grant's bytes take, for network transit and the first slice of the rate limiter.
# The capacity is freed as soon as the grant is done.
TAIL: Time = 100 * MS
AHEAD: Time = 150 * MS  # how long before its pieces run out a lane gets its next ones
MIN_MEASURED_TIME: Time = 300 * MS  # a grant that ran for less shows nothing about its source's speed


class Planner:
    """Plans grants for one term of an owner.

    `before`: the longest grant of the previous owner and the gateways to which it may have granted. `waiting`: see
    `SiteStates`.
    """

    def __init__(
        self,
        wanted: Wanted,
        now: Time,
        address: Callable[[int], str],
        before: tuple[Time, frozenset[int]],
        waiting: Mapping[int, float] = NO_REVENUE,
    ) -> None:
        self.wanted, self.address = wanted, address
        self.links, self.sites, self.outstanding = (
            Links(wanted),
            SiteStates(wanted, waiting),
            OutstandingGrants(),
        )
        self.serial = 0
        # Gateways that have not confirmed this term yet.
        self.unconfirmed = set(before[1]) | set(self.sites.site_of)
        self.ready_at = now + max_remaining_time(max(before[0], self.grant_duration))

    @property
    def grant_duration(self) -> Time:
        """How long a grant lasts at most."""
        return round(self.wanted.grant_ms * MS)

    def renew(self, wanted: Wanted) -> None:
        """Takes another wanted set. Outstanding grants still count on the links on which they were granted."""
        self.wanted, self.links = wanted, Links(wanted)
        self.sites.renew(wanted)

    def confirmed(self, gateway: int) -> None:
        """The gateway knows this term, so whatever an older term granted to it has ended."""
        self.unconfirmed.discard(gateway)

    def ready(self, now: Time) -> bool:
        """Whether no grant of an older term can still run."""
        return not self.unconfirmed or now >= self.ready_at

    def report(self, now: Time, report: Report) -> bool:
        """Takes a gateway's report. False if it is not from these sites, or older than the one known."""
        if not self.sites.report(now, report):
            return False
        for ran in report.ran:
            newest = self.outstanding.newest(ran.lane)
            if newest is None or newest.grant.serial != ran.serial:
                continue
            if ran.done:
                self.outstanding.finished(ran.lane, ran.serial)
            elif ran.lasted >= min(MIN_MEASURED_TIME, newest.grant.lasts // 2):
                self.sites.update_speed_limit(
                    self.links, ran.lane, ran.serial, newest.grant.rate, ran.took, ran.lasted
                )
        return True

    def accepted(self, grant: Grant) -> None:
        """The receiver answered that it accepted the grant."""
        self.outstanding.accepted(grant)
        self.sites.answered(grant.lane.gateway)

    def not_accepted(self, now: Time, grant: Grant, answered: bool) -> None:
        """The grant was refused (`answered`), or no answer came."""
        self.outstanding.mark_lost(grant)
        if not answered:
            self.sites.record_timeout(grant.lane.gateway, now)

    def plan(self, now: Time) -> list[Grant]:
        """The grants to be sent now, each to its lane's gateway. They count against the links from now on."""
        self.outstanding.expire(now)
        self.sites.forget(set(self.outstanding.sent))
        if not self.ready(now):
            return []
        open_needs = [
            need
            for need in needs(self.wanted, self.sites, now)
            if need.receiver.report.gateway not in self.unconfirmed
        ]
        allocations = Allocator(self.links, self.sites, self.outstanding, now, self.grant_duration).allocate(
            open_needs, self.wanted.least_share
        )
        grants, load = [], self.outstanding.load()
        for allocation in allocations:
            if (grant := self._grant(now, allocation, load)) is not None:
                grants.append(grant)
        allocated_lanes = {allocation.lane for allocation in allocations}
        for lane in sorted(self.outstanding.sent):
            newest = self.outstanding.newest(lane)
            if lane not in allocated_lanes and newest is not None and newest.grant.rate:
                if (stop := self._stop(now, lane)) is not None:
                    grants.append(stop)
        return grants

    def _grant(self, now: Time, allocation: LaneAllocation, load: dict[Key, int]) -> Grant | None:
        lane, need, newest = allocation.lane, allocation.need, self.outstanding.newest(allocation.lane)
        path, lane_load = self.links.path(lane.source, lane.site), self.outstanding.counts(lane)
        available_rate = min(
            self.links.capacity[key] - load.get(key, 0) + lane_load.get(key, 0) for key in path
        )
        rate, min_rate = (
            min(allocation.rate, available_rate),
            self.links.narrowest(lane.source, lane.site) // MIN_RATE_DIVISOR,
        )
        if rate <= min_rate:
            return self._stop(now, lane) if newest is not None and newest.grant.rate > max(rate, 0) else None
        if newest is not None and not self._is_due(now, newest, allocation, rate, min_rate):
            return None
        duration = min(self.grant_duration, TAIL - (-allocation.bytes * SECOND // rate))
        grant = self._create_grant(now, lane, rate, duration, need.version, allocation.pieces)
        if grant is not None:
            for key in path:
                load[key] = load.get(key, 0) + max(0, rate - lane_load.get(key, 0))
        return grant

    def _is_due(
        self, now: Time, newest: SentGrant, allocation: LaneAllocation, rate: int, min_rate: int
    ) -> bool:
        grant = newest.grant
        granted_pieces = sum(1 << piece for piece in grant.pieces)
        if (
            newest.lost
            or (grant.model, grant.version) != allocation.need.version
            or not granted_pieces & allocation.need.missing
        ):
            return True
        bytes_left = (
            allocation.need.manifest.bytes_of(granted_pieces)
            - grant.rate * (now - newest.planned - AHEAD) // SECOND
        )
        has_new_pieces = any(not granted_pieces >> piece & 1 for piece in allocation.pieces)
        return (
            (has_new_pieces and bytes_left <= 0)
            or rate < grant.rate
            or rate > grant.rate + max(min_rate, grant.rate // 16)
            or newest.until - now < grant.lasts * 2 // 5
        )

    def _stop(self, now: Time, lane: Lane) -> Grant | None:
        return self._create_grant(now, lane, 0, 0, ("", ""), ())

    def _create_grant(
        self, now: Time, lane: Lane, rate: int, lasts: Time, version: tuple[str, str], pieces: tuple[int, ...]
    ) -> Grant | None:
        """None if the lane's process no longer reports."""
        receiver = self.sites.recent(lane.gateway, now)
        if receiver is None or receiver.mark.start != lane.start:
            return None
        address, path = "", ""
        if rate and lane.source == ORIGIN:
            model = self.wanted.models[version[0]]
            address, path = model.origin, model.path
        elif rate:
            source = self.sites.receiver(lane.source, now)
            if source is None:
                return None
            address, path = self.address(source.report.gateway), f"/weights/{version[0]}/{version[1]}"
        self.serial += 1
        grant = Grant(
            lane, self.serial, receiver.mark, now - receiver.at, lasts, rate, *version, pieces, address, path
        )
        route = self.links.path(lane.source, lane.site) if rate else ()
        self.outstanding.add(now, grant, route)
        return grant

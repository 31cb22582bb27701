"""The owner's decisions: from what is wanted and what was heard to new grants. Pure; one object for each term.

The sum of what may run on a link never exceeds its capacity: a grant is given only what all that still counts leaves. A
lane that should run slower, or something else, gets a newer grant at once, so a higher need waits for one answer, and
for one grant's time if none comes.

After a change of owner the old one's grants may still run. They end by themselves: none was planned after its lease, so
all are over `max_remaining_time` of its grants' time after this owner began. If every gateway that either
owner could have granted
to has heard this term before, it has dropped them, and nothing need be waited for.
"""

from collections.abc import Callable, Mapping

from stackpitch.duties.weights.forms import Report
from stackpitch.duties.weights.grants.grant import Grant, Lane, max_remaining_time
from stackpitch.duties.weights.links import Key, Links
from stackpitch.duties.weights.plan.allocation import Deal, Wish
from stackpitch.duties.weights.plan.needs import needs
from stackpitch.duties.weights.plan.outstanding import OutstandingGrants, SentGrant
from stackpitch.duties.weights.plan.site_states import LEAST, NOTHING, SiteStates
from stackpitch.duties.weights.wanted import ORIGIN, Wanted
from stackpitch.loop import MS, SECOND, Time

TAIL: Time = (
    100 * MS
)  # beyond what the last bytes take: ways, and the pace's first slice; freed as soon as it is done
AHEAD: Time = 150 * MS  # before its pieces run out a lane gets its next ones
JUDGED: Time = 300 * MS  # a grant that ran for less says nothing about its source's speed


class Planner:
    """`before`: the longest grant of the owner before and the gateways that it may have granted to.
    `waiting`: see `SiteStates`."""

    def __init__(
        self,
        wanted: Wanted,
        now: Time,
        address: Callable[[int], str],
        before: tuple[Time, frozenset[int]],
        waiting: Mapping[int, float] = NOTHING,
    ) -> None:
        self.wanted, self.address = wanted, address
        self.links, self.sites, self.outstanding = (
            Links(wanted),
            SiteStates(wanted, waiting),
            OutstandingGrants(),
        )
        self.serial = 0
        self.unconfirmed = set(before[1]) | set(
            self.sites.site_of
        )  # gateways that have not heard this term yet
        self.waits = now + max_remaining_time(max(before[0], self.grant_duration))

    @property
    def grant_duration(self) -> Time:
        return round(self.wanted.grant_ms * MS)

    def renew(self, wanted: Wanted) -> None:
        """Another wanted set. What has been granted goes on counting on the links that it was granted on."""
        self.wanted, self.links = wanted, Links(wanted)
        self.sites.renew(wanted)

    def confirmed(self, gateway: int) -> None:
        """It has heard this term: whatever an older one granted to it is over."""
        self.unconfirmed.discard(gateway)

    def ready(self, now: Time) -> bool:
        return not self.unconfirmed or now >= self.waits

    def report(self, now: Time, report: Report) -> bool:
        if not self.sites.report(now, report):
            return False
        for ran in report.ran:
            newest = self.outstanding.newest(ran.lane)
            if newest is None or newest.grant.serial != ran.serial:
                continue
            if ran.done:
                self.outstanding.finished(ran.lane, ran.serial)
            elif ran.lasted >= min(JUDGED, newest.grant.lasts // 2):
                self.sites.update_speed_limit(
                    self.links, ran.lane, ran.serial, newest.grant.rate, ran.took, ran.lasted
                )
        return True

    def accepted(self, grant: Grant) -> None:
        self.outstanding.accepted(grant)
        self.sites.answered(grant.lane.gateway)

    def not_accepted(self, now: Time, grant: Grant, answered: bool) -> None:
        """It was not taken, as far as is known. `answered`: its gateway said so."""
        self.outstanding.mark_lost(grant)
        if not answered:
            self.sites.record_timeout(grant.lane.gateway, now)

    def plan(self, now: Time) -> list[Grant]:
        """The grants to be sent now, each to its lane's gateway. They count from here on."""
        self.outstanding.expire(now)
        self.sites.forget(set(self.outstanding.sent))
        if not self.ready(now):
            return []
        waiting = [
            one
            for one in needs(self.wanted, self.sites, now)
            if one.receiver.report.gateway not in self.unconfirmed
        ]
        wishes = Deal(self.links, self.sites, self.outstanding, now, self.grant_duration).all(
            waiting, self.wanted.least_share
        )
        found, load = [], self.outstanding.load()
        for wish in wishes:
            if (grant := self._granted(now, wish, load)) is not None:
                found.append(grant)
        wished = {wish.lane for wish in wishes}
        for lane in sorted(self.outstanding.sent):
            newest = self.outstanding.newest(lane)
            if lane not in wished and newest is not None and newest.grant.rate:
                if (stop := self._stop(now, lane)) is not None:
                    found.append(stop)
        return found

    def _granted(self, now: Time, wish: Wish, load: dict[Key, int]) -> Grant | None:
        lane, need, newest = wish.lane, wish.need, self.outstanding.newest(wish.lane)
        path, own = self.links.path(lane.source, lane.site), self.outstanding.counts(lane)
        room = min(self.links.capacity[key] - load.get(key, 0) + own.get(key, 0) for key in path)
        rate, least = min(wish.rate, room), self.links.narrowest(lane.source, lane.site) // LEAST
        if rate <= least:
            return self._stop(now, lane) if newest is not None and newest.grant.rate > max(rate, 0) else None
        if newest is not None and not self._due(now, newest, wish, rate, least):
            return None
        lasts = min(self.grant_duration, TAIL - (-wish.bytes * SECOND // rate))
        grant = self._made(now, lane, rate, lasts, need.version, wish.pieces)
        if grant is not None:
            for key in path:
                load[key] = load.get(key, 0) + max(0, rate - own.get(key, 0))
        return grant

    def _due(self, now: Time, newest: SentGrant, wish: Wish, rate: int, least: int) -> bool:
        grant = newest.grant
        given = sum(1 << piece for piece in grant.pieces)
        if newest.lost or (grant.model, grant.version) != wish.need.version or not given & wish.need.missing:
            return True
        ahead = wish.need.manifest.bytes_of(given) - grant.rate * (now - newest.planned - AHEAD) // SECOND
        more = any(not given >> piece & 1 for piece in wish.pieces)
        return (
            (more and ahead <= 0)
            or rate < grant.rate
            or rate > grant.rate + max(least, grant.rate // 16)
            or newest.until - now < grant.lasts * 2 // 5
        )

    def _stop(self, now: Time, lane: Lane) -> Grant | None:
        return self._made(now, lane, 0, 0, ("", ""), ())

    def _made(
        self, now: Time, lane: Lane, rate: int, lasts: Time, version: tuple[str, str], pieces: tuple[int, ...]
    ) -> Grant | None:
        """None if the lane's process is not heard any more."""
        heard = self.sites.recent(lane.gateway, now)
        if heard is None or heard.mark.start != lane.start:
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
            lane, self.serial, heard.mark, now - heard.at, lasts, rate, *version, pieces, address, path
        )
        route = self.links.path(lane.source, lane.site) if rate else ()
        self.outstanding.add(now, grant, route)
        return grant

"""What each lane should run if nothing else were under way: the links' capacity dealt out in strict order. Pure.

For each need in its order, from the cheapest source on: lanes that already fetch for it, neighbours that hold what it
lacks, then the origin for what no neighbour holds or is fetching. Each takes all that its path has left, so what a
higher need can't use goes to the next at once.
"""

from dataclasses import dataclass, field

from stackpitch.duties.weights.grants.grant import Lane
from stackpitch.duties.weights.links import Key, Links
from stackpitch.duties.weights.manifest import Manifest
from stackpitch.duties.weights.plan.needs import Need
from stackpitch.duties.weights.plan.outstanding import OutstandingGrants
from stackpitch.duties.weights.plan.site_states import LEAST, GatewayState, SiteStates, Version
from stackpitch.duties.weights.wanted import ORIGIN
from stackpitch.loop import SECOND, Time

MOST_SOURCES = 4  # for one need: more would only make the grants smaller
MOST_PIECES = 64  # in one grant


@dataclass(slots=True)
class Wish:
    lane: Lane
    need: Need
    pieces: tuple[int, ...]
    rate: int
    bytes: int  # of the pieces


@dataclass
class Deal:
    """One round. Made anew for each plan."""

    links: Links
    sites: SiteStates
    lanes: OutstandingGrants
    now: Time
    lasts: Time
    free: dict[Key, int] = field(default_factory=dict)
    flying: dict[tuple[str, Version], int] = field(
        default_factory=dict
    )  # pieces on their way to a site, at good speed
    assigned: dict[tuple[str, Version], int] = field(
        default_factory=dict
    )  # pieces that a lane of this round fetches
    wishes: dict[Lane, Wish] = field(default_factory=dict)
    holders: dict[Version, list[tuple[str, GatewayState]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.order = {site: number for number, site in enumerate(self.sites.wanted.sites)}

    def look(self, needs: list[Need]) -> None:
        """Who holds what, and what is on its way."""
        for site in self.sites.wanted.sites:
            receiver = self.sites.receiver(site, self.now)
            if receiver is not None:
                for version in receiver.have:
                    self.holders.setdefault(version, []).append((site, receiver))
        for lane in self.lanes.sent:
            newest = self.lanes.newest(lane)
            if newest is not None and newest.grant.rate and (lane.site, lane.source) not in self.sites.limits:
                key = lane.site, (newest.grant.model, newest.grant.version)
                self.flying[key] = self.flying.get(key, 0) | sum(1 << piece for piece in newest.grant.pieces)

    def all(self, needs: list[Need], share: float) -> list[Wish]:
        """The wishes in order: those of lower classes' least share last, though they are dealt first."""
        self.look(needs)
        self.free = dict(self.links.capacity)
        if share and needs:
            whole = dict(self.free)
            self.free = {key: int(one * share) for key, one in whole.items()}
            for need in needs:
                if need.priority > needs[0].priority:
                    self.deal(need, 1)
            for wish in self.wishes.values():
                for key in self.links.path(wish.lane.source, wish.lane.site):
                    whole[key] -= wish.rate
            self.free = whole
        for need in needs:
            self.deal(need, 0)
        return sorted(self.wishes.values(), key=lambda wish: wish.need.order)

    def deal(self, need: Need, part: int) -> None:
        taken, mine = 0, (f"@{need.site}", "down")
        few = self.links.capacity[mine] // (LEAST * LEAST)
        if self.free[mine] <= few:
            return
        for source in self._sources(need, part):
            lane = Lane(need.site, need.receiver.report.gateway, need.receiver.mark.start, source, part)
            if self.free[mine] <= few or taken >= MOST_SOURCES:
                return
            if lane in self.wishes:
                continue
            path, least = self.links.path(source, need.site), self.links.narrowest(source, need.site) // LEAST
            rate = min(self.free[key] for key in path)
            rate = min(rate, self.sites.limits.get((need.site, source), rate))
            if rate <= least:
                continue
            open_ones = self._open(need, source)
            if not open_ones:
                continue
            pieces = self._choose(need, lane, open_ones, rate)
            chosen = sum(1 << piece for piece in pieces)
            key = need.site, need.version
            self.assigned[key] = self.assigned.get(key, 0) | chosen
            if (need.site, source) not in self.sites.limits:
                self.flying[key] = self.flying.get(key, 0) | chosen
            for one in path:
                self.free[one] -= rate
            self.wishes[lane] = Wish(lane, need, pieces, rate, need.manifest.bytes_of(chosen))
            taken += 1

    def _sources(self, need: Need, part: int) -> list[str]:
        """Those that already send, so that lanes change seldom (what they may send never is what a cheaper one has); then
        the cheapest; of equals one with much of its own link left."""
        receiver, found = need.receiver, []
        running = {
            lane.source
            for lane in self.lanes.sent
            if lane.site == need.site
            and lane.part == part
            and (newest := self.lanes.newest(lane)) is not None
            and (newest.grant.model, newest.grant.version) == need.version
        }
        near, far = self.links.cheaper(need.site), receiver.spoilt(ORIGIN, need.version)
        names = [
            site
            for site, _ in self.holders.get(need.version, ())
            if site in near or (far and site != need.site)
        ]
        order = self.order
        for source in [*names, ORIGIN]:
            if not receiver.spoilt(source, need.version):
                left = 0 if source == ORIGIN else -self.free[f"@{source}", "up"]
                turn = (order.get(source, -1) - order[need.site]) % len(
                    order
                )  # a ring, so that neighbours don't pair off
                found.append((source not in running, self.links.cost(source, need.site), left, turn, source))
        return [one[-1] for one in sorted(found)]

    def _open(self, need: Need, source: str) -> int:
        """The pieces that may come from this source: it has them, no lane here fetches them, and none cheaper will."""
        found = need.missing & ~self.assigned.get((need.site, need.version), 0)
        if source != ORIGIN:
            return found & next(
                holder.have[need.version] for site, holder in self.holders[need.version] if site == source
            )
        near = self.links.cheaper(need.site)
        for site, holder in self.holders.get(need.version, ()):
            if (
                site in near
                and (need.site, site) not in self.sites.limits
                and not need.receiver.spoilt(site, need.version)
            ):
                found &= ~(holder.have[need.version] | self.flying.get((site, need.version), 0))
        return found

    def _choose(self, need: Need, lane: Lane, open_ones: int, rate: int) -> tuple[int, ...]:
        """What the lane has begun first, then from a place on that differs by site, so that neighbours have something
        to give each other."""
        manifest: Manifest = need.manifest
        wanted_bytes = rate * self.lasts // SECOND + manifest.piece
        newest = self.lanes.newest(lane)
        begun = (
            newest.grant.pieces
            if newest is not None and (newest.grant.model, newest.grant.version) == need.version
            else ()
        )
        chosen = [piece for piece in begun if open_ones >> piece & 1]
        left, count = open_ones & ~sum(1 << piece for piece in chosen), manifest.count
        names = self.sites.wanted.models[need.version[0]].sites
        start = names.index(need.site) * count // len(names)
        size = len(chosen) * manifest.piece
        turned = (left >> start) | ((left & ((1 << start) - 1)) << (count - start))  # bit 0 is piece `start`
        while turned and size < wanted_bytes and len(chosen) < MOST_PIECES:
            low = turned & -turned
            chosen.append((low.bit_length() - 1 + start) % count)
            turned ^= low
            size += manifest.piece
        return tuple(chosen[:MOST_PIECES])

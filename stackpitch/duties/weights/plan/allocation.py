"""Allocates the links' capacity to lanes in strict order of needs, as if no grant were outstanding. Pure.

For each need in order, sources are tried from the cheapest on: lanes that already fetch for it, neighbours that hold
missing pieces, then the origin for what no neighbour holds or is fetching. Each source gets all the capacity left on its
path, so what a higher need can't use goes to the next one at once.
"""

from dataclasses import dataclass, field

from stackpitch.duties.weights.grants.grant import Lane
from stackpitch.duties.weights.links import Key, Links
from stackpitch.duties.weights.manifest import Manifest
from stackpitch.duties.weights.plan.needs import Need
from stackpitch.duties.weights.plan.outstanding import OutstandingGrants
from stackpitch.duties.weights.plan.site_states import MIN_RATE_DIVISOR, GatewayState, SiteStates, Version
from stackpitch.duties.weights.wanted import ORIGIN
from stackpitch.loop import SECOND, Time

MAX_SOURCES = 4  # for one need; more would only make the grants smaller
MAX_GRANT_PIECES = 64


@dataclass(slots=True)
class LaneAllocation:
    """What one lane should fetch, and at which rate in bytes a second."""

    lane: Lane
    need: Need
    pieces: tuple[int, ...]
    rate: int
    bytes: int  # of the pieces


@dataclass
class Allocator:
    """One round of allocation. Created for each plan, so no table outlives it."""

    links: Links
    sites: SiteStates
    outstanding: OutstandingGrants
    now: Time
    grant_duration: Time
    free: dict[Key, int] = field(default_factory=dict)  # bytes a second left on each link
    # Pieces on their way to a site through lanes without a speed limit.
    in_flight: dict[tuple[str, Version], int] = field(default_factory=dict)
    # Pieces that a lane of this round fetches.
    assigned: dict[tuple[str, Version], int] = field(default_factory=dict)
    allocations: dict[Lane, LaneAllocation] = field(default_factory=dict)
    holders: dict[Version, list[tuple[str, GatewayState]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.order = {site: number for number, site in enumerate(self.sites.wanted.sites)}

    def collect_state(self, needs: list[Need]) -> None:
        """Collects which sites hold which versions, and which pieces are in flight."""
        for site in self.sites.wanted.sites:
            receiver = self.sites.receiver(site, self.now)
            if receiver is not None:
                for version in receiver.have:
                    self.holders.setdefault(version, []).append((site, receiver))
        for lane in self.outstanding.sent:
            newest = self.outstanding.newest(lane)
            if newest is not None and newest.grant.rate and (lane.site, lane.source) not in self.sites.limits:
                key = lane.site, (newest.grant.model, newest.grant.version)
                self.in_flight[key] = self.in_flight.get(key, 0) | sum(
                    1 << piece for piece in newest.grant.pieces
                )

    def allocate(self, needs: list[Need], share: float) -> list[LaneAllocation]:
        """Returns the allocations in the order of their needs.

        The lower classes' minimum `share` of each link is allocated first, though it comes later in the result.
        """
        self.collect_state(needs)
        self.free = dict(self.links.capacity)
        if share and needs:
            remaining = dict(self.free)
            self.free = {key: int(capacity * share) for key, capacity in remaining.items()}
            for need in needs:
                if need.priority > needs[0].priority:
                    self.allocate_need(need, 1)
            for allocation in self.allocations.values():
                for key in self.links.path(allocation.lane.source, allocation.lane.site):
                    remaining[key] -= allocation.rate
            self.free = remaining
        for need in needs:
            self.allocate_need(need, 0)
        return sorted(self.allocations.values(), key=lambda allocation: allocation.need.order)

    def allocate_need(self, need: Need, part: int) -> None:
        """Adds an allocation for each useful source of one need, up to `MAX_SOURCES`."""
        source_count, own_link = 0, (f"@{need.site}", "down")
        negligible = self.links.capacity[own_link] // (MIN_RATE_DIVISOR * MIN_RATE_DIVISOR)
        if self.free[own_link] <= negligible:
            return
        for source in self._sources(need, part):
            lane = Lane(need.site, need.receiver.report.gateway, need.receiver.mark.start, source, part)
            if self.free[own_link] <= negligible or source_count >= MAX_SOURCES:
                return
            if lane in self.allocations:
                continue
            path, min_rate = (
                self.links.path(source, need.site),
                self.links.narrowest(source, need.site) // MIN_RATE_DIVISOR,
            )
            rate = min(self.free[key] for key in path)
            rate = min(rate, self.sites.limits.get((need.site, source), rate))
            if rate <= min_rate:
                continue
            available = self._available(need, source)
            if not available:
                continue
            pieces = self._choose(need, lane, available, rate)
            chosen = sum(1 << piece for piece in pieces)
            key = need.site, need.version
            self.assigned[key] = self.assigned.get(key, 0) | chosen
            if (need.site, source) not in self.sites.limits:
                self.in_flight[key] = self.in_flight.get(key, 0) | chosen
            for link in path:
                self.free[link] -= rate
            self.allocations[lane] = LaneAllocation(lane, need, pieces, rate, need.manifest.bytes_of(chosen))
            source_count += 1

    def _sources(self, need: Need, part: int) -> list[str]:
        """The usable sources in order of preference.

        First those that already send, so that lanes change seldom; pieces that a cheaper source has are excluded from
        them anyway. Then the cheapest; among equals, the one with the most capacity left on its own link.
        """
        receiver, candidates = need.receiver, []
        running = {
            lane.source
            for lane in self.outstanding.sent
            if lane.site == need.site
            and lane.part == part
            and (newest := self.outstanding.newest(lane)) is not None
            and (newest.grant.model, newest.grant.version) == need.version
        }
        cheaper_sites, origin_unusable = self.links.cheaper(need.site), receiver.spoilt(ORIGIN, need.version)
        names = [
            site
            for site, _ in self.holders.get(need.version, ())
            if site in cheaper_sites or (origin_unusable and site != need.site)
        ]
        order = self.order
        for source in [*names, ORIGIN]:
            if not receiver.spoilt(source, need.version):
                negative_free = 0 if source == ORIGIN else -self.free[f"@{source}", "up"]
                # The distance on a ring of sites, so that neighbours don't pair off.
                distance = (order.get(source, -1) - order[need.site]) % len(order)
                candidates.append(
                    (
                        source not in running,
                        self.links.cost(source, need.site),
                        negative_free,
                        distance,
                        source,
                    )
                )
        return [entry[-1] for entry in sorted(candidates)]

    def _available(self, need: Need, source: str) -> int:
        """The pieces that may come from this source: it has them, no lane fetches them and no cheaper source will."""
        pieces = need.missing & ~self.assigned.get((need.site, need.version), 0)
        if source != ORIGIN:
            return pieces & next(
                holder.have[need.version] for site, holder in self.holders[need.version] if site == source
            )
        cheaper_sites = self.links.cheaper(need.site)
        for site, holder in self.holders.get(need.version, ()):
            if (
                site in cheaper_sites
                and (need.site, site) not in self.sites.limits
                and not need.receiver.spoilt(site, need.version)
            ):
                pieces &= ~(holder.have[need.version] | self.in_flight.get((site, need.version), 0))
        return pieces

    def _choose(self, need: Need, lane: Lane, available: int, rate: int) -> tuple[int, ...]:
        """The pieces of a grant: first those that the lane has started, then from a start index that differs by site.

        Neighbours thus fetch different pieces, which they can then give each other.
        """
        manifest: Manifest = need.manifest
        wanted_bytes = rate * self.grant_duration // SECOND + manifest.piece
        newest = self.outstanding.newest(lane)
        started = (
            newest.grant.pieces
            if newest is not None and (newest.grant.model, newest.grant.version) == need.version
            else ()
        )
        chosen = [piece for piece in started if available >> piece & 1]
        left, count = available & ~sum(1 << piece for piece in chosen), manifest.count
        names = self.sites.wanted.models[need.version[0]].sites
        start = names.index(need.site) * count // len(names)
        size = len(chosen) * manifest.piece
        rotated = (left >> start) | ((left & ((1 << start) - 1)) << (count - start))  # bit 0 is piece `start`
        while rotated and size < wanted_bytes and len(chosen) < MAX_GRANT_PIECES:
            lowest_bit = rotated & -rotated
            chosen.append((lowest_bit.bit_length() - 1 + start) % count)
            rotated ^= lowest_bit
            size += manifest.piece
        return tuple(chosen[:MAX_GRANT_PIECES])

"""What was last heard from the gateways of each site: soft, asked anew after a change of owner. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from stackpitch.duties.weights import forms
from stackpitch.duties.weights.forms import Report
from stackpitch.duties.weights.grants.grant import MAX_MARK_AGE, Lane, Mark
from stackpitch.duties.weights.links import Links
from stackpitch.duties.weights.wanted import Wanted
from stackpitch.loop import SECOND, Time

LEAST = 64  # a lane below so small a part of its path's narrowest link is not worth a grant
FIRST_WAIT, LONGEST_WAIT = SECOND // 2, 30 * SECOND
Version = tuple[str, str]  # model and version
NOTHING: Mapping[int, float] = {}


@dataclass(slots=True)
class GatewayState:
    """One gateway. Replaced by its next report."""

    report: Report
    at: Time
    have: dict[Version, int] = field(default_factory=dict)
    placed: set[Version] = field(default_factory=set)
    known: set[Version] = field(default_factory=set)
    released: set[Version] = field(default_factory=set)  # and placed

    @property
    def mark(self) -> Mark:
        return self.report.mark

    def spoilt(self, source: str, version: Version) -> bool:
        return any(
            one.source == source and (not one.model or (one.model, one.version) == version)
            for one in self.report.spoilt
        )


class SiteStates:
    """`heard` has at most one entry for each gateway that the wanted file names; `limits` one for each lane's pair of
    site and source that was slow, emptied as it is not slow any more, or by `forget`. `waiting`: revenue at each gateway,
    as it said with the last announcement; kept by the work."""

    def __init__(self, wanted: Wanted, waiting: Mapping[int, float] = NOTHING) -> None:
        self.wanted, self.waiting = wanted, waiting
        self.site_of = {number: name for name, site in wanted.sites.items() for number in site.gateways}
        self.heard: dict[int, GatewayState] = {}
        self.chosen: dict[str, int] = {}  # the receiver of each site
        self.limits: dict[tuple[str, str], int] = {}  # bytes a second that a slow pair is trusted with
        self.misses: dict[
            int, tuple[int, Time]
        ] = {}  # gateways that gave no answer: how often in a row, and when last
        self.judged: dict[
            Lane, int
        ] = {}  # the serial that was last judged; emptied with the report that drops the lane

    def renew(self, wanted: Wanted) -> None:
        self.wanted = wanted
        self.site_of = {number: name for name, site in wanted.sites.items() for number in site.gateways}
        heard, self.heard = self.heard, {}
        for one in heard.values():
            self.report(one.at, one.report)
        self.chosen = {
            site: number for site, number in self.chosen.items() if self.site_of.get(number) == site
        }
        self.limits.clear()
        self.misses = {number: one for number, one in self.misses.items() if number in self.site_of}

    def report(self, now: Time, one: Report) -> bool:
        """False if it is not of these sites, or older than what is known."""
        if self.site_of.get(one.gateway) != one.site:
            return False
        old = self.heard.get(one.gateway)
        if old is not None and old.mark.start == one.mark.start and old.mark.at > one.mark.at:
            return False
        if old is not None and old.mark.start != one.mark.start:
            self.misses.pop(one.gateway, None)  # another process
        heard = GatewayState(one, now)
        for have in one.have:
            version, model = (have.model, have.version), self.wanted.models.get(have.model)
            if model is None or have.version != model.version or have.whole != model.manifest.whole:
                continue
            heard.have[version] = model.manifest.full if have.placed else forms.pieces(have.pieces)
            if have.placed:
                heard.placed.add(version)
            if have.known:
                heard.known.add(version)
            if have.released and have.placed:
                heard.released.add(version)
        self.heard[one.gateway] = heard
        return True

    def recent(self, number: int, now: Time) -> GatewayState | None:
        one = self.heard.get(number)
        return one if one is not None and now - one.at < MAX_MARK_AGE else None

    def last_receiver(self, site: str) -> GatewayState | None:
        """The receiver that was chosen last, as it was heard last."""
        number = self.chosen.get(site)
        return None if number is None else self.heard.get(number)

    def record_timeout(self, number: int, now: Time) -> None:
        """No answer to a grant. It gets no other before it is heard, nor, from the second on, for a while that doubles:
        what it is granted in vain is missing elsewhere, and one that speaks and can't hear would have it again and again."""
        count, at = self.misses.get(number, (0, now - FIRST_WAIT))
        if now - at >= FIRST_WAIT:  # several lanes' calls that were lost together are one miss
            self.misses[number] = count + 1, now

    def answered(self, number: int) -> None:
        self.misses.pop(number, None)

    def reachable(self, heard: GatewayState, now: Time) -> bool:
        count, at = self.misses.get(heard.report.gateway, (0, 0))
        wait = min(LONGEST_WAIT, FIRST_WAIT << min(count, 10)) if count > 1 else 0
        return not count or (heard.at > at and now >= at + wait)

    def receiver(self, site: str, now: Time) -> GatewayState | None:
        """The one chosen before while it is heard; else the one that has most, the first listed of several."""
        number = self.chosen.get(site)
        if number is not None and (one := self.recent(number, now)) is not None:
            return one
        there = [
            one
            for number in self.wanted.sites[site].gateways
            if (one := self.recent(number, now)) is not None
        ]
        if not there:
            return None
        best = max(there, key=lambda one: sum(have.bit_count() for have in one.have.values()))
        self.chosen[site] = best.report.gateway
        return best

    def revenue(self, site: str, receiver: GatewayState) -> float:
        """What waits at all gateways of the site: the receiver's as it said last, the others' at the last announcement."""
        others = (number for number in self.wanted.sites[site].gateways if number != receiver.report.gateway)
        return receiver.report.revenue + sum(self.waiting.get(number, 0.0) for number in others)

    def update_speed_limit(
        self, links: Links, lane: Lane, serial: int, rate: int, took: int, lasted: Time
    ) -> None:
        """A grant that ran for long enough to say how fast the pair really is."""
        if self.judged.get(lane) == serial or not {lane.source, lane.site} <= links.behind.keys():
            return
        self.judged[lane] = serial
        pair, whole = (lane.site, lane.source), links.narrowest(lane.source, lane.site)
        real = took * 10_000 // max(1, lasted)
        if real * 2 < rate:
            # Never so little that no grant is worth it: nothing would show that the pair is well again.
            self.limits[pair] = max(2 * real, 2 * whole // LEAST, 1)
        elif pair in self.limits:
            self.limits[pair] *= 2
            if self.limits[pair] >= whole:
                del self.limits[pair]

    def forget(self, live: set[Lane]) -> None:
        self.judged = {lane: serial for lane, serial in self.judged.items() if lane in live}

"""The last reports from the gateways of each site. Held in memory only; a new owner asks for them again. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from stackpitch.duties.weights import forms
from stackpitch.duties.weights.forms import Report
from stackpitch.duties.weights.grants.grant import MAX_MARK_AGE, Lane, Mark
from stackpitch.duties.weights.links import Links
from stackpitch.duties.weights.wanted import Wanted
from stackpitch.loop import SECOND, Time

# A lane gets no grant at or below the rate of its path's narrowest link divided by this.
MIN_RATE_DIVISOR = 64
# Back-off after several grants without an answer.
FIRST_WAIT, LONGEST_WAIT = SECOND // 2, 30 * SECOND
Version = tuple[str, str]  # model and version
NO_REVENUE: Mapping[int, float] = {}


@dataclass(slots=True)
class GatewayState:
    """The last report of one gateway, indexed by version. Replaced by its next report."""

    report: Report
    at: Time
    have: dict[Version, int] = field(default_factory=dict)  # bit sets of pieces
    placed: set[Version] = field(default_factory=set)
    known: set[Version] = field(default_factory=set)
    released: set[Version] = field(default_factory=set)  # and also placed

    @property
    def mark(self) -> Mark:
        return self.report.mark

    def spoilt(self, source: str, version: Version) -> bool:
        """Whether the gateway reports that it does not fetch the version from this source at present."""
        return any(
            one.source == source and (not one.model or (one.model, one.version) == version)
            for one in self.report.spoilt
        )


class SiteStates:
    """What the owner knows of all sites.

    `states` has at most one entry for each gateway that the wanted file names. `limits` has one for each pair of site and
    source that was slow; an entry goes once the pair is fast again, and all go when the wanted set changes. `waiting`:
    revenue at each gateway as of the last announcement; maintained by `WeightsWork`.
    """

    def __init__(self, wanted: Wanted, waiting: Mapping[int, float] = NO_REVENUE) -> None:
        self.wanted, self.waiting = wanted, waiting
        self.site_of = {number: name for name, site in wanted.sites.items() for number in site.gateways}
        self.states: dict[int, GatewayState] = {}
        self.chosen: dict[str, int] = {}  # the receiving gateway of each site
        self.limits: dict[tuple[str, str], int] = {}  # bytes a second, of slow pairs of site and source
        # Gateways that did not answer: how often in a row, and when last.
        self.misses: dict[int, tuple[int, Time]] = {}
        # The serial of the grant last measured in each lane; `forget` removes lanes without grants.
        self.measured: dict[Lane, int] = {}

    def renew(self, wanted: Wanted) -> None:
        self.wanted = wanted
        self.site_of = {number: name for name, site in wanted.sites.items() for number in site.gateways}
        states, self.states = self.states, {}
        for state in states.values():
            self.report(state.at, state.report)
        self.chosen = {
            site: number for site, number in self.chosen.items() if self.site_of.get(number) == site
        }
        self.limits.clear()
        self.misses = {number: miss for number, miss in self.misses.items() if number in self.site_of}

    def report(self, now: Time, report: Report) -> bool:
        """Stores a report. False if it is not from these sites, or older than the one known."""
        if self.site_of.get(report.gateway) != report.site:
            return False
        old = self.states.get(report.gateway)
        if old is not None and old.mark.start == report.mark.start and old.mark.at > report.mark.at:
            return False
        if old is not None and old.mark.start != report.mark.start:
            self.misses.pop(report.gateway, None)  # the gateway has restarted
        state = GatewayState(report, now)
        for have in report.have:
            version, model = (have.model, have.version), self.wanted.models.get(have.model)
            if model is None or have.version != model.version or have.whole != model.manifest.whole:
                continue
            state.have[version] = model.manifest.full if have.placed else forms.pieces(have.pieces)
            if have.placed:
                state.placed.add(version)
            if have.known:
                state.known.add(version)
            if have.released and have.placed:
                state.released.add(version)
        self.states[report.gateway] = state
        return True

    def recent(self, number: int, now: Time) -> GatewayState | None:
        """The gateway's state, unless its report is older than `MAX_MARK_AGE`."""
        state = self.states.get(number)
        return state if state is not None and now - state.at < MAX_MARK_AGE else None

    def last_receiver(self, site: str) -> GatewayState | None:
        """The receiver that was chosen last, with its last report of whatever age."""
        number = self.chosen.get(site)
        return None if number is None else self.states.get(number)

    def record_timeout(self, number: int, now: Time) -> None:
        """Records a grant without an answer. The gateway gets no other before its next report.

        From the second miss on it also waits for a time that doubles. Capacity granted in vain is missing elsewhere, and
        a gateway that can send but not receive would otherwise get it again and again.
        """
        count, at = self.misses.get(number, (0, now - FIRST_WAIT))
        if now - at >= FIRST_WAIT:  # calls of several lanes that were lost together count as one miss
            self.misses[number] = count + 1, now

    def answered(self, number: int) -> None:
        self.misses.pop(number, None)

    def reachable(self, gateway: GatewayState, now: Time) -> bool:
        """Whether the gateway may get grants: it has reported since its last miss, and its back-off is over."""
        count, at = self.misses.get(gateway.report.gateway, (0, 0))
        wait = min(LONGEST_WAIT, FIRST_WAIT << min(count, 10)) if count > 1 else 0
        return not count or (gateway.at > at and now >= at + wait)

    def receiver(self, site: str, now: Time) -> GatewayState | None:
        """The receiver chosen before while it reports; else the gateway with most pieces, the first listed of equals."""
        number = self.chosen.get(site)
        if number is not None and (state := self.recent(number, now)) is not None:
            return state
        candidates = [
            state
            for number in self.wanted.sites[site].gateways
            if (state := self.recent(number, now)) is not None
        ]
        if not candidates:
            return None
        best = max(candidates, key=lambda state: sum(have.bit_count() for have in state.have.values()))
        self.chosen[site] = best.report.gateway
        return best

    def revenue(self, site: str, receiver: GatewayState) -> float:
        """Revenue that waits at the site: the receiver's as last reported, the others' as of the last announcement."""
        others = (number for number in self.wanted.sites[site].gateways if number != receiver.report.gateway)
        return receiver.report.revenue + sum(self.waiting.get(number, 0.0) for number in others)

    def update_speed_limit(
        self, links: Links, lane: Lane, serial: int, rate: int, took: int, lasted: Time
    ) -> None:
        """Sets or raises the pair's limit from a grant that ran for long enough to show its real speed."""
        if self.measured.get(lane) == serial or not {lane.source, lane.site} <= links.behind.keys():
            return
        self.measured[lane] = serial
        pair, capacity = (lane.site, lane.source), links.narrowest(lane.source, lane.site)
        measured_rate = took * 10_000 // max(1, lasted)
        if measured_rate * 2 < rate:
            # Never so low that no grant is made, or nothing would show that the pair has recovered.
            self.limits[pair] = max(2 * measured_rate, 2 * capacity // MIN_RATE_DIVISOR, 1)
        elif pair in self.limits:
            self.limits[pair] *= 2
            if self.limits[pair] >= capacity:
                del self.limits[pair]

    def forget(self, live: set[Lane]) -> None:
        """Drops measurements of lanes that have no grants."""
        self.measured = {lane: serial for lane, serial in self.measured.items() if lane in live}

"""Sites in simulated time for the planner of weights: processes with clocks of their own, calls that are late, lost or
repeated, bytes that flow at the granted rate. What runs on each link is added up here, whatever the owner believes."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from stackpitch.duties.calls import Stamp
from stackpitch.duties.weights import forms
from stackpitch.duties.weights.forms import Have, Ran, Report, Spoilt
from stackpitch.duties.weights.grants.grant import Grant, Lane, Mark
from stackpitch.duties.weights.grants.grant_table import GrantTable
from stackpitch.duties.weights.links import Key, Links
from stackpitch.duties.weights.plan.planner import Planner
from stackpitch.duties.weights.plan.site_states import Version
from stackpitch.duties.weights.wanted import ORIGIN, Wanted
from stackpitch.loop import MS, SECOND, Random, Time

STEP: Time = 5 * MS
REPORTS: Time = SECOND // 2


@dataclass
class Gateway:
    """One process at a site. `speed`: what share of its grants it manages."""

    number: int
    site: str
    start: int
    offset: Time = 0
    drift: int = 0  # its clock gains so many parts of 1000
    speed: float = 1.0
    dead: bool = False
    deaf: bool = False  # nothing reaches it, and it goes on with what it has
    have: dict[Version, int] = field(default_factory=dict)
    parts: dict[tuple[Version, int], int] = field(default_factory=dict)  # units of bytes * ticks a second
    ran: dict[Lane, Ran] = field(default_factory=dict)
    spoilt: tuple[Spoilt, ...] = ()
    revenue: float = 0.0

    def __post_init__(self) -> None:
        self.grants = GrantTable(self.number, self.start)

    def clock(self, now: Time) -> Time:
        return self.offset + now + now * self.drift // 1000

    def report(self, now: Time, wanted: Wanted) -> Report:
        have = [
            Have(name, model.version, model.manifest.whole, forms.bits(found), found == model.manifest.full)
            for name, model in wanted.models.items()
            for found in [self.have.get((name, model.version), 0)]
        ]
        return Report(
            self.site,
            self.number,
            Mark(self.start, self.clock(now)),
            self.revenue,
            tuple(have),
            tuple(self.ran.values()),
            self.spoilt,
        )


class Country:
    """All of it. `owner` plans; the ones before it may be woken (`late`): their grants are sent as they were planned."""

    def __init__(
        self, wanted: Wanted, seed: int = 0, delay: Time = 10 * MS, loss: float = 0.0, drift: int = 0
    ) -> None:
        self.chance, self.delay, self.loss = Random(seed), delay, loss
        self.now: Time = 0
        self.wanted, self.links = wanted, Links(wanted)
        self.older: list[Links] = []
        self.gateways = {
            number: Gateway(
                number, site, number + 1, self.chance.randrange(10**6), self.chance.randint(-drift, drift)
            )
            for site, one in wanted.sites.items()
            for number in one.gateways
        }
        self.mail: list[tuple[Time, int, Callable[[], None]]] = []
        self.count, self.woken = 0, False
        self.owner: Planner | None = None
        self.stamp = Stamp()
        self.kept: tuple[Time, frozenset[int]] = (0, frozenset())
        self.crossed: dict[tuple[Key, str], int] = {}  # bytes * ticks a second over each link, by model
        self.done: dict[tuple[str, Version], Time] = {}
        self.over: list[tuple[Time, Key, int, int]] = []  # a link that ran above its capacity
        self.caps: list[tuple[Time, dict[Key, int]]] = [(0, self.links.capacity)]
        self.on_step: Callable[[], None] | None = None

    def own(self, drift: int = 0) -> Planner:
        """A new owner, who knows what the record says of the one before."""
        self.stamp = Stamp(self.stamp.term + 1, self.stamp.term + 1)
        self.owner = Planner(self.wanted, self.now, str, self.kept)
        self.kept = (self.owner.grant_duration, frozenset(self.gateways))
        for gateway in self.gateways.values():
            self._call(gateway, self.owner, self.stamp, None)
        return self.owner

    def renew(self, wanted: Wanted) -> None:
        self.older.append(self.links)
        self.wanted, self.links = wanted, Links(wanted)
        self.caps.append((self.now, self.links.capacity))
        self.kept = (max(self.kept[0], round(wanted.grant_ms * MS)), self.kept[1])
        if self.owner is not None:
            self.owner.renew(wanted)

    def path(self, source: str, site: str) -> tuple[Key, ...]:
        """By the newest file that names both: a line does not go with its name."""
        known = [one for one in [self.links, *reversed(self.older)] if {source, site} <= one.behind.keys()]
        return known[0].path(source, site)

    def post(self, call: Callable[[], None], lossy: bool = True) -> None:
        if lossy and self.chance.random() < self.loss:
            return
        for _ in range(2 if lossy and self.chance.random() < self.loss else 1):
            late = self.delay + self.chance.randrange(self.delay + 1)
            late += self.chance.randrange(20) * late if lossy and self.chance.random() < self.loss else 0
            self.count += 1
            heappush(self.mail, (self.now + late, self.count, call))

    def _call(self, gateway: Gateway, owner: Planner, stamp: Stamp, grant: Grant | None) -> None:
        answered: list[bool] = []

        def arrives() -> None:
            if gateway.dead or gateway.deaf or self.gateways[gateway.number] is not gateway:
                return
            if grant is None:
                word = "yes" if gateway.grants.fence(stamp) else "older term"
            else:
                word = gateway.grants.accept(stamp, grant, gateway.clock(self.now))
                if word == "yes" and grant.rate:  # a receiver tells nothing of a stop
                    gateway.ran[grant.lane] = Ran(grant.lane, grant.serial, 0, 0)
            report = gateway.report(self.now, self.wanted)
            self.post(lambda: answer(word, report))

        def answer(word: str, report: Report) -> None:
            answered.append(True)
            if self.owner is not owner or word == "older term":
                return
            owner.confirmed(gateway.number)
            owner.report(self.now, report)
            if grant is not None and word == "yes":
                owner.accepted(grant)
            elif grant is not None:
                owner.not_accepted(self.now, grant, True)

        def missed() -> None:
            if not answered and self.owner is owner:
                if grant is not None:
                    owner.not_accepted(self.now, grant, False)
                else:
                    self._call(gateway, owner, stamp, None)

        self.post(arrives)
        self.count += 1
        heappush(self.mail, (self.now + 20 * self.delay, self.count, missed))

    def send(self, grants: list[Grant], owner: Planner, stamp: Stamp) -> None:
        for grant in grants:
            self._call(self.gateways[grant.lane.gateway], owner, stamp, grant)

    def run(self, until: Time, stop: Callable[[], bool] = lambda: False) -> None:
        while self.now < until and not stop():
            self.now += STEP
            while self.mail and self.mail[0][0] <= self.now:
                heappop(self.mail)[2]()
            if self.owner is not None and self.now % ((4 if self.woken else 20) * STEP) == 0:
                self.woken = False
                self.send(self.owner.plan(self.now), self.owner, self.stamp)
            self._flow()
            if self.now % REPORTS == 0:
                for gateway in self.gateways.values():
                    if not gateway.dead:
                        self._report(gateway)

    def _report(self, gateway: Gateway) -> None:
        owner, report = self.owner, gateway.report(self.now, self.wanted)
        gateway.ran = {lane: one for lane, one in gateway.ran.items() if lane in gateway.grants.held}

        def arrives() -> None:
            if owner is not None and owner is self.owner:
                owner.report(self.now, report)
                self.woken = self.woken or any(one.done for one in report.ran)

        self.post(arrives)

    def _flow(self) -> None:
        rates: dict[Key, int] = {}
        for gateway in self.gateways.values():
            finished, busy = False, set[tuple[Version, int]]()
            for held in () if gateway.dead else gateway.grants.active(gateway.clock(self.now)):
                grant = held.grant
                for key in self.path(grant.lane.source, gateway.site):
                    rates[key] = rates.get(key, 0) + grant.rate
                finished |= self._fetch(gateway, grant, busy)
            if finished:
                self._report(gateway)
        most = dict(self.links.capacity)
        for at, (_, caps) in zip([when for when, _ in self.caps[1:]], self.caps):
            if self.now <= at + SECOND + SECOND // 10:  # an edit downwards takes a grant's time
                most = {key: max(one, caps.get(key, 0)) for key, one in (caps | most).items()}
        self.over += [(self.now, key, rate, most[key]) for key, rate in rates.items() if rate > most[key]]
        if self.on_step is not None:
            self.on_step()

    def _fetch(self, gateway: Gateway, grant: Grant, busy: set[tuple[Version, int]]) -> bool:
        version = grant.model, grant.version
        model = self.wanted.models.get(grant.model)
        if model is None or model.version != grant.version:
            return False
        budget = int(grant.rate * gateway.speed) * STEP
        took, finished, source = 0, False, None
        if grant.lane.source != ORIGIN:
            source = next(
                (one for one in self.gateways.values() if str(one.number) == grant.address and not one.dead),
                None,
            )
        for piece in grant.pieces:
            there = grant.lane.source == ORIGIN or (
                source is not None and source.have.get(version, 0) >> piece & 1
            )
            if gateway.have.get(version, 0) >> piece & 1 or (version, piece) in busy or not there:
                continue
            size, had = model.manifest.span(piece)[1] * SECOND, gateway.parts.get((version, piece), 0)
            part = min(budget - took, size - had)
            took += part
            gateway.parts[version, piece] = had + part
            busy.add((version, piece))
            if had + part >= size:
                del gateway.parts[version, piece]
                gateway.have[version] = gateway.have.get(version, 0) | 1 << piece
                finished = True
                if gateway.have[version] == model.manifest.full:
                    self.done[gateway.site, version] = self.now
            if took >= budget:
                break
        for key in self.path(grant.lane.source, gateway.site):
            self.crossed[key, grant.model] = self.crossed.get((key, grant.model), 0) + took
        ran = gateway.ran[grant.lane]
        done = all(gateway.have.get(version, 0) >> piece & 1 for piece in grant.pieces)
        gateway.ran[grant.lane] = Ran(
            grant.lane, grant.serial, ran.took + took // SECOND, ran.lasted + STEP, done
        )
        if done:
            gateway.grants.finish(grant.lane, grant.serial)
        return finished

    def bytes_over(self, link: str, model: str | None = None) -> int:
        """Down a link, of one model or of all."""
        found = sum(
            one
            for (key, name), one in self.crossed.items()
            if key == (link, "down") and model in (None, name)
        )
        return found // SECOND

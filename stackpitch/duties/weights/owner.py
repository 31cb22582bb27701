"""The duty's owner at work: asks the sites' gateways what they have, plans, sends what was planned.

All that it learns is soft. The record holds only what the next owner must know to wait long enough: how long the grants
last and which gateways may have had some. It is written before the first of them is given.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from stackpitch.duties.calls import Answer
from stackpitch.duties.weights import forms
from stackpitch.duties.weights.errors import NoWanted
from stackpitch.duties.weights.grants.grant import Grant
from stackpitch.duties.weights.plan.planner import Planner
from stackpitch.duties.weights.plan.sites import Heard
from stackpitch.duties.weights.wanted import Wanted
from stackpitch.duties.weights.wantedfile import WantedFile
from stackpitch.duties.work import Tenure
from stackpitch.loop import SECOND, Coro, Group, Task, Time, World

TICK: Time = SECOND // 10
IDLE: Time = SECOND // 2  # between plans when nothing is missing anywhere
FILE = 6  # times IDLE that an owner waits for a first good file
MOST_CALLS = 64  # under way at once, beside grants
ASKED: Time = SECOND  # a gateway that is waited for is asked so often, if its reports don't come
LONGEST: Time = 8 * SECOND  # and one that gives no answer, so seldom
REST: Time = 30 * SECOND  # a site that has all it shall have is asked so often, in case it has lost it
AGAIN: Time = 2 * SECOND  # a place or release, until a report shows it


UNKNOWN = -1  # a gateway that nobody can ask, so that it is waited for


class Kept(msgspec.Struct, frozen=True):
    """The duty's record."""

    lasts: Time = 0
    gateways: tuple[int, ...] = ()


class Owner:
    """`asked`, `tries` and `told` have an entry for each gateway or each of its models; all go with the tenure."""

    def __init__(self, world: World, tenure: Tenure, file: WantedFile, address: Callable[[int], str],
                 admits: Callable[[str], bool], log: Callable[..., None]) -> None:
        self.world, self.tenure, self.file, self.address = world, tenure, file, address
        self.admits, self.log = admits, log
        self.planner: Planner | None = None
        self.kept = Kept()
        self.asked: dict[int, Time] = {}
        self.tries: dict[int, int] = {}
        self.told: dict[tuple[int, str, str], Time] = {}
        self.calls = 0
        self.waiter: Task | None = None
        self.settled = False  # the record names this owner's gateways alone

    def run(self, value: bytes) -> Coro[None]:
        if value:
            try:
                self.kept = msgspec.msgpack.decode(value, type=Kept)
            except msgspec.DecodeError as wrong:
                self.log("weights_record", why=f"the record can't be read, the longest grant is waited out: {wrong}")
                self.kept = Kept(10 * SECOND, (UNKNOWN,))
        for _ in range(FILE):
            if self.file.current is None:
                yield from self.world.sleep(IDLE)
        if self.file.current is None:
            raise NoWanted(str(self.file.path))
        wanted = self.file.current
        before = self.kept.lasts, frozenset(self.kept.gateways)
        self.planner = Planner(wanted, self.world.now(), self.address, before)
        yield from self._keep(wanted, True)
        yield from self.world.group(self._loop)

    def _keep(self, wanted: Wanted, both: bool) -> Coro[None]:
        """Before any grant by it. `both`: also what may still run of an older set."""
        assert self.planner is not None
        mine = {number for site in wanted.sites.values() for number in site.gateways}
        lasts = round(wanted.grant_ms * SECOND / 1000)
        old = self.kept if both else Kept()
        kept = Kept(max(lasts, old.lasts), tuple(sorted(mine | set(old.gateways))))
        if kept != self.kept:
            yield from self.tenure.keep(msgspec.msgpack.encode(kept))
            self.kept = kept

    def _loop(self, group: Group) -> Coro[None]:
        planner = self.planner
        assert planner is not None
        while True:
            wanted = self.file.current
            if wanted is not None and wanted is not planner.wanted:
                yield from self._keep(wanted, True)
                planner.renew(wanted)
                self.settled = False
                self.told.clear()
                self.log("weights_wanted", version=wanted.version)
            now = self.world.now()
            if not self.settled and planner.ready(now) and now >= planner.waits:
                yield from self._keep(planner.wanted, False)
                self.settled = True
            busy = False
            for site in planner.wanted.sites:
                busy = self._site(group, planner, site, now) or busy
            for number in sorted(planner.silent - {UNKNOWN, *planner.sites.home}):
                self._ask(group, number, "", now, ASKED)
            for grant in planner.plan(self.world.now()):
                group.spawn(self._grant(planner, grant), "weights grant")
            self.waiter = self.world.current
            try:
                yield from self.world.sleep(TICK if busy or planner.lanes.sent else IDLE)
            finally:
                self.waiter = None

    def wake(self) -> None:
        """Something is new."""
        if self.waiter is not None:
            self.waiter.wake()

    def report(self, report: forms.Report) -> str:
        if self.planner is None:
            return "not owner"
        if not self.planner.report(self.world.now(), report):
            return "not known"
        if any(one.done for one in report.ran):
            self.wake()
        return "yes"

    def _site(self, group: Group, planner: Planner, site: str, now: Time) -> bool:
        """Asks, places and releases what is due there. Whether anything is still missing."""
        heard, missing = planner.sites.receiver(site, now), False
        shall = {name: model for name, model in planner.wanted.models.items() if site in model.sites}
        for name, model in shall.items():
            have = None if heard is None else next((one for one in heard.report.have if (one.model, one.version) == (
                name, model.version) and one.whole == model.manifest.whole), None)
            missing = missing or have is None or not have.released
            if heard is not None and (have is None or not have.known):
                manifest = model.manifest
                self._tell(group, planner, heard, "place", forms.Place(
                    name, model.version, manifest.size, manifest.piece, manifest.whole, tuple(manifest.pieces)), AGAIN)
            elif heard is not None and have is not None and have.placed and not have.released:
                if not model.vocabulary or self.admits(model.vocabulary):
                    self._tell(group, planner, heard, "service", forms.Release(name, model.version), AGAIN)
        for one in heard.report.have if heard is not None else ():
            if one.model not in shall and heard is not None:
                self._tell(group, planner, heard, "service", forms.Release(one.model, ""), 5 * AGAIN)
        for number in planner.wanted.sites[site].gateways:
            first = number in planner.silent
            mine = heard is None or heard.report.gateway == number
            if first or (mine and (heard is None or now - heard.at >= (ASKED if missing else REST))):
                self._ask(group, number, site, now, ASKED if missing or first else REST)
        return missing

    def _ask(self, group: Group, number: int, site: str, now: Time, every: Time) -> None:
        late = min(LONGEST, every << min(self.tries.get(number, 0), 3)) if every < LONGEST else every
        if self.calls < MOST_CALLS and now >= self.asked.get(number, now - late) + late:
            self.asked[number] = now
            self.tries[number] = self.tries.get(number, 0) + 1
            self.calls += 1
            group.spawn(self._call(number, "begin", forms.Begin(site)), "weights begin")

    def _tell(self, group: Group, planner: Planner, heard: Heard, kind: str, body: forms.Place | forms.Release,
              every: Time) -> None:
        key, now = (heard.report.gateway, kind, body.model), self.world.now()
        if self.calls < MOST_CALLS and now >= self.told.get(key, now - every) + every:
            self.told[key] = now
            self.calls += 1
            planner.serial += 1
            body = msgspec.structs.replace(body, serial=planner.serial)
            group.spawn(self._call(heard.report.gateway, kind, body), f"weights {kind}")

    def _call(self, number: int, kind: str, body: Any) -> Coro[None]:
        try:
            answer = yield from self.tenure.tell(number, kind, body)
        finally:
            self.calls -= 1
        self._heard(number, answer)

    def _grant(self, planner: Planner, grant: Grant) -> Coro[None]:
        answer = yield from self.tenure.tell(grant.lane.gateway, "grant", grant)
        self._heard(grant.lane.gateway, answer)
        if answer is not None and answer.yes:
            planner.taken(grant)
        else:
            planner.missed(self.world.now(), grant, answer is not None)

    def _heard(self, number: int, answer: Answer | None) -> None:
        if answer is None or self.planner is None:
            return
        try:
            report = msgspec.json.decode(answer.body, type=forms.Report)
        except msgspec.DecodeError as wrong:
            self.log("weights_answer", gateway=number, why=str(wrong))
            return
        self.tries.pop(number, None)
        self.planner.confirmed(number)
        if report.gateway == number:
            self.planner.report(self.world.now(), report)
        self.wake()

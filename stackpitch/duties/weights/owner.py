"""The duty's owner at work: asks the sites' gateways what they have, plans, sends what was planned.

All that it learns is soft. The record holds only what the next owner must know to wait long enough: how long the grants
last and which gateways may have had some. It is written before the first of them is given.
"""

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from stackpitch.duties.calls import Answer
from stackpitch.duties.weights import forms
from stackpitch.duties.weights.errors import NoWanted
from stackpitch.duties.weights.grants.grant import MAX_GRANT_DURATION, Grant, max_remaining_time
from stackpitch.duties.weights.plan.planner import Planner
from stackpitch.duties.weights.upkeep import Upkeep
from stackpitch.duties.weights.wanted import Wanted
from stackpitch.duties.weights.wantedfile import WantedFile
from stackpitch.duties.work import Tenure
from stackpitch.loop import MS, SECOND, Coro, Group, Task, Time, World
from stackpitch.wire.decoding import decode

SOON: Time = 20 * MS  # between two turns at least: a plan for 50 sites takes 5 ms of the loop
TICK: Time = SECOND // 10
IDLE: Time = SECOND // 2  # between turns when nothing is missing anywhere
FILE = 6  # times IDLE that an owner waits for a first good file
UNKNOWN = -1  # a gateway that nobody can ask, so that it is waited for


class Kept(msgspec.Struct, frozen=True):
    """The duty's record."""

    lasts: Time = 0
    gateways: tuple[int, ...] = ()


class Owner:
    def __init__(
        self,
        world: World,
        tenure: Tenure,
        file: WantedFile,
        address: Callable[[int], str],
        admits: Callable[[str], bool],
        log: Callable[..., None],
        waiting: Mapping[int, float],
    ) -> None:
        self.world, self.tenure, self.file, self.address = world, tenure, file, address
        self.admits, self.log, self.waiting = admits, log, waiting
        self.planner: Planner | None = None
        self.upkeep: Upkeep | None = None
        self.kept = Kept()
        self.settles: Time | None = None  # when the record need name what is in force alone
        self.waiter: Task | None = None
        self.news = False  # since the last turn

    def run(self, value: bytes) -> Coro[None]:
        """Raises NoWanted, and what the tenure raises."""
        if value:
            try:
                self.kept = msgspec.msgpack.decode(value, type=Kept)
            except msgspec.DecodeError as wrong:
                self.log(
                    "weights_record",
                    why=f"the record can't be read, the longest grant is waited out: {wrong}",
                )
                self.kept = Kept(MAX_GRANT_DURATION, (UNKNOWN,))
        for _ in range(FILE):
            if self.file.current is None:
                yield from self.world.sleep(IDLE)
        if self.file.current is None:
            raise NoWanted(str(self.file.path))
        wanted = self.file.current
        before = self.kept.lasts, frozenset(self.kept.gateways)
        self.planner = Planner(wanted, self.world.now(), self.address, before, self.waiting)
        self.upkeep = Upkeep(self.planner, self._send, self.admits)
        yield from self._keep(wanted, self.kept)
        yield from self.world.group(self._loop)

    def _keep(self, wanted: Wanted, older: Kept) -> Coro[None]:
        """Before any grant by it. `older`: what may still run beside."""
        mine = {number for site in wanted.sites.values() for number in site.gateways}
        kept = Kept(max(round(wanted.grant_ms * MS), older.lasts), tuple(sorted(mine | set(older.gateways))))
        if kept != self.kept:
            yield from self.tenure.keep(msgspec.msgpack.encode(kept))
            self.kept = kept
        if older != Kept():
            self.settles = self.world.now() + max_remaining_time(kept.lasts)

    def _loop(self, group: Group) -> Coro[None]:
        planner, upkeep = self.planner, self.upkeep
        assert planner is not None and upkeep is not None
        while True:
            wanted = self.file.current
            if wanted is not None and wanted is not planner.wanted:
                yield from self._keep(wanted, self.kept)
                planner.renew(wanted)
                upkeep.renewed()
                self.log("weights_wanted", version=wanted.version)
            if self.settles is not None and self.world.now() >= self.settles:
                self.settles = None
                yield from self._keep(planner.wanted, Kept())
            busy = upkeep.turn(group, self.world.now())
            for grant in planner.plan(self.world.now()):
                group.spawn(self._grant(planner, grant), "weights grant")
            self.news = False
            yield from self.world.sleep(SOON)
            if not self.news:
                self.waiter = self.world.current
                try:
                    yield from self.world.sleep(TICK if busy or planner.outstanding.sent else IDLE)
                finally:
                    self.waiter = None

    def wake(self) -> None:
        """Something is new."""
        self.news = True
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

    def _send(self, number: int, kind: str, body: Any) -> Coro[None]:
        self._heard(number, (yield from self.tenure.tell(number, kind, body)))

    def _grant(self, planner: Planner, grant: Grant) -> Coro[None]:
        answer = yield from self.tenure.tell(grant.lane.gateway, "grant", grant)
        self._heard(grant.lane.gateway, answer)
        if answer is not None and answer.yes:
            planner.accepted(grant)
        else:
            planner.not_accepted(self.world.now(), grant, answer is not None)

    def _heard(self, number: int, answer: Answer | None) -> None:
        if answer is None or self.planner is None or self.upkeep is None:
            return
        try:
            report = decode(answer.body, type=forms.Report)
        except msgspec.DecodeError as wrong:
            self.log("weights_answer", gateway=number, why=str(wrong))
            return
        self.upkeep.answered(number)
        self.planner.confirmed(number)
        if report.gateway == number:
            self.planner.report(self.world.now(), report)
        self.wake()

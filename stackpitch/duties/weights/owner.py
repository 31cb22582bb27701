"""The owner of the task: asks the sites' gateways what they have, plans, and sends the grants.

The owner holds what it learns in memory only. The record has just what the next owner needs to wait long enough: how
long the grants last and which gateways may have got some. It is written before the first grant is sent.
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

MIN_TURN_TIME: Time = 20 * MS  # between two turns at least: a plan for 50 sites takes 5 ms of the loop
BUSY_TURN_TIME: Time = SECOND // 10
IDLE_TURN_TIME: Time = SECOND // 2  # between turns when nothing is missing anywhere
FILE_TRIES = 6  # how many times IDLE_TURN_TIME an owner waits for a first valid file
UNKNOWN_GATEWAY = -1  # no such gateway exists to confirm the term, so the grants are waited out


class Kept(msgspec.Struct, frozen=True):
    """The task's record: the longest grant, and the gateways that may have got grants."""

    lasts: Time = 0
    gateways: tuple[int, ...] = ()


class Owner:
    """The work of one term of ownership."""

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
        self.reduce_record_at: Time | None = None  # when the record can be reduced to the wanted set in force
        self.waiter: Task | None = None
        self.news = False  # since the last turn

    def run(self, value: bytes) -> Coro[None]:
        """Works until the tenure ends. `value`: the record. Raises NoWanted, and what the tenure raises."""
        if value:
            try:
                self.kept = msgspec.msgpack.decode(value, type=Kept)
            except msgspec.DecodeError as error:
                self.log(
                    "weights_record",
                    why=f"the record can't be read, the longest grant is waited out: {error}",
                )
                self.kept = Kept(MAX_GRANT_DURATION, (UNKNOWN_GATEWAY,))
        for _ in range(FILE_TRIES):
            if self.file.current is None:
                yield from self.world.sleep(IDLE_TURN_TIME)
        if self.file.current is None:
            raise NoWanted(str(self.file.path))
        wanted = self.file.current
        before = self.kept.lasts, frozenset(self.kept.gateways)
        self.planner = Planner(wanted, self.world.now(), self.address, before, self.waiting)
        self.upkeep = Upkeep(self.planner, self._send, self.admits)
        yield from self._write_record(wanted, self.kept)
        yield from self.world.group(self._loop)

    def _write_record(self, wanted: Wanted, older: Kept) -> Coro[None]:
        """Writes the record before any grant under `wanted`. `older`: grants that may still run."""
        numbers = {number for site in wanted.sites.values() for number in site.gateways}
        kept = Kept(
            max(round(wanted.grant_ms * MS), older.lasts), tuple(sorted(numbers | set(older.gateways)))
        )
        if kept != self.kept:
            yield from self.tenure.write_record(msgspec.msgpack.encode(kept))
            self.kept = kept
        if older != Kept():
            self.reduce_record_at = self.world.now() + max_remaining_time(kept.lasts)

    def _loop(self, group: Group) -> Coro[None]:
        planner, upkeep = self.planner, self.upkeep
        assert planner is not None and upkeep is not None
        while True:
            wanted = self.file.current
            if wanted is not None and wanted is not planner.wanted:
                yield from self._write_record(wanted, self.kept)
                planner.renew(wanted)
                upkeep.renewed()
                self.log("weights_wanted", version=wanted.version)
            if self.reduce_record_at is not None and self.world.now() >= self.reduce_record_at:
                self.reduce_record_at = None
                yield from self._write_record(planner.wanted, Kept())
            busy = upkeep.turn(group, self.world.now())
            for grant in planner.plan(self.world.now()):
                group.spawn(self._grant(planner, grant), "weights grant")
            self.news = False
            yield from self.world.sleep(MIN_TURN_TIME)
            if not self.news:
                self.waiter = self.world.current
                try:
                    yield from self.world.sleep(
                        BUSY_TURN_TIME if busy or planner.outstanding.sent else IDLE_TURN_TIME
                    )
                finally:
                    self.waiter = None

    def wake(self) -> None:
        """Starts the next turn early, as something has changed."""
        self.news = True
        if self.waiter is not None:
            self.waiter.wake()

    def report(self, report: forms.Report) -> str:
        """Takes a gateway's report. Returns "yes", or the reason for the refusal."""
        if self.planner is None:
            return "not owner"
        if not self.planner.report(self.world.now(), report):
            return "not known"
        if any(one.done for one in report.ran):
            self.wake()
        return "yes"

    def _send(self, number: int, kind: str, body: Any) -> Coro[None]:
        self._handle_answer(number, (yield from self.tenure.send_call(number, kind, body)))

    def _grant(self, planner: Planner, grant: Grant) -> Coro[None]:
        answer = yield from self.tenure.send_call(grant.lane.gateway, "grant", grant)
        self._handle_answer(grant.lane.gateway, answer)
        if answer is not None and answer.yes:
            planner.accepted(grant)
        else:
            planner.not_accepted(self.world.now(), grant, answer is not None)

    def _handle_answer(self, number: int, answer: Answer | None) -> None:
        if answer is None or self.planner is None or self.upkeep is None:
            return
        try:
            report = decode(answer.body, type=forms.Report)
        except msgspec.DecodeError as error:
            self.log("weights_answer", gateway=number, why=str(error))
            return
        self.upkeep.answered(number)
        self.planner.confirmed(number)
        if report.gateway == number:
            self.planner.report(self.world.now(), report)
        self.wake()

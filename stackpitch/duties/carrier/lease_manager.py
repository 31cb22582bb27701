"""One duty on one gateway: campaigns when a voter says so, holds the lease, runs the work while it holds."""

from typing import Any

import msgspec

from stackpitch.duties.calls import Answer, Call, Stamp, raw
from stackpitch.duties.carrier.announcing import announce
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.peer_calls import PeerCalls
from stackpitch.duties.carrier.tenure import LeaseTenure
from stackpitch.duties.carrier.voter_service import Lease
from stackpitch.duties.ownership import terms
from stackpitch.duties.ownership.candidate import Candidate
from stackpitch.duties.ownership.errors import SteppedDown
from stackpitch.duties.ownership.fence import Fence
from stackpitch.duties.ownership.pacing import FAILURE_BACKOFF, split_vote_backoff
from stackpitch.duties.ownership.rounds import Round
from stackpitch.duties.record.errors import RecordLost, RecordTooLarge
from stackpitch.duties.work import Work
from stackpitch.loop import Coro, Group, Scope, Time, World


class Given(msgspec.Struct, frozen=True):
    serial: int = 0


GIVEN = msgspec.json.Decoder(Given)


class LeaseManager:
    """`serials`: of each voter, as it said last; as many entries as voters."""

    def __init__(
        self,
        world: World,
        group: Group,
        log: Any,
        config: DutiesConfig,
        duty: str,
        start: int,
        peer_calls: PeerCalls,
        fence: Fence,
        work: Work | None,
    ) -> None:
        self.world, self.group, self.log, self.config, self.duty = world, group, log, config, duty
        self.peer_calls, self.fence, self.work = peer_calls, fence, work
        self.candidate = Candidate(
            config.number, start, config.generation, config.voters, config.lease_duration
        )
        self.serials: dict[int, int] = {}
        self.scope: Scope | None = None  # of the tenure
        self.why = ""  # it was ended
        self.leaving = False
        self.rests: Time = 0  # until then
        self.split = 0  # campaigns that were lost after their pre-vote

    # Campaigns.

    def on_vacancy(self, call: Call) -> Answer:
        """A voter says that the duty is vacant."""
        if self.leaving or self.world.now() < self.rests:
            return Answer("not now")
        self.candidate.observe_stamp(call.stamp)
        self.candidate.observe_stamp(self.fence.highest_stamp(self.duty))
        if (asked := self.candidate.campaign(self.world.now())) is not None:
            self._send(asked)
        return Answer("yes")

    def _send(self, asked: Round) -> None:
        for voter in asked.voters:
            self.group.spawn(self._one(asked, voter), f"{asked.kind} {self.duty} {voter}")

    def _one(self, asked: Round, voter: int) -> Coro[None]:
        """The round's own look: a renewal leaves only while the lease holds, a question of a campaign only in its stage."""

        def look() -> bool:
            if asked.kind == "release":
                return True
            return asked.stamp == self.candidate.stamp and (
                self.candidate.pending_round is asked or self.candidate.holds_lease(self.world.now())
            )

        body = (
            raw(Lease(self.config.lease_duration, asked.renewal, self.serials))
            if asked.kind in ("would", "lease")
            else None
        )
        answer = yield from self.peer_calls.send(voter, self.duty, asked.kind, asked.stamp, body, look)
        if asked.kind == "lease" and answer is not None and answer.yes:
            try:
                self.serials[voter] = max(self.serials.get(voter, 0), GIVEN.decode(answer.body).serial)
            except msgspec.DecodeError:
                pass  # the yes stands; its serial is told with the next
        before = self.candidate.stage
        then = self.candidate.record_answer(self.world.now(), asked, voter, answer)
        if then is not None:
            self._send(then)
            if (
                then.kind == "release" and before == "lease"
            ):  # half a vote: others may hold the other half, and so again
                self.split += 1
                self.rests = self.world.now() + split_vote_backoff(self.duty, self.config.number, self.split)
        if before != "owner" and self.candidate.stage == "owner":
            self.group.spawn(self._own(self.candidate.stamp), f"own {self.duty}")

    # The time as owner.

    def _own(self, stamp: Stamp) -> Coro[None]:
        term, why, self.why = terms.format_term(stamp.term), "the work ended", ""
        self.log.info(
            "duty", word="owner", duty=self.duty, term=term, lease_ms=self.config.lease_duration / 10
        )
        with self.world.scope() as self.scope:
            try:
                yield from self.world.group(lambda group: self._tenure(group, stamp))
            except SteppedDown as error:
                why = error.why
            except (RecordTooLarge, RecordLost) as error:
                why = str(error)
                self.rests = self.world.now() + FAILURE_BACKOFF
                self.log.error("duty_failed", duty=self.duty, term=term, why=why)
            except BaseExceptionGroup as several:
                if not all(isinstance(one, SteppedDown) for one in several.exceptions):
                    raise
                why = "it stepped down"
            except Exception as error:  # a fault in the work: another gateway may have better luck
                why = f"the work broke: {error}"
                self.rests = self.world.now() + FAILURE_BACKOFF
                self.log.exception("duty_failed", duty=self.duty, term=term, why=why)
        self.scope = None
        why = self.why or why
        if (
            self.candidate.stamp == stamp
            and (release := self.candidate.step_down(self.world.now(), why)) is not None
        ):
            self._send(release)
        self.log.info("duty", word="stepped down", duty=self.duty, term=term, why=why)

    def _tenure(self, group: Group, stamp: Stamp) -> Coro[None]:
        tenure = LeaseTenure(
            self.world, group, self.config, self.duty, stamp, self.peer_calls, self.candidate, self.step_down
        )
        group.spawn(self._renew(stamp), f"renew {self.duty}")
        group.spawn(self._watch(tenure), f"lease of {self.duty}")
        value = yield from tenure.begin(self.fence.highest_stamp(self.duty))
        self.log.info(
            "duty",
            word="record",
            duty=self.duty,
            term=terms.format_term(stamp.term),
            bytes=len(value),
            version=tenure.keeping.kept.version,
        )
        group.spawn(announce(self.world, self.config, tenure, self.work), f"announce {self.duty}")
        if self.work is not None:
            yield from self.work.own(tenure, value)

    def _renew(self, stamp: Stamp) -> Coro[None]:
        while True:
            yield from self.world.sleep(self.config.lease_duration // 3)
            asked = self.candidate.renew(self.world.now())
            if asked is None or asked.stamp != stamp:
                return
            self._send(asked)

    def _watch(self, tenure: LeaseTenure) -> Coro[None]:
        """Ends the tenure when its lease has run out, also after a pause of the whole process."""
        while tenure.holds():
            yield from self.world.sleep(max(1, self.candidate.lease_until - self.world.now()))
        self.step_down(tenure.stamp, "its lease ran out")

    def step_down(self, stamp: Stamp, why: str) -> None:
        if (
            self.candidate.stamp == stamp
            and (release := self.candidate.step_down(self.world.now(), why)) is not None
        ):
            self._send(release)
        if self.scope is not None and self.candidate.stamp == stamp:
            self.why = self.why or why
            self.scope.cancel()

    def outdone(self, stamp: Stamp) -> None:
        """A higher term was heard of here."""
        self.candidate.observe_stamp(stamp)
        if self.candidate.stage == "owner" and stamp.term > self.candidate.stamp.term:
            self.step_down(self.candidate.stamp, f"term {terms.format_term(stamp.term)} was heard of")

    def leave(self) -> None:
        """The gateway ends: the duty is handed over at once, and not taken again."""
        self.leaving = True
        if self.candidate.stage == "owner":
            self.step_down(self.candidate.stamp, "the gateway ends")
        elif (release := self.candidate.step_down(self.world.now(), "the gateway ends")) is not None:
            self._send(release)

"""One duty on one gateway: campaigns on a vacancy, renews the lease, runs the work under it."""

from typing import Any

import msgspec

from stackpitch.duties.calls import Answer, Call, Stamp, encode_body
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
    """The body of a voting replica's yes to a lease: the serial of its writes."""

    serial: int = 0


GIVEN = msgspec.json.Decoder(Given)


class LeaseManager:
    """Drives the candidate of one duty.

    `serials`: the highest reported by each voting replica; at most one entry per replica.
    """

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
        self.scope: Scope | None = None  # of the current tenure, None without one
        self.end_reason = ""  # of the current tenure
        self.leaving = False
        self.backoff_until: Time = 0  # no campaign before then
        self.split_votes = 0  # campaigns lost after a won pre-vote

    # Campaigns.

    def on_vacancy(self, call: Call) -> Answer:
        """A voting replica reports the duty vacant: starts a campaign unless backing off or shutting down."""
        if self.leaving or self.world.now() < self.backoff_until:
            return Answer("not now")
        self.candidate.observe_stamp(call.stamp)
        self.candidate.observe_stamp(self.fence.highest_stamp(self.duty))
        if (quorum_round := self.candidate.campaign(self.world.now())) is not None:
            self._send_round(quorum_round)
        return Answer("yes")

    def _send_round(self, quorum_round: Round) -> None:
        for voter in quorum_round.voters:
            self.group.spawn(self._call(quorum_round, voter), f"{quorum_round.kind} {self.duty} {voter}")

    def _call(self, quorum_round: Round, voter: int) -> Coro[None]:
        """Sends one call of a round and handles its answer.

        A renewal is sent only while the lease is valid, a campaign's call only while its round is pending.
        """

        def still_valid() -> bool:
            if quorum_round.kind == "release":
                return True
            return quorum_round.stamp == self.candidate.stamp and (
                self.candidate.pending_round is quorum_round or self.candidate.holds_lease(self.world.now())
            )

        body = (
            encode_body(Lease(self.config.lease_duration, quorum_round.renewal, self.serials))
            if quorum_round.kind in ("would", "lease")
            else None
        )
        answer = yield from self.peer_calls.send(
            voter, self.duty, quorum_round.kind, quorum_round.stamp, body, still_valid
        )
        if quorum_round.kind == "lease" and answer is not None and answer.yes:
            try:
                self.serials[voter] = max(self.serials.get(voter, 0), GIVEN.decode(answer.body).serial)
            except msgspec.DecodeError:
                pass  # the yes counts all the same; the serial comes with the next answer
        previous_stage = self.candidate.stage
        next_round = self.candidate.record_answer(self.world.now(), quorum_round, voter, answer)
        if next_round is not None:
            self._send_round(next_round)
            # Split vote: other candidates may have got the other votes, and would again without a back-off.
            if next_round.kind == "release" and previous_stage == "lease":
                self.split_votes += 1
                self.backoff_until = self.world.now() + split_vote_backoff(
                    self.duty, self.config.number, self.split_votes
                )
        if previous_stage != "owner" and self.candidate.stage == "owner":
            self.group.spawn(self._run_as_owner(self.candidate.stamp), f"own {self.duty}")

    # The tenure as owner.

    def _run_as_owner(self, stamp: Stamp) -> Coro[None]:
        term, reason, self.end_reason = terms.format_term(stamp.term), "the work ended", ""
        self.log.info(
            "duty", word="owner", duty=self.duty, term=term, lease_ms=self.config.lease_duration / 10
        )
        with self.world.scope() as self.scope:
            try:
                yield from self.world.group(lambda group: self._run_tenure(group, stamp))
            except SteppedDown as error:
                reason = error.why
            except (RecordTooLarge, RecordLost) as error:
                reason = str(error)
                self.backoff_until = self.world.now() + FAILURE_BACKOFF
                self.log.error("duty_failed", duty=self.duty, term=term, why=reason)
            except BaseExceptionGroup as errors:
                if not all(isinstance(nested, SteppedDown) for nested in errors.exceptions):
                    raise
                reason = "it stepped down"
            except Exception as error:  # in the work: another gateway may succeed
                reason = f"the work failed: {error}"
                self.backoff_until = self.world.now() + FAILURE_BACKOFF
                self.log.exception("duty_failed", duty=self.duty, term=term, why=reason)
        self.scope = None
        reason = self.end_reason or reason
        if (
            self.candidate.stamp == stamp
            and (release := self.candidate.step_down(self.world.now(), reason)) is not None
        ):
            self._send_round(release)
        self.log.info("duty", word="stepped down", duty=self.duty, term=term, why=reason)

    def _run_tenure(self, group: Group, stamp: Stamp) -> Coro[None]:
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
            version=tenure.keeping.current.version,
        )
        group.spawn(announce(self.world, self.config, tenure, self.work), f"announce {self.duty}")
        if self.work is not None:
            yield from self.work.run_as_owner(tenure, value)

    def _renew(self, stamp: Stamp) -> Coro[None]:
        while True:
            yield from self.world.sleep(self.config.lease_duration // 3)
            quorum_round = self.candidate.renew(self.world.now())
            if quorum_round is None or quorum_round.stamp != stamp:
                return
            self._send_round(quorum_round)

    def _watch(self, tenure: LeaseTenure) -> Coro[None]:
        """Ends the tenure when its lease has expired, also after a pause of the whole process."""
        while tenure.holds():
            yield from self.world.sleep(max(1, self.candidate.lease_until - self.world.now()))
        self.step_down(tenure.stamp, "its lease ran out")

    def step_down(self, stamp: Stamp, reason: str) -> None:
        """Releases the lease held under `stamp`, if any, and cancels its tenure."""
        if (
            self.candidate.stamp == stamp
            and (release := self.candidate.step_down(self.world.now(), reason)) is not None
        ):
            self._send_round(release)
        if self.scope is not None and self.candidate.stamp == stamp:
            self.end_reason = self.end_reason or reason
            self.scope.cancel()

    def observe_stamp(self, stamp: Stamp) -> None:
        """Notes a term that is in use; steps down if it is higher than this owner's."""
        self.candidate.observe_stamp(stamp)
        if self.candidate.stage == "owner" and stamp.term > self.candidate.stamp.term:
            self.step_down(self.candidate.stamp, f"term {terms.format_term(stamp.term)} was heard of")

    def leave(self) -> None:
        """The gateway shuts down: releases the lease at once and starts no further campaign."""
        self.leaving = True
        if self.candidate.stage == "owner":
            self.step_down(self.candidate.stamp, "the gateway shuts down")
        elif (release := self.candidate.step_down(self.world.now(), "the gateway shuts down")) is not None:
            self._send_round(release)

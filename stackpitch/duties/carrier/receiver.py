"""Calls from other gateways; malformed or misdirected ones are dropped and counted."""

from collections import Counter
from typing import Any

import msgspec

from stackpitch.duties.calls import CALL_DECODER, ENCODER, FORMAT_VERSION, Answer, Call, encode_body
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.lease_manager import LeaseManager
from stackpitch.duties.carrier.voter_service import KINDS, VoterService
from stackpitch.duties.ownership import terms
from stackpitch.duties.ownership.fence import Fence
from stackpitch.duties.work import Work
from stackpitch.loop import Coro


class CallReceiver:
    """Validates incoming calls and dispatches them to the voting replica, the lease managers or the work.

    `dropped`: counts by reason, one entry per reason. `owners`: the last known owner, at most one entry per
    duty.
    """

    def __init__(self, log: Any, config: DutiesConfig, fence: Fence, works: dict[str, Work]) -> None:
        self.log, self.config, self.fence, self.works = log, config, fence, works
        self.voter_service: VoterService | None = None
        self.lease_managers: dict[str, LeaseManager] = {}
        self.owners: dict[str, int] = {}
        self.learned = False  # the terms in service before this start (see `learning`)
        self.dropped: Counter[str] = Counter()

    def handle_request(self, body: bytes) -> Coro[tuple[int, bytes]]:
        """Handles `POST /duty`; returns the status and the body of the response."""
        try:
            call = CALL_DECODER.decode(body)
            if (reason := self._reason_to_drop(call)) is None:
                return 200, ENCODER.encode((yield from self.handle(call)))
        except msgspec.DecodeError:
            reason = "malformed"
        except Exception as error:  # in a duty's work: the gateway and its other duties go on
            self.log.exception("duty_call_failed", why=str(error))
            reason = "failed here"
        self.dropped[reason] += 1
        return 400, msgspec.json.encode({"error": reason})

    def _reason_to_drop(self, call: Call) -> str | None:
        config = self.config
        if call.form != FORMAT_VERSION:
            return (
                f"form {call.form}, this side has {FORMAT_VERSION}: "
                f"update the {'receiver' if call.form > FORMAT_VERSION else 'sender'}"
                if (0 < call.form < 1 << 16)
                else "malformed"
            )
        if call.fleet != config.fleet:
            return "another fleet"
        if call.to != config.number:
            return "for another gateway"
        if not 0 <= call.sender < config.gateways or call.sender == config.number:
            return "unknown sender"
        if call.duty not in config.names and (call.kind, call.duty) != ("state", ""):
            return "unknown duty"
        # A term of an impossible generation would fence off all valid terms.
        valid_generation = 0 <= terms.generation_of(call.stamp.term) < terms.MAX_GENERATIONS
        if not valid_generation or terms.owner_of(call.stamp.term) >= config.gateways:
            return "malformed"
        return None

    def handle(self, call: Call) -> Coro[Answer]:
        """Answers a call, also of this gateway itself. Raises msgspec.DecodeError on a malformed body."""
        answer = yield from self._dispatch(call)
        if answer.word == "older term":
            self.log.warning(
                "duty",
                word="turned down",
                duty=call.duty,
                kind=call.kind,
                sender=call.sender,
                term=terms.format_term(call.stamp.term),
                known=terms.format_term(answer.stamp.term),
            )
        return answer

    def _dispatch(self, call: Call) -> Coro[Answer]:
        if call.kind in KINDS or call.kind == "state":
            return (
                (yield from self.voter_service.answer(call))
                if self.voter_service is not None
                else Answer("no voter")
            )
        lease_manager = self.lease_managers[call.duty]
        if call.kind == "vacant":
            return lease_manager.on_vacancy(call)
        if call.stamp.term:  # an effect
            if not self.learned:
                # The sender retries. Without a majority of voting replicas there is no owner either.
                return Answer("not yet")
            if not self.fence.admits(call.duty, call.stamp):
                return Answer("older term", self.fence.highest_stamp(call.duty))
            lease_manager.observe_stamp(call.stamp)
            self.owners[call.duty] = terms.owner_of(call.stamp.term)
            if call.kind == "owner":
                work = self.works.get(call.duty)
                return Answer("yes", call.stamp, encode_body(work.present() if work is not None else None))
        work = self.works.get(call.duty)
        if work is None:
            return Answer("no such work")
        return (yield from work.handle_call(call.sender, call.kind, call.stamp, call.body))

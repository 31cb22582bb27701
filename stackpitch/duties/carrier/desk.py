"""Where calls from other gateways come in: what is malformed, astray or from another fleet is dropped and counted."""

from collections import Counter
from typing import Any

import msgspec

from stackpitch.duties.calls import CALL_DECODER, ENCODER, FORMAT_VERSION, Answer, Call, encode_body
from stackpitch.duties.carrier.figures import Figures
from stackpitch.duties.carrier.owning import Owning
from stackpitch.duties.carrier.voting import KINDS, Voting
from stackpitch.duties.ownership import terms
from stackpitch.duties.ownership.fence import Fence
from stackpitch.duties.work import Work
from stackpitch.loop import Coro


class Desk:
    """`dropped`: calls by why they were; as many entries as there are reasons. `owners`: of each duty, as last heard."""

    def __init__(self, log: Any, figures: Figures, fence: Fence, works: dict[str, Work]) -> None:
        self.log, self.figures, self.fence, self.works = log, figures, fence, works
        self.voting: Voting | None = None
        self.ownings: dict[str, Owning] = {}
        self.owners: dict[str, int] = {}
        self.learned = False  # what terms were in service before this start (`learning`)
        self.dropped: Counter[str] = Counter()

    def take(self, body: bytes) -> Coro[tuple[int, bytes]]:
        """`POST /duty`: status and answer."""
        try:
            call = CALL_DECODER.decode(body)
            if (wrong := self._astray(call)) is None:
                return 200, ENCODER.encode((yield from self.heard(call)))
        except msgspec.DecodeError:
            wrong = "malformed"
        except Exception as fault:  # in a work: the gateway, and its other duties, go on
            self.log.exception("duty_call_failed", why=str(fault))
            wrong = "failed here"
        self.dropped[wrong] += 1
        return 400, msgspec.json.encode({"error": wrong})

    def _astray(self, call: Call) -> str | None:
        figures = self.figures
        if call.form != FORMAT_VERSION:
            return (
                f"form {call.form}, this side has {FORMAT_VERSION}: "
                f"update the {'receiver' if call.form > FORMAT_VERSION else 'sender'}"
                if (0 < call.form < 1 << 16)
                else "malformed"
            )
        if call.fleet != figures.fleet:
            return "another fleet"
        if call.to != figures.number:
            return "for another gateway"
        if not 0 <= call.sender < figures.gateways or call.sender == figures.number:
            return "unknown sender"
        if call.duty not in figures.names and (call.kind, call.duty) != ("state", ""):
            return "unknown duty"
        known = (
            0 <= terms.generation_of(call.stamp.term) < terms.GENERATIONS
        )  # a higher one would shut out all that come
        if not known or terms.owner_of(call.stamp.term) >= figures.gateways:
            return "malformed"
        return None

    def heard(self, call: Call) -> Coro[Answer]:
        """A call for this gateway, its own ones too. Raises msgspec.DecodeError on a body that its kind doesn't have."""
        answer = yield from self._answered(call)
        if answer.word == "older term":
            self.log.warning(
                "duty",
                word="turned down",
                duty=call.duty,
                kind=call.kind,
                sender=call.sender,
                term=terms.text(call.stamp.term),
                known=terms.text(answer.stamp.term),
            )
        return answer

    def _answered(self, call: Call) -> Coro[Answer]:
        if call.kind in KINDS or call.kind == "state":
            return (yield from self.voting.answer(call)) if self.voting is not None else Answer("no voter")
        owning = self.ownings[call.duty]
        if call.kind == "vacant":
            return owning.told(call)
        if call.stamp.term:  # an effect
            if not self.learned:
                return Answer(
                    "not yet"
                )  # its sender tries again; voters that are all dead have no owner either
            if not self.fence.admits(call.duty, call.stamp):
                return Answer("older term", self.fence.known(call.duty))
            owning.outdone(call.stamp)
            self.owners[call.duty] = terms.owner_of(call.stamp.term)
            if call.kind == "owner":
                work = self.works.get(call.duty)
                return Answer("yes", call.stamp, encode_body(work.present() if work is not None else None))
        work = self.works.get(call.duty)
        if work is None:
            return Answer("no such work")
        return (yield from work.handle_call(call.sender, call.kind, call.stamp, call.body))

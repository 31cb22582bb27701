"""`work.Tenure`, which a duty's work uses while its gateway is the owner: lease check, record, effects."""

from collections.abc import Callable
from typing import Any

from stackpitch.duties.calls import RESERVED_KINDS, Answer, Stamp, encode_body
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.peer_calls import PeerCalls
from stackpitch.duties.ownership import terms
from stackpitch.duties.ownership.candidate import Candidate
from stackpitch.duties.ownership.errors import SteppedDown
from stackpitch.duties.ownership.pacing import ROUND_RETRY_DELAY
from stackpitch.duties.ownership.rounds import Round
from stackpitch.duties.record.client import RecordClient
from stackpitch.duties.record.errors import RecordLost
from stackpitch.loop import Coro, Group, World


class LeaseTenure:
    """One tenure as owner of a duty.

    `group` runs the calls; those of a round that has been won go on in it to slower voting replicas.
    """

    def __init__(
        self,
        world: World,
        group: Group,
        config: DutiesConfig,
        duty: str,
        stamp: Stamp,
        peer_calls: PeerCalls,
        candidate: Candidate,
        step_down: Callable[[Stamp, str], None],
    ) -> None:
        self.world, self.group, self.config, self.duty, self.stamp = world, group, config, duty, stamp
        self.peer_calls, self.candidate, self.step_down = peer_calls, candidate, step_down
        self.keeping = RecordClient(duty, stamp, config.voters)

    def holds(self) -> bool:
        """Whether the lease of this tenure's term is valid now."""
        return self.candidate.stamp == self.stamp and self.candidate.holds_lease(self.world.now())

    def end(self, reason: str) -> SteppedDown:
        """Steps down; returns the exception to raise."""
        reason = (
            self.candidate.end_reason
            if self.candidate.stamp == self.stamp and self.candidate.stage == "idle"
            else reason
        )
        self.step_down(self.stamp, reason)
        return SteppedDown(self.duty, terms.format_term(self.stamp.term), reason)

    def begin(self, known: Stamp) -> Coro[bytes]:
        """Reads the record from a majority and writes the newest back under this term; returns its value.

        `known`: the highest stamp seen in service at this gateway. Raises SteppedDown, RecordLost.
        """
        quorum_round = yield from self._majority_round(
            lambda: self.keeping.read_round(self.world.now()), None
        )
        self.keeping.finish_read(quorum_round)
        lost = (
            not self.keeping.current.stamp.term and terms.generation_of(known.term) == self.config.generation
        )
        if lost and known.term and known != self.stamp:
            raise RecordLost(self.duty, terms.format_term(known.term))
        yield from self._write()
        return self.keeping.current.value

    def write_record(self, value: bytes) -> Coro[None]:
        """Writes the record to a majority. Raises SteppedDown, RecordTooLarge."""
        self.keeping.set_pending(value)
        yield from self._write()

    def _write(self) -> Coro[None]:
        wanted = self.keeping.pending
        assert wanted is not None, "only after a value was found or wanted"
        body = encode_body(wanted)
        yield from self._majority_round(
            lambda: Round("write", self.stamp, self.world.now(), self.config.voters), body
        )
        self.keeping.finish_write(wanted)

    def _majority_round(self, make_round: Callable[[], Round], body: Any) -> Coro[Round]:
        """Repeats a round to all voting replicas until a majority agrees. Raises SteppedDown."""
        while True:
            quorum_round = make_round()
            yield from self._send_round(quorum_round, body)
            if quorum_round.won:
                return quorum_round
            if not self.holds():
                raise self.end("its lease ran out")
            if quorum_round.highest_term > self.stamp.term and quorum_round.lost:
                raise self.end(f"voters know term {terms.format_term(quorum_round.highest_term)}")
            yield from self.world.sleep(ROUND_RETRY_DELAY)

    def _send_round(self, quorum_round: Round, body: Any) -> Coro[None]:
        task = self.world.current

        def ask(voter: int) -> Coro[None]:
            answer = yield from self.peer_calls.send(
                voter, self.duty, quorum_round.kind, self.stamp, body, self.holds
            )
            quorum_round.record(voter, answer)
            task.wake()

        for voter in quorum_round.voters:
            self.group.spawn(ask(voter), f"{quorum_round.kind} {self.duty} {voter}")
        while (
            not quorum_round.won
            and not quorum_round.lost
            and len(quorum_round.yes) + len(quorum_round.no) < len(quorum_round.voters)
        ):
            yield

    def send_call(self, number: int, kind: str, body: Any) -> Coro[Answer | None]:
        """Sends an effect of the work. Raises SteppedDown; ValueError if the lease protocol uses `kind`."""
        if kind in RESERVED_KINDS:
            raise ValueError(
                f"a work can't send calls of kind {kind!r}; reserved kinds: {', '.join(sorted(RESERVED_KINDS))}"
            )
        return (yield from self.effect(number, kind, body))

    def effect(self, number: int, kind: str, body: Any) -> Coro[Answer | None]:
        """Sends an effect under this term; None if no answer came in time. Raises SteppedDown."""
        if not self.holds():
            raise self.end("its lease ran out")
        answer = yield from self.peer_calls.send(number, self.duty, kind, self.stamp, body, self.holds)
        if answer is not None and answer.word == "older term":
            self.candidate.observe_stamp(answer.stamp)
            raise self.end(f"gateway {number} knows term {terms.format_term(answer.stamp.term)}")
        return answer

"""What the work holds while its gateway owns the duty (`work.Tenure`): a look before each act, the record, effects."""

from collections.abc import Callable
from typing import Any

from stackpitch.duties.calls import GROUND, Answer, Stamp, raw
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.peer_calls import PeerCalls
from stackpitch.duties.ownership import terms
from stackpitch.duties.ownership.candidate import Candidate
from stackpitch.duties.ownership.errors import SteppedDown
from stackpitch.duties.ownership.pacing import ROUND_RETRY_DELAY
from stackpitch.duties.ownership.rounds import Round
from stackpitch.duties.record.errors import RecordLost
from stackpitch.duties.record.keeping import Keeping
from stackpitch.loop import Coro, Group, World


class LeaseTenure:
    """`group`: that of the tenure; a round that is won goes on in it to those voters that are slower."""

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
        self.keeping = Keeping(duty, stamp, config.voters)

    def holds(self) -> bool:
        return self.candidate.stamp == self.stamp and self.candidate.holds_lease(self.world.now())

    def over(self, why: str) -> SteppedDown:
        """Steps down, and gives what to raise."""
        why = (
            self.candidate.end_reason
            if self.candidate.stamp == self.stamp and self.candidate.stage == "idle"
            else why
        )
        self.step_down(self.stamp, why)
        return SteppedDown(self.duty, terms.format_term(self.stamp.term), why)

    def begin(self, known: Stamp) -> Coro[bytes]:
        """Reads a majority's record and writes the newest back under our term. `known`: the newest stamp that was seen
        in service here. Raises SteppedDown, RecordLost."""
        asked = yield from self._won(lambda: self.keeping.read(self.world.now()), None)
        self.keeping.found(asked)
        lost = not self.keeping.kept.stamp.term and terms.generation_of(known.term) == self.config.generation
        if lost and known.term and known != self.stamp:
            raise RecordLost(self.duty, terms.format_term(known.term))
        yield from self._write()
        return self.keeping.kept.value

    def keep(self, value: bytes) -> Coro[None]:
        """Raises SteppedDown, RecordTooLarge."""
        self.keeping.want(value)
        yield from self._write()

    def _write(self) -> Coro[None]:
        wanted = self.keeping.wanted
        assert wanted is not None, "only after a value was found or wanted"
        body = raw(wanted)
        yield from self._won(lambda: Round("write", self.stamp, self.world.now(), self.config.voters), body)
        self.keeping.written(wanted)

    def _won(self, make: Callable[[], Round], body: Any) -> Coro[Round]:
        """Asks all voters until a majority says yes to one round. Raises SteppedDown."""
        while True:
            asked = make()
            yield from self._round(asked, body)
            if asked.won:
                return asked
            if not self.holds():
                raise self.over("its lease ran out")
            if asked.highest_term > self.stamp.term and asked.lost:
                raise self.over(f"voters know term {terms.format_term(asked.highest_term)}")
            yield from self.world.sleep(ROUND_RETRY_DELAY)

    def _round(self, asked: Round, body: Any) -> Coro[None]:
        task = self.world.current

        def one(voter: int) -> Coro[None]:
            answer = yield from self.peer_calls.send(
                voter, self.duty, asked.kind, self.stamp, body, self.holds
            )
            asked.record(voter, answer)
            task.wake()

        for voter in asked.voters:
            self.group.spawn(one(voter), f"{asked.kind} {self.duty} {voter}")
        while not asked.won and not asked.lost and len(asked.yes) + len(asked.no) < len(asked.voters):
            yield

    def tell(self, number: int, kind: str, body: Any) -> Coro[Answer | None]:
        if kind in GROUND:
            raise ValueError(
                f"a work's call of kind {kind!r}; allowed: any but the ground's own, {', '.join(sorted(GROUND))}"
            )
        return (yield from self.effect(number, kind, body))

    def effect(self, number: int, kind: str, body: Any) -> Coro[Answer | None]:
        if not self.holds():
            raise self.over("its lease ran out")
        answer = yield from self.peer_calls.send(number, self.duty, kind, self.stamp, body, self.holds)
        if answer is not None and answer.word == "older term":
            self.candidate.observe_stamp(answer.stamp)
            raise self.over(f"gateway {number} knows term {terms.format_term(answer.stamp.term)}")
        return answer

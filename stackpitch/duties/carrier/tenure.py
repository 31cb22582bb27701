"""What the work holds while its gateway owns the duty (`work.Tenure`): a look before each act, the record, effects."""

from collections.abc import Callable
from typing import Any

from stackpitch.duties.calls import RESERVED_KINDS, Answer, Stamp, encode_body
from stackpitch.duties.carrier.figures import Figures
from stackpitch.duties.carrier.posts import Posts
from stackpitch.duties.ownership import terms
from stackpitch.duties.ownership.candidate import Candidate
from stackpitch.duties.ownership.errors import SteppedDown
from stackpitch.duties.ownership.pacing import ROUND
from stackpitch.duties.ownership.rounds import Round
from stackpitch.duties.record.client import RecordClient
from stackpitch.duties.record.errors import RecordLost
from stackpitch.loop import Coro, Group, World


class OwnTenure:
    """`group`: that of the tenure; a round that is won goes on in it to those voters that are slower."""

    def __init__(
        self,
        world: World,
        group: Group,
        figures: Figures,
        duty: str,
        stamp: Stamp,
        posts: Posts,
        candidate: Candidate,
        step_down: Callable[[Stamp, str], None],
    ) -> None:
        self.world, self.group, self.figures, self.duty, self.stamp = world, group, figures, duty, stamp
        self.posts, self.candidate, self.step_down = posts, candidate, step_down
        self.keeping = RecordClient(duty, stamp, figures.voters)

    def holds(self) -> bool:
        return self.candidate.stamp == self.stamp and self.candidate.holds(self.world.now())

    def over(self, why: str) -> SteppedDown:
        """Steps down, and gives what to raise."""
        why = (
            self.candidate.why
            if self.candidate.stamp == self.stamp and self.candidate.stage == "idle"
            else why
        )
        self.step_down(self.stamp, why)
        return SteppedDown(self.duty, terms.text(self.stamp.term), why)

    def begin(self, known: Stamp) -> Coro[bytes]:
        """Reads a majority's record and writes the newest back under our term. `known`: the newest stamp that was seen
        in service here. Raises SteppedDown, RecordLost."""
        asked = yield from self._won(lambda: self.keeping.read_round(self.world.now()), None)
        self.keeping.finish_read(asked)
        lost = (
            not self.keeping.current.stamp.term and terms.generation_of(known.term) == self.figures.generation
        )
        if lost and known.term and known != self.stamp:
            raise RecordLost(self.duty, terms.text(known.term))
        yield from self._write()
        return self.keeping.current.value

    def write_record(self, value: bytes) -> Coro[None]:
        """Raises SteppedDown, RecordTooLarge."""
        self.keeping.set_pending(value)
        yield from self._write()

    def _write(self) -> Coro[None]:
        wanted = self.keeping.pending
        assert wanted is not None, "only after a value was found or wanted"
        body = encode_body(wanted)
        yield from self._won(lambda: Round("write", self.stamp, self.world.now(), self.figures.voters), body)
        self.keeping.finish_write(wanted)

    def _won(self, make: Callable[[], Round], body: Any) -> Coro[Round]:
        """Asks all voters until a majority says yes to one round. Raises SteppedDown."""
        while True:
            asked = make()
            yield from self._round(asked, body)
            if asked.won:
                return asked
            if not self.holds():
                raise self.over("its lease ran out")
            if asked.highest > self.stamp.term and asked.lost:
                raise self.over(f"voters know term {terms.text(asked.highest)}")
            yield from self.world.sleep(ROUND)

    def _round(self, asked: Round, body: Any) -> Coro[None]:
        task = self.world.current

        def one(voter: int) -> Coro[None]:
            answer = yield from self.posts.send(voter, self.duty, asked.kind, self.stamp, body, self.holds)
            asked.heard(voter, answer)
            task.wake()

        for voter in asked.voters:
            self.group.spawn(one(voter), f"{asked.kind} {self.duty} {voter}")
        while not asked.won and not asked.lost and len(asked.yes) + len(asked.no) < len(asked.voters):
            yield

    def send_call(self, number: int, kind: str, body: Any) -> Coro[Answer | None]:
        if kind in RESERVED_KINDS:
            raise ValueError(
                f"a work's call of kind {kind!r}; allowed: any but the reserved kinds, {', '.join(sorted(RESERVED_KINDS))}"
            )
        return (yield from self.effect(number, kind, body))

    def effect(self, number: int, kind: str, body: Any) -> Coro[Answer | None]:
        if not self.holds():
            raise self.over("its lease ran out")
        answer = yield from self.posts.send(number, self.duty, kind, self.stamp, body, self.holds)
        if answer is not None and answer.word == "older term":
            self.candidate.outdone(answer.stamp)
            raise self.over(f"gateway {number} knows term {terms.text(answer.stamp.term)}")
        return answer

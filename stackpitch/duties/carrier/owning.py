"""One duty on one gateway: campaigns when a voter says so, holds the lease, runs the work while it holds."""

from typing import Any

import msgspec

from stackpitch.duties.calls import Answer, Call, Stamp, encode_body
from stackpitch.duties.carrier.announcing import announce
from stackpitch.duties.carrier.figures import Figures
from stackpitch.duties.carrier.posts import Posts
from stackpitch.duties.carrier.tenure import OwnTenure
from stackpitch.duties.carrier.voting import Lease
from stackpitch.duties.ownership import terms
from stackpitch.duties.ownership.candidate import Candidate
from stackpitch.duties.ownership.errors import SteppedDown
from stackpitch.duties.ownership.fence import Fence
from stackpitch.duties.ownership.pacing import REST, split_rest
from stackpitch.duties.ownership.rounds import Round
from stackpitch.duties.record.errors import RecordLost, RecordTooLarge
from stackpitch.duties.work import Work
from stackpitch.loop import Coro, Group, Scope, Time, World


class Given(msgspec.Struct, frozen=True):
    serial: int = 0


GIVEN = msgspec.json.Decoder(Given)


class Owning:
    """`serials`: of each voter, as it said last; as many entries as voters."""

    def __init__(
        self,
        world: World,
        group: Group,
        log: Any,
        figures: Figures,
        duty: str,
        start: int,
        posts: Posts,
        fence: Fence,
        work: Work | None,
    ) -> None:
        self.world, self.group, self.log, self.figures, self.duty = world, group, log, figures, duty
        self.posts, self.fence, self.work = posts, fence, work
        self.candidate = Candidate(figures.number, start, figures.generation, figures.voters, figures.lease)
        self.serials: dict[int, int] = {}
        self.scope: Scope | None = None  # of the tenure
        self.why = ""  # it was ended
        self.leaving = False
        self.rests: Time = 0  # until then
        self.split = 0  # campaigns that were lost after their pre-vote

    # Campaigns.

    def told(self, call: Call) -> Answer:
        """A voter says that the duty is vacant."""
        if self.leaving or self.world.now() < self.rests:
            return Answer("not now")
        self.candidate.outdone(call.stamp)
        self.candidate.outdone(self.fence.known(self.duty))
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
                self.candidate.round is asked or self.candidate.holds(self.world.now())
            )

        body = (
            encode_body(Lease(self.figures.lease, asked.renewal, self.serials))
            if asked.kind in ("would", "lease")
            else None
        )
        answer = yield from self.posts.send(voter, self.duty, asked.kind, asked.stamp, body, look)
        if asked.kind == "lease" and answer is not None and answer.yes:
            try:
                self.serials[voter] = max(self.serials.get(voter, 0), GIVEN.decode(answer.body).serial)
            except msgspec.DecodeError:
                pass  # the yes stands; its serial is told with the next
        before = self.candidate.stage
        then = self.candidate.heard(self.world.now(), asked, voter, answer)
        if then is not None:
            self._send(then)
            if (
                then.kind == "release" and before == "lease"
            ):  # half a vote: others may hold the other half, and so again
                self.split += 1
                self.rests = self.world.now() + split_rest(self.duty, self.figures.number, self.split)
        if before != "owner" and self.candidate.stage == "owner":
            self.group.spawn(self._own(self.candidate.stamp), f"own {self.duty}")

    # The time as owner.

    def _own(self, stamp: Stamp) -> Coro[None]:
        term, why, self.why = terms.text(stamp.term), "the work ended", ""
        self.log.info("duty", word="owner", duty=self.duty, term=term, lease_ms=self.figures.lease / 10)
        with self.world.scope() as self.scope:
            try:
                yield from self.world.group(lambda group: self._tenure(group, stamp))
            except SteppedDown as wrong:
                why = wrong.why
            except (RecordTooLarge, RecordLost) as wrong:
                why = str(wrong)
                self.rests = self.world.now() + REST
                self.log.error("duty_failed", duty=self.duty, term=term, why=why)
            except BaseExceptionGroup as several:
                if not all(isinstance(one, SteppedDown) for one in several.exceptions):
                    raise
                why = "it stepped down"
            except Exception as wrong:  # a fault in the work: another gateway may have better luck
                why = f"the work broke: {wrong}"
                self.rests = self.world.now() + REST
                self.log.exception("duty_failed", duty=self.duty, term=term, why=why)
        self.scope = None
        why = self.why or why
        if (
            self.candidate.stamp == stamp
            and (release := self.candidate.leave(self.world.now(), why)) is not None
        ):
            self._send(release)
        self.log.info("duty", word="stepped down", duty=self.duty, term=term, why=why)

    def _tenure(self, group: Group, stamp: Stamp) -> Coro[None]:
        tenure = OwnTenure(
            self.world, group, self.figures, self.duty, stamp, self.posts, self.candidate, self.step_down
        )
        group.spawn(self._renew(stamp), f"renew {self.duty}")
        group.spawn(self._watch(tenure), f"lease of {self.duty}")
        value = yield from tenure.begin(self.fence.known(self.duty))
        self.log.info(
            "duty",
            word="record",
            duty=self.duty,
            term=terms.text(stamp.term),
            bytes=len(value),
            version=tenure.keeping.current.version,
        )
        group.spawn(announce(self.world, self.figures, tenure, self.work), f"announce {self.duty}")
        if self.work is not None:
            yield from self.work.run_as_owner(tenure, value)

    def _renew(self, stamp: Stamp) -> Coro[None]:
        while True:
            yield from self.world.sleep(self.figures.lease // 3)
            asked = self.candidate.renew(self.world.now())
            if asked is None or asked.stamp != stamp:
                return
            self._send(asked)

    def _watch(self, tenure: OwnTenure) -> Coro[None]:
        """Ends the tenure when its lease has run out, also after a pause of the whole process."""
        while tenure.holds():
            yield from self.world.sleep(max(1, self.candidate.until - self.world.now()))
        self.step_down(tenure.stamp, "its lease ran out")

    def step_down(self, stamp: Stamp, why: str) -> None:
        if (
            self.candidate.stamp == stamp
            and (release := self.candidate.leave(self.world.now(), why)) is not None
        ):
            self._send(release)
        if self.scope is not None and self.candidate.stamp == stamp:
            self.why = self.why or why
            self.scope.cancel()

    def outdone(self, stamp: Stamp) -> None:
        """A higher term was heard of here."""
        self.candidate.outdone(stamp)
        if self.candidate.stage == "owner" and stamp.term > self.candidate.stamp.term:
            self.step_down(self.candidate.stamp, f"term {terms.text(stamp.term)} was heard of")

    def leave(self) -> None:
        """The gateway ends: the duty is handed over at once, and not taken again."""
        self.leaving = True
        if self.candidate.stage == "owner":
            self.step_down(self.candidate.stamp, "the gateway ends")
        elif (release := self.candidate.leave(self.world.now(), "the gateway ends")) is not None:
            self._send(release)

"""A voter's I/O: its file, how it comes to vote, one call after the other, and telling candidates of a vacancy."""

from functools import partial
from typing import Annotated, Any

import msgspec

from stackpitch.duties.calls import Answer, Call, encode_body
from stackpitch.duties.carrier.figures import Figures
from stackpitch.duties.carrier.posts import Posts
from stackpitch.duties.ownership.ballots import Ballots, Identity
from stackpitch.duties.ownership.errors import DiskFailed, FileOlder, MajorityLost, VoterError
from stackpitch.duties.ownership.joining import Decision, State, decide
from stackpitch.duties.ownership.lease import voters_time
from stackpitch.duties.ownership.pacing import JOIN
from stackpitch.duties.ownership.terms import owner_of
from stackpitch.duties.ownership.vacancy import APART, Vacancy, order
from stackpitch.duties.ownership.voter import Promise, Voter
from stackpitch.duties.record.register import RecordValue
from stackpitch.loop import SECOND, Coro, Group, Semaphore, Task, Time, World

QUEUE = "votes"  # of its file: a voter must not wait while gigabytes of weights are written
KINDS = frozenset({"would", "lease", "release", "read", "write"})


class Lease(msgspec.Struct, frozen=True):
    """What goes with a `would` or `lease`: ticks, which of its term's leases it is (0 with a `would`), and the voters'
    serials as the asking side has heard them."""

    ticks: Annotated[Time, msgspec.Meta(gt=0)]
    renewal: Annotated[int, msgspec.Meta(ge=0)]
    serials: dict[int, Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]] = {}


class Given(msgspec.Struct, frozen=True):
    """What goes with a voter's yes to a lease."""

    serial: int


LEASE, KEPT, STATE = (
    msgspec.json.Decoder(Lease),
    msgspec.json.Decoder(RecordValue),
    msgspec.json.Decoder(State),
)
PROMISE = msgspec.json.Decoder(Promise)


class Voting:
    """`seen`: the highest serial heard of each other voter; as many entries as voters. Kept in the file as well."""

    def __init__(self, world: World, group: Group, log: Any, figures: Figures, posts: Posts) -> None:
        self.world, self.group, self.log, self.figures, self.posts = world, group, log, figures, posts
        self.ballots = Ballots(
            world.files(), figures.file, Identity(figures.fleet, figures.number, figures.generation)
        )
        self.voter = Voter(
            figures.lease, figures.drift, world.now() + voters_time(figures.lease, figures.drift)
        )
        self.joined = self.opened = False
        self.older = False  # its file turned out to be an older copy
        self.seen: dict[int, int] = {}
        self.turns = Semaphore(world)
        self.vacancies = {duty: Vacancy(order(duty, figures.gateways)) for duty in figures.names}
        self.open: dict[str, bool] = {}  # duties whose vacancy has begun
        self.teller: Task | None = None
        self.trouble = ""

    # Coming to vote.

    def run(self) -> Coro[None]:
        try:
            yield from self.world.run_blocking(self.ballots.open, QUEUE)
        except VoterError as wrong:
            self.log.error("voter_out", why=str(wrong), kind=type(wrong).__name__)
            return
        self.opened = True
        self.seen = {
            number: serial for number, serial in self.ballots.seen.items() if number in self.figures.voters
        }
        if self.ballots.log.recovery_note:
            self.log.warning("voter_file", what=self.ballots.log.recovery_note)
        try:
            yield from self._join()
            self.teller = self.world.current
            yield from self._tell()
        finally:
            self.ballots.close()

    def _join(self) -> Coro[None]:
        said, begun = "", self.world.now()
        while True:
            decision = yield from self._asked()
            if decision.word == "learn":
                self.older = True
                self.log.warning("voter_older", why=str(FileOlder(self.figures.file, decision.why)))
                continue
            if decision.promises is not None:
                self.ballots.seen = dict(self.seen)
                if (
                    yield from self.world.run_blocking(
                        partial(self.ballots.begin, dict(decision.promises), decision.serial), QUEUE
                    )
                ):
                    break
                decision = Decision("wait", str(DiskFailed(self.figures.file, self.ballots.log.error)))
            if decision.why != said and self.world.now() - begun > SECOND:
                said = decision.why
                if decision.word == "lost":
                    self.log.error("voter_waits", why=str(MajorityLost(self.figures.file, said)))
                else:
                    self.log.warning("voter_waits", why=said)
            yield from self.world.sleep(JOIN)
        self.voter.promises = dict(self.ballots.promises)
        if (
            self.older or self.ballots.empty
        ):  # whoever was granted a lease by what is lost has let it run out by then
            self.voter.quiet = self.world.now() + voters_time(self.figures.lease, self.figures.drift)
        self.joined = True
        self.log.info("voter_joins", serial=self.ballots.serial, duties=len(self.voter.promises))

    def _asked(self) -> Coro[Decision]:
        figures, heard = self.figures, dict[int, State]()
        mine = self.state(0)

        def one(number: int) -> Coro[None]:
            """Records come one by one, and only to a voter that has to fill itself."""
            answer = yield from self.posts.send(number, "", "state")
            if answer is None or not answer.yes:
                return
            try:
                state = STATE.decode(answer.body)
                for duty in state.promises if mine.empty else ():
                    part = yield from self.posts.send(number, duty, "state")
                    if part is None or not part.yes:
                        return
                    state.promises[duty] = PROMISE.decode(part.body)
            except msgspec.DecodeError:
                return  # as if none had come
            heard[number] = state

        def body(group: Group) -> Coro[None]:
            yield from ()
            for number in figures.voters:
                if number != figures.number:
                    group.spawn(one(number), f"state {number}")

        yield from self.world.group(body)
        self._hear(
            {
                number: state.serial
                for number, state in heard.items()
                if state.generation == figures.generation
            }
        )
        whole = msgspec.structs.replace(mine, promises=self.ballots.promises)
        return decide(figures.voters, figures.number, figures.generation, whole, heard)

    def _hear(self, serials: dict[int, int]) -> None:
        """A voter's serial is told only once it is on disk, so the highest one heard holds whoever says it, and whatever
        becomes of the call. A voter that has just started refuses leases for a while: without this it would know nothing of
        another's last writes, and let an older copy of that one's file pass if it alone answered."""
        for number in self.figures.voters:
            if number != self.figures.number and serials.get(number, 0) > self.seen.get(number, 0):
                self.seen[number] = serials[number]

    def state(self, asker: int) -> State:
        """Without the records' values: they may be large together."""
        empty = not self.joined and (self.older or self.ballots.empty)
        promises = {
            name: msgspec.structs.replace(one, kept=msgspec.structs.replace(one.kept, value=b""))
            for name, one in self.ballots.promises.items()
        }
        return State(
            self.figures.generation, self.joined, empty, self.ballots.told, self.seen.get(asker, 0), promises
        )

    # Voting.

    def answer(self, call: Call) -> Coro[Answer]:
        """One after the other; what an answer rests on is on disk before it leaves."""
        if call.kind == "state":
            if not self.opened:
                return Answer("not open yet")
            if call.duty:
                return Answer("yes", body=encode_body(self.ballots.promises.get(call.duty, Promise())))
            return Answer("yes", body=encode_body(self.state(call.sender)))
        if not self.joined:
            return Answer("not voting yet")
        yield from self.turns.acquire()
        try:
            answer = self._decided(call)
            if self.voter.dirty and answer.yes and not (yield from self._saved()):
                return Answer("disk")
            if (
                self.seen != self.ballots.seen
            ):  # a failing disk takes no lease away for it; written with what comes next
                yield from self.world.run_blocking(partial(self.ballots.see, dict(self.seen)), QUEUE)
                self._disk()
        finally:
            self.turns.release()
        if call.kind == "lease" and answer.yes:
            return Answer("yes", answer.stamp, encode_body(Given(self.ballots.told)))
        return answer

    def _decided(self, call: Call) -> Answer:
        now, voter = self.world.now(), self.voter
        if call.kind == "read":
            return voter.read(call.duty, call.stamp)
        if call.kind == "write":
            return voter.write(call.duty, call.stamp, KEPT.decode(call.body))
        if call.kind == "release":
            answer = voter.release(now, call.duty, call.stamp)
            self._wake()
            return answer
        asked = LEASE.decode(call.body)
        self._hear(asked.serials)
        if call.kind == "would":
            return voter.would(now, call.duty, call.stamp, asked.ticks)
        answer = voter.grant(now, call.duty, call.stamp, asked.ticks, asked.renewal)
        if answer.yes:
            self.open.pop(call.duty, None)
        return answer

    def _saved(self) -> Coro[bool]:
        wanted = {duty: self.voter.promises[duty] for duty in self.voter.dirty}

        def write() -> bool:
            return all([self.ballots.save(duty, promise) for duty, promise in wanted.items()])

        done = yield from self.world.run_blocking(write, QUEUE)
        if done:
            for duty, promise in wanted.items():
                if self.voter.promises[duty] == promise:
                    self.voter.dirty.pop(duty, None)
        self._disk()
        return done

    def _disk(self) -> None:
        if self.ballots.log.error != self.trouble:
            self.trouble = self.ballots.log.error
            if self.trouble:
                self.log.error("voter_disk", why=str(DiskFailed(self.figures.file, self.trouble)))
            else:
                self.log.info("voter_disk_good")

    # Vacancies.

    def _wake(self) -> None:
        if self.teller is not None:
            self.teller.wake()

    def _tell(self) -> Coro[None]:
        """Whom to call and when is the vacancy's matter."""
        while True:
            now, due = self.world.now(), self.world.now() + SECOND
            for duty, vacancy in self.vacancies.items():
                if not self.voter.vacant(now, duty):
                    running = self.voter.running.get(duty)
                    due = min(due, max(self.voter.quiet, running.until if running is not None else 0))
                    self.open.pop(duty, None)
                    continue
                if duty not in self.open:
                    self.open[duty] = True
                    term = self.voter.promised(duty).stamp.term
                    vacancy.begin(now, owner_of(term) if term else None)
                told = vacancy.next(now)
                if told:
                    self.group.spawn(self._told(duty, vacancy, told), f"vacant {duty}")
                due = min(due, vacancy.due)
            yield from self.world.sleep(max(1, due - self.world.now()))

    def _told(self, duty: str, vacancy: Vacancy, numbers: list[int]) -> Coro[None]:
        """If none of them is there, the next ones are told at once."""
        known, there = self.voter.promised(duty).stamp, list[bool]()

        def one(number: int, place: int) -> Coro[None]:
            yield from self.world.sleep(place * APART)
            if duty in self.open:
                answer = yield from self.posts.send(number, duty, "vacant", known)
                there.append(answer is not None)

        def body(group: Group) -> Coro[None]:
            yield from ()
            for place, number in enumerate(numbers):
                group.spawn(one(number, place), f"vacant {number}")

        yield from self.world.group(body)
        if not any(there) and duty in self.open and vacancy.hurry(self.world.now()):
            self._wake()


__all__ = ["KINDS", "Lease", "Voting"]

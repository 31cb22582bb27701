"""A voter's I/O: its file, how it comes to vote, one call after the other, and telling candidates of a vacancy."""

from functools import partial
from typing import Annotated, Any

import msgspec

from stackpitch.duties.calls import Answer, Call, raw
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.peer_calls import PeerCalls
from stackpitch.duties.ownership.errors import DiskFailed, FileOlder, MajorityLost, VoterError
from stackpitch.duties.ownership.joining import Decision, State, decide
from stackpitch.duties.ownership.lease import voter_lease_duration
from stackpitch.duties.ownership.pacing import JOIN_INTERVAL
from stackpitch.duties.ownership.promise_store import Identity, PromiseStore
from stackpitch.duties.ownership.terms import owner_of
from stackpitch.duties.ownership.vacancy import CANDIDATE_SPACING, VacancyNotifier, candidate_order
from stackpitch.duties.ownership.voting_replica import Promise, VotingReplica
from stackpitch.duties.record.register import Kept
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


LEASE, KEPT, STATE = msgspec.json.Decoder(Lease), msgspec.json.Decoder(Kept), msgspec.json.Decoder(State)
PROMISE = msgspec.json.Decoder(Promise)


class VoterService:
    """`seen`: the highest serial heard of each other voter; as many entries as voters. Kept in the file as well."""

    def __init__(
        self, world: World, group: Group, log: Any, config: DutiesConfig, peer_calls: PeerCalls
    ) -> None:
        self.world, self.group, self.log, self.config, self.peer_calls = world, group, log, config, peer_calls
        self.store = PromiseStore(
            world.files(), config.file, Identity(config.fleet, config.number, config.generation)
        )
        self.voter = VotingReplica(
            config.lease_duration,
            config.max_clock_drift,
            world.now() + voter_lease_duration(config.lease_duration, config.max_clock_drift),
        )
        self.joined = self.opened = False
        self.older = False  # its file turned out to be an older copy
        self.seen: dict[int, int] = {}
        self.turns = Semaphore(world)
        self.vacancies = {
            duty: VacancyNotifier(candidate_order(duty, config.gateways)) for duty in config.names
        }
        self.open: dict[str, bool] = {}  # duties whose vacancy has begun
        self.teller: Task | None = None
        self.trouble = ""

    # Coming to vote.

    def run(self) -> Coro[None]:
        try:
            yield from self.world.run_blocking(self.store.open, QUEUE)
        except VoterError as error:
            self.log.error("voter_out", why=str(error), kind=type(error).__name__)
            return
        self.opened = True
        self.seen = {
            number: serial for number, serial in self.store.seen.items() if number in self.config.voters
        }
        if self.store.log.recovery_note:
            self.log.warning("voter_file", what=self.store.log.recovery_note)
        try:
            yield from self._join()
            self.teller = self.world.current
            yield from self._tell()
        finally:
            self.store.close()

    def _join(self) -> Coro[None]:
        said, begun = "", self.world.now()
        while True:
            decision = yield from self._asked()
            if decision.outcome == "learn":
                self.older = True
                self.log.warning("voter_older", why=str(FileOlder(self.config.file, decision.reason)))
                continue
            if decision.promises is not None:
                self.store.seen = dict(self.seen)
                if (
                    yield from self.world.run_blocking(
                        partial(self.store.initialize, dict(decision.promises), decision.serial), QUEUE
                    )
                ):
                    break
                decision = Decision("wait", str(DiskFailed(self.config.file, self.store.log.error)))
            if decision.reason != said and self.world.now() - begun > SECOND:
                said = decision.reason
                if decision.outcome == "lost":
                    self.log.error("voter_waits", why=str(MajorityLost(self.config.file, said)))
                else:
                    self.log.warning("voter_waits", why=said)
            yield from self.world.sleep(JOIN_INTERVAL)
        self.voter.promises = dict(self.store.promises)
        if (
            self.older or self.store.empty
        ):  # whoever was granted a lease by what is lost has let it run out by then
            self.voter.silent_until = self.world.now() + voter_lease_duration(
                self.config.lease_duration, self.config.max_clock_drift
            )
        self.joined = True
        self.log.info("voter_joins", serial=self.store.serial, duties=len(self.voter.promises))

    def _asked(self) -> Coro[Decision]:
        config, heard = self.config, dict[int, State]()
        mine = self.state(0)

        def one(number: int) -> Coro[None]:
            """Records come one by one, and only to a voter that has to fill itself."""
            answer = yield from self.peer_calls.send(number, "", "state")
            if answer is None or not answer.yes:
                return
            try:
                state = STATE.decode(answer.body)
                for duty in state.promises if mine.empty else ():
                    part = yield from self.peer_calls.send(number, duty, "state")
                    if part is None or not part.yes:
                        return
                    state.promises[duty] = PROMISE.decode(part.body)
            except msgspec.DecodeError:
                return  # as if none had come
            heard[number] = state

        def body(group: Group) -> Coro[None]:
            yield from ()
            for number in config.voters:
                if number != config.number:
                    group.spawn(one(number), f"state {number}")

        yield from self.world.group(body)
        self._hear(
            {number: state.serial for number, state in heard.items() if state.generation == config.generation}
        )
        whole = msgspec.structs.replace(mine, promises=self.store.promises)
        return decide(config.voters, config.number, config.generation, whole, heard)

    def _hear(self, serials: dict[int, int]) -> None:
        """A voter's serial is told only once it is on disk, so the highest one heard holds whoever says it, and whatever
        becomes of the call. A voter that has just started refuses leases for a while: without this it would know nothing of
        another's last writes, and let an older copy of that one's file pass if it alone answered."""
        for number in self.config.voters:
            if number != self.config.number and serials.get(number, 0) > self.seen.get(number, 0):
                self.seen[number] = serials[number]

    def state(self, asker: int) -> State:
        """Without the records' values: they may be large together."""
        empty = not self.joined and (self.older or self.store.empty)
        promises = {
            name: msgspec.structs.replace(one, kept=msgspec.structs.replace(one.kept, value=b""))
            for name, one in self.store.promises.items()
        }
        return State(
            self.config.generation,
            self.joined,
            empty,
            self.store.durable_serial,
            self.seen.get(asker, 0),
            promises,
        )

    # VoterService.

    def answer(self, call: Call) -> Coro[Answer]:
        """One after the other; what an answer rests on is on disk before it leaves."""
        if call.kind == "state":
            if not self.opened:
                return Answer("not open yet")
            if call.duty:
                return Answer("yes", body=raw(self.store.promises.get(call.duty, Promise())))
            return Answer("yes", body=raw(self.state(call.sender)))
        if not self.joined:
            return Answer("not voting yet")
        yield from self.turns.acquire()
        try:
            answer = self._decided(call)
            if self.voter.unsaved and answer.yes and not (yield from self._saved()):
                return Answer("disk")
            if (
                self.seen != self.store.seen
            ):  # a failing disk takes no lease away for it; written with what comes next
                yield from self.world.run_blocking(partial(self.store.save_seen, dict(self.seen)), QUEUE)
                self._disk()
        finally:
            self.turns.release()
        if call.kind == "lease" and answer.yes:
            return Answer("yes", answer.stamp, raw(Given(self.store.durable_serial)))
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
            return voter.pre_vote(now, call.duty, call.stamp, asked.ticks)
        answer = voter.grant(now, call.duty, call.stamp, asked.ticks, asked.renewal)
        if answer.yes:
            self.open.pop(call.duty, None)
        return answer

    def _saved(self) -> Coro[bool]:
        wanted = {duty: self.voter.promises[duty] for duty in self.voter.unsaved}

        def write() -> bool:
            return all([self.store.save(duty, promise) for duty, promise in wanted.items()])

        done = yield from self.world.run_blocking(write, QUEUE)
        if done:
            for duty, promise in wanted.items():
                if self.voter.promises[duty] == promise:
                    self.voter.unsaved.pop(duty, None)
        self._disk()
        return done

    def _disk(self) -> None:
        if self.store.log.error != self.trouble:
            self.trouble = self.store.log.error
            if self.trouble:
                self.log.error("voter_disk", why=str(DiskFailed(self.config.file, self.trouble)))
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
                if not self.voter.is_vacant(now, duty):
                    running = self.voter.leases.get(duty)
                    due = min(due, max(self.voter.silent_until, running.until if running is not None else 0))
                    self.open.pop(duty, None)
                    continue
                if duty not in self.open:
                    self.open[duty] = True
                    term = self.voter.promise_of(duty).stamp.term
                    vacancy.start(now, owner_of(term) if term else None)
                told = vacancy.next_candidates(now)
                if told:
                    self.group.spawn(self._told(duty, vacancy, told), f"vacant {duty}")
                due = min(due, vacancy.due)
            yield from self.world.sleep(max(1, due - self.world.now()))

    def _told(self, duty: str, vacancy: VacancyNotifier, numbers: list[int]) -> Coro[None]:
        """If none of them is there, the next ones are told at once."""
        known, there = self.voter.promise_of(duty).stamp, list[bool]()

        def one(number: int, place: int) -> Coro[None]:
            yield from self.world.sleep(place * CANDIDATE_SPACING)
            if duty in self.open:
                answer = yield from self.peer_calls.send(number, duty, "vacant", known)
                there.append(answer is not None)

        def body(group: Group) -> Coro[None]:
            yield from ()
            for place, number in enumerate(numbers):
                group.spawn(one(number, place), f"vacant {number}")

        yield from self.world.group(body)
        if not any(there) and duty in self.open and vacancy.skip_wait(self.world.now()):
            self._wake()


__all__ = ["KINDS", "Lease", "VoterService"]

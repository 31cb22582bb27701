"""The I/O of a voting replica: its file, joining the quorum, answering calls, notifying candidates."""

from functools import partial
from typing import Annotated, Any

import msgspec

from stackpitch.duties.calls import Answer, Call, encode_body
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.peer_calls import PeerCalls
from stackpitch.duties.ownership.errors import DiskFailed, FileOlder, MajorityLost, VoterError
from stackpitch.duties.ownership.joining import Decision, State, decide
from stackpitch.duties.ownership.lease import voter_lease_duration
from stackpitch.duties.ownership.pacing import JOIN_INTERVAL
from stackpitch.duties.ownership.promise_store import Identity, PromiseStore
from stackpitch.duties.ownership.terms import owner_of
from stackpitch.duties.ownership.vacancy import CANDIDATE_SPACING, VacancyNotifier, candidate_order
from stackpitch.duties.ownership.voter import Promise, VotingReplica
from stackpitch.duties.record.register import RecordValue
from stackpitch.loop import SECOND, Coro, Group, Semaphore, Task, Time, World

# A separate queue of blocking calls, so that votes don't wait behind writes of gigabytes of weights.
QUEUE = "votes"
KINDS = frozenset({"would", "lease", "release", "read", "write"})


class Lease(msgspec.Struct, frozen=True):
    """The body of a `would` or `lease` call.

    `ticks`: the duration of the lease. `renewal`: its number within the term, 0 with a `would`. `serials`:
    the highest serials that the candidate knows of the voting replicas.
    """

    ticks: Annotated[Time, msgspec.Meta(gt=0)]
    renewal: Annotated[int, msgspec.Meta(ge=0)]
    serials: dict[int, Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]] = {}


class Given(msgspec.Struct, frozen=True):
    """The body of a voting replica's yes to a lease: the serial of its writes."""

    serial: int


LEASE, KEPT, STATE = (
    msgspec.json.Decoder(Lease),
    msgspec.json.Decoder(RecordValue),
    msgspec.json.Decoder(State),
)
PROMISE = msgspec.json.Decoder(Promise)


class VoterService:
    """Runs the voting replica of this gateway.

    `seen`: the highest known serial of each other voting replica, at most one entry per replica; also in
    the file.
    """

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
        self.call_lock = Semaphore(world)
        self.vacancies = {
            duty: VacancyNotifier(candidate_order(duty, config.gateways)) for duty in config.names
        }
        self.offered: dict[str, bool] = {}  # duties being offered to candidates; removed once leased
        self.notifier_task: Task | None = None
        self.disk_error = ""

    # Joining.

    def run(self) -> Coro[None]:
        """Opens the file, joins the quorum, then reports vacancies. Returns after logging a VoterError."""
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
            self.notifier_task = self.world.current
            yield from self._notify_candidates()
        finally:
            self.store.close()

    def _join(self) -> Coro[None]:
        logged_reason, started = "", self.world.now()
        while True:
            decision = yield from self._ask_others()
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
            if decision.reason != logged_reason and self.world.now() - started > SECOND:
                logged_reason = decision.reason
                if decision.outcome == "lost":
                    self.log.error("voter_waits", why=str(MajorityLost(self.config.file, logged_reason)))
                else:
                    self.log.warning("voter_waits", why=logged_reason)
            yield from self.world.sleep(JOIN_INTERVAL)
        self.voter.promises = dict(self.store.promises)
        # Any lease granted under lost or older promises has expired once this silence ends.
        if self.older or self.store.empty:
            self.voter.silent_until = self.world.now() + voter_lease_duration(
                self.config.lease_duration, self.config.max_clock_drift
            )
        self.joined = True
        self.log.info("voter_joins", serial=self.store.serial, duties=len(self.voter.promises))

    def _ask_others(self) -> Coro[Decision]:
        config, states = self.config, dict[int, State]()
        own = self.state(0)

        def ask(number: int) -> Coro[None]:
            """Fetches records one by one, and only if this replica has to rebuild its file."""
            answer = yield from self.peer_calls.send(number, "", "state")
            if answer is None or not answer.yes:
                return
            try:
                state = STATE.decode(answer.body)
                for duty in state.promises if own.empty else ():
                    record = yield from self.peer_calls.send(number, duty, "state")
                    if record is None or not record.yes:
                        return
                    state.promises[duty] = PROMISE.decode(record.body)
            except msgspec.DecodeError:
                return  # treated as no answer
            states[number] = state

        def body(group: Group) -> Coro[None]:
            yield from ()
            for number in config.voters:
                if number != config.number:
                    group.spawn(ask(number), f"state {number}")

        yield from self.world.group(body)
        self._record_serials(
            {
                number: state.serial
                for number, state in states.items()
                if state.generation == config.generation
            }
        )
        with_records = msgspec.structs.replace(own, promises=self.store.promises)
        return decide(config.voters, config.number, config.generation, with_records, states)

    def _record_serials(self, serials: dict[int, int]) -> None:
        """Raises the known serials of the other voting replicas.

        A serial is sent only once it is on disk, so the highest one is valid whoever reports it and
        whatever the call's result. A replica refuses leases for a while after its start; without reported
        serials it would know nothing of another's last writes and would accept an older copy of that file
        if it alone answered.
        """
        for number in self.config.voters:
            if number != self.config.number and serials.get(number, 0) > self.seen.get(number, 0):
                self.seen[number] = serials[number]

    def state(self, asker: int) -> State:
        """The state for a joining replica, without the records' values, which may be large in total."""
        empty = not self.joined and (self.older or self.store.empty)
        promises = {
            name: msgspec.structs.replace(promise, kept=msgspec.structs.replace(promise.kept, value=b""))
            for name, promise in self.store.promises.items()
        }
        return State(
            self.config.generation,
            self.joined,
            empty,
            self.store.durable_serial,
            self.seen.get(asker, 0),
            promises,
        )

    # Answering calls.

    def answer(self, call: Call) -> Coro[Answer]:
        """Answers calls one at a time; what an answer depends on is on disk before it is sent."""
        if call.kind == "state":
            if not self.opened:
                return Answer("not open yet")
            if call.duty:
                return Answer("yes", body=encode_body(self.store.promises.get(call.duty, Promise())))
            return Answer("yes", body=encode_body(self.state(call.sender)))
        if not self.joined:
            return Answer("not voting yet")
        yield from self.call_lock.acquire()
        try:
            answer = self._decide(call)
            if self.voter.unsaved and answer.yes and not (yield from self._save()):
                return Answer("disk")
            # A failed write of the serials doesn't refuse the lease; they are written with the next call.
            if self.seen != self.store.seen:
                yield from self.world.run_blocking(partial(self.store.save_seen, dict(self.seen)), QUEUE)
                self._log_disk_state()
        finally:
            self.call_lock.release()
        if call.kind == "lease" and answer.yes:
            return Answer("yes", answer.stamp, encode_body(Given(self.store.durable_serial)))
        return answer

    def _decide(self, call: Call) -> Answer:
        now, voter = self.world.now(), self.voter
        if call.kind == "read":
            return voter.read(call.duty, call.stamp)
        if call.kind == "write":
            return voter.write(call.duty, call.stamp, KEPT.decode(call.body))
        if call.kind == "release":
            answer = voter.release(now, call.duty, call.stamp)
            self._wake_notifier()
            return answer
        request = LEASE.decode(call.body)
        self._record_serials(request.serials)
        if call.kind == "would":
            return voter.pre_vote(now, call.duty, call.stamp, request.ticks)
        answer = voter.grant(now, call.duty, call.stamp, request.ticks, request.renewal)
        if answer.yes:
            self.offered.pop(call.duty, None)
        return answer

    def _save(self) -> Coro[bool]:
        unsaved = {duty: self.voter.promises[duty] for duty in self.voter.unsaved}

        def write() -> bool:
            return all([self.store.save(duty, promise) for duty, promise in unsaved.items()])

        saved = yield from self.world.run_blocking(write, QUEUE)
        if saved:
            for duty, promise in unsaved.items():
                if self.voter.promises[duty] == promise:
                    self.voter.unsaved.pop(duty, None)
        self._log_disk_state()
        return saved

    def _log_disk_state(self) -> None:
        if self.store.log.error != self.disk_error:
            self.disk_error = self.store.log.error
            if self.disk_error:
                self.log.error("voter_disk", why=str(DiskFailed(self.config.file, self.disk_error)))
            else:
                self.log.info("voter_disk_good")

    # Vacancies.

    def _wake_notifier(self) -> None:
        if self.notifier_task is not None:
            self.notifier_task.wake()

    def _notify_candidates(self) -> Coro[None]:
        """Notifies candidates as the duties' `VacancyNotifier`s schedule it."""
        while True:
            now, due = self.world.now(), self.world.now() + SECOND
            for duty, vacancy in self.vacancies.items():
                if not self.voter.is_vacant(now, duty):
                    lease = self.voter.leases.get(duty)
                    due = min(due, max(self.voter.silent_until, lease.until if lease is not None else 0))
                    self.offered.pop(duty, None)
                    continue
                if duty not in self.offered:
                    self.offered[duty] = True
                    term = self.voter.promise_of(duty).stamp.term
                    vacancy.start(now, owner_of(term) if term else None)
                notified = vacancy.next_candidates(now)
                if notified:
                    self.group.spawn(self._notify(duty, vacancy, notified), f"vacant {duty}")
                due = min(due, vacancy.due)
            yield from self.world.sleep(max(1, due - self.world.now()))

    def _notify(self, duty: str, vacancy: VacancyNotifier, numbers: list[int]) -> Coro[None]:
        """Notifies candidates of a vacancy; if none is reachable, the next step is due at once."""
        known, reachable = self.voter.promise_of(duty).stamp, list[bool]()

        def notify(number: int, position: int) -> Coro[None]:
            yield from self.world.sleep(position * CANDIDATE_SPACING)
            if duty in self.offered:
                answer = yield from self.peer_calls.send(number, duty, "vacant", known)
                reachable.append(answer is not None)

        def body(group: Group) -> Coro[None]:
            yield from ()
            for position, number in enumerate(numbers):
                group.spawn(notify(number, position), f"vacant {number}")

        yield from self.world.group(body)
        if not any(reachable) and duty in self.offered and vacancy.skip_wait(self.world.now()):
            self._wake_notifier()


__all__ = ["KINDS", "Lease", "VoterService"]

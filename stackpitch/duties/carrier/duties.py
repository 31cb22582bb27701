"""A gateway's coordinated tasks ("duties"): receiver, voting replica, lease managers and works."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from stackpitch.duties.calls import MAX_MESSAGE_BYTES, Answer
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.learning import learn
from stackpitch.duties.carrier.lease_manager import LeaseManager
from stackpitch.duties.carrier.peer_calls import PeerCalls
from stackpitch.duties.carrier.receiver import CallReceiver
from stackpitch.duties.carrier.voter_service import VoterService
from stackpitch.duties.ownership.fence import Fence
from stackpitch.duties.work import Work
from stackpitch.loop import MS, Coro, Group, World


class Duties:
    """Runs a gateway's duties; implements `work.DutyHost` for their works.

    `works`: this gateway's works by name. A duty without one is still owned by some gateway, with an empty
    record.
    """

    LARGEST = MAX_MESSAGE_BYTES

    def __init__(self, world: World, log: Any, config: DutiesConfig, works: Iterable[Work] = ()) -> None:
        self.world, self.log, self.config = world, log, config
        self.number, self.gateways = config.number, config.gateways
        self.fence = Fence()
        self.works = {work.name: work for work in works}
        self.receiver = CallReceiver(log, config, self.fence, self.works)
        self.peer_calls = PeerCalls(world, config, self.receiver.handle)

    def add(self, work: Work) -> None:
        """Adds a work. To be called before `run`."""
        self.works[work.name] = work

    def run(self) -> Coro[None]:
        """Runs as long as the gateway does. An unexpected error ends the duties but not the gateway."""
        try:
            yield from self.world.group(self._body)
        except Exception as error:
            self.log.exception(
                "duties_broke",
                why=str(error),
                meaning="the gateway serves requests without duties until restarted",
            )

    def _body(self, group: Group) -> Coro[None]:
        yield from ()
        config, start = self.config, self.world.unique_id()
        for duty in config.names:
            self.receiver.lease_managers[duty] = LeaseManager(
                self.world,
                group,
                self.log,
                config,
                duty,
                start,
                self.peer_calls,
                self.fence,
                self.works.get(duty),
            )
        if config.number in config.voters:
            self.receiver.voter_service = VoterService(self.world, group, self.log, config, self.peer_calls)
            group.spawn(self.receiver.voter_service.run(), "voter")
        group.spawn(learn(self.world, config, self.peer_calls, self.receiver), "learn")
        for name, work in self.works.items():
            group.spawn(work.serve(), name)

    def leave(self) -> Coro[None]:
        """Releases all leases; returns once the releases were sent, at the latest after `call_timeout`."""
        active = [
            manager for manager in self.receiver.lease_managers.values() if manager.candidate.stage != "idle"
        ]
        for manager in self.receiver.lease_managers.values():
            manager.leave()
        if active:
            with self.world.limit(self.config.call_timeout):
                while self.peer_calls.slots.in_use or any(manager.scope is not None for manager in active):
                    yield from self.world.sleep(5 * MS)

    def handle_request(self, body: bytes) -> Coro[tuple[int, bytes]]:
        """Handles `POST /duty`; returns the status and the body of the response."""
        return (yield from self.receiver.handle_request(body))

    def counts(self) -> Counter[tuple[str, str]]:
        """Calls by kind and result; dropped ones by reason."""
        return self.peer_calls.counts + Counter(
            {("dropped", reason): count for reason, count in self.receiver.dropped.items()}
        )

    # The methods of `work.Ground`.

    def owner(self, duty: str) -> int | None:
        """The last known owner of the duty; may be out of date."""
        return self.receiver.owners.get(duty)

    def ask(self, number: int, duty: str, kind: str, body: Any) -> Coro[Answer | None]:
        """Sends a call without a term, such as a report; None if no answer came in time."""
        return (yield from self.peer_calls.send(number, duty, kind, body=body))

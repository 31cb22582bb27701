"""Breaks of what keeps owners apart, or brings one about."""

from stackpitch.durable.log import Log
from stackpitch.duties.calls import Answer, Call, Stamp
from stackpitch.duties.carrier import voter_service
from stackpitch.duties.carrier.lease_manager import LeaseManager
from stackpitch.duties.ownership.candidate import Candidate
from stackpitch.duties.ownership.fence import Fence
from stackpitch.duties.ownership.joining import Decision, State
from stackpitch.duties.ownership.voter import VotingReplica
from stackpitch.loop import Time


def fenceless() -> None:
    """Receivers take every effect, whatever its term."""

    def all_of_them(self: Fence, duty: str, stamp: Stamp) -> bool:
        return True

    Fence.admits = all_of_them  # type: ignore[method-assign]


def leaseless() -> None:
    """An owner doesn't look at its lease: it is one until somebody tells it otherwise."""

    def always(self: Candidate, now: Time) -> bool:
        return self.stage == "owner"

    Candidate.holds_lease = always  # type: ignore[method-assign]


def forgetful() -> None:
    """Voters forget at once to whom they granted a lease."""

    def free(self: VotingReplica, now: Time, duty: str, stamp: Stamp) -> Time:
        return 0

    def vacant(self: VotingReplica, now: Time, duty: str) -> bool:
        return True

    VotingReplica.lease_remaining, VotingReplica.is_vacant = free, vacant  # type: ignore[method-assign]


def hasty() -> None:
    """A voter that starts votes at once by what its file holds, however little that is."""

    def at_once(
        voters: tuple[int, ...], own_number: int, generation: int, own: State, answers: dict[int, State]
    ) -> Decision:
        return Decision("vote", promises=own.promises)

    voter_service.decide = at_once  # type: ignore[attr-defined]
    restless()


def restless() -> None:
    """A voter that starts doesn't keep quiet for as long as a lease may run that it granted before."""

    def no_time(lease: Time, drift: float) -> Time:
        return 0

    voter_service.voter_lease_duration = no_time  # type: ignore[attr-defined]


def unsynced() -> None:
    """A voter answers before its word is on disk."""
    add = Log.add

    def unsure(self: Log, body: bytes, sync: bool = True) -> bool:
        return add(self, body, False)

    Log.add = unsure  # type: ignore[method-assign]


def ownerless() -> None:
    """Nobody takes a duty that is vacant."""

    def no(self: LeaseManager, call: Call) -> Answer:
        return Answer("not now")

    LeaseManager.on_vacancy = no  # type: ignore[method-assign]

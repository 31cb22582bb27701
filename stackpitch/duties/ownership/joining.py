"""When a voting replica may vote after a start. Its file alone doesn't show that it is complete and current.

A replica with a file asks the others whether they know of later writes than the file holds. It needs as
many answers as make a majority with itself; with fewer reachable its vote couldn't decide anything anyway.
A replica without a file, or with an older copy, learns from a majority of the others. Replicas that all
have no file start a new fleet together, only once every one of them has answered. A new generation starts
the same way, from what the previous one's files still hold.
"""

from dataclasses import dataclass

import msgspec

from stackpitch.duties.ownership.rounds import majority
from stackpitch.duties.ownership.terms import generation_of
from stackpitch.duties.ownership.voter import Promise
from stackpitch.duties.record.register import newest

# Serials of a rebuilt file start this far above the highest that the others know of the lost file. From 0 the
# rebuilt file would be taken for an older copy at each start, and a copy of the lost file for the newer one.
SERIAL_GAP = 1 << 20


class State(msgspec.Struct, frozen=True):
    """What a voting replica sends to one that is joining.

    `serial`: its writes that are on disk. `seen`: the highest serial that it knows of the asking replica.
    `promises` come without the records' values; those are requested duty by duty.
    """

    generation: int
    joined: bool
    empty: bool  # it has no file of this generation
    serial: int
    seen: int
    promises: dict[str, Promise] = {}


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a joining replica may vote, and why.

    `outcome`: "vote" (from `promises`), "learn" (the file is an older copy), "lost" (an operator has to
    decide), or "wait".
    """

    outcome: str
    reason: str = ""
    promises: dict[str, Promise] | None = None
    serial: int = 0  # from which a rebuilt file continues


def merge_promises(promise_sets: list[dict[str, Promise]]) -> dict[str, Promise]:
    """The highest promise and the newest record of each duty."""
    duties = sorted({duty for promises in promise_sets for duty in promises})
    return {
        duty: Promise(
            max(
                (promises[duty].stamp for promises in promise_sets if duty in promises),
                key=lambda stamp: (stamp.term, stamp.start),
            ),
            newest([promises[duty].kept for promises in promise_sets if duty in promises]),
        )
        for duty in duties
    }


def has_granted_nothing(state: State) -> bool:
    """Whether the replica has granted no lease in this generation, so no majority included its vote."""
    return state.empty or not any(
        generation_of(promise.stamp.term) >= state.generation for promise in state.promises.values()
    )


def decide(
    voters: tuple[int, ...], own_number: int, generation: int, own: State, answers: dict[int, State]
) -> Decision:
    """What the joining replica `own_number` does next.

    `answers`: the other replicas' answers so far, by number; those of another generation don't count.
    """
    others = {
        number: state
        for number, state in answers.items()
        if number != own_number and number in voters and state.generation == generation
    }
    quorum, known_serial = majority(len(voters)), max((state.seen for state in others.values()), default=0)
    if not own.empty:
        if known_serial > own.serial:
            return Decision("learn", f"others heard {known_serial} writes of it, it holds {own.serial}")
        if len(others) >= quorum - 1:
            return Decision("vote", promises=own.promises)
        return Decision("wait", f"{len(others)} of {quorum - 1} other voters answered")
    joined = [state.promises for state in others.values() if state.joined]
    if len(joined) >= quorum:
        return Decision("vote", promises=merge_promises(joined), serial=known_serial + SERIAL_GAP)
    if len(others) == len(voters) - 1 and all(has_granted_nothing(state) for state in others.values()):
        return Decision(
            "vote",
            promises=merge_promises([own.promises, *(state.promises for state in others.values())]),
            serial=known_serial + SERIAL_GAP if known_serial else 0,
        )
    if len(others) == len(voters) - 1 and sum(other.empty for other in others.values()) + 1 >= quorum:
        return Decision(
            "lost",
            f"{sum(other.empty for other in others.values()) + 1} of {len(voters)} voters have no file",
        )
    return Decision("wait", f"{len(joined)} of {quorum} other joined voters answered")

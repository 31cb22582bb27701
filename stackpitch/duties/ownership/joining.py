"""How a voter that starts comes to vote: its file alone doesn't tell that it is whole and the newest.

A voter with a file asks the others whether they have seen a later word of it than the file holds; it needs as many answers
as would make a majority with itself, without which its vote is worth nothing anyway. One with no file, or an older one,
learns from a majority of voters other than itself. All without a file found the fleet together, and only if every one is
there; so does a new generation, from what the files of the one before still hold.
"""

from dataclasses import dataclass

import msgspec

from stackpitch.duties.ownership.rounds import majority
from stackpitch.duties.ownership.terms import generation_of
from stackpitch.duties.ownership.voting_replica import Promise
from stackpitch.duties.record.register import newest

# A file that is filled anew counts on from so far above what others heard of the one before it. From 0 it would be taken for
# an older copy at each start, and a copy of the one before it for the newer.
SERIAL_GAP = 1 << 20


class State(msgspec.Struct, frozen=True):
    """What a voter tells one that starts. `serial`: how many writes of it are on disk. `seen`: the highest serial of the one
    that asks that it has heard of. `promises` without values unless `whole` was asked for."""

    generation: int
    joined: bool
    empty: bool  # it has no file of this generation
    serial: int
    seen: int
    promises: dict[str, Promise] = {}


@dataclass(frozen=True, slots=True)
class Decision:
    """`word`: "vote" (with the promises to begin from), "learn" (the file is older), "lost" (an operator's word is wanted),
    or "wait"; and why."""

    outcome: str
    reason: str = ""
    promises: dict[str, Promise] | None = None
    serial: int = 0  # from which a file that is filled anew counts on


def merge_promises(promise_sets: list[dict[str, Promise]]) -> dict[str, Promise]:
    """Of each duty the highest promise and the newest record."""
    duties = sorted({duty for one in promise_sets for duty in one})
    return {
        duty: Promise(
            max(
                (one[duty].stamp for one in promise_sets if duty in one),
                key=lambda stamp: (stamp.term, stamp.start),
            ),
            newest([one[duty].kept for one in promise_sets if duty in one]),
        )
        for duty in duties
    }


def has_granted_nothing(state: State) -> bool:
    """Has voted for nobody yet in its life or generation, so that nobody can have been granted anything with its vote."""
    return state.empty or not any(
        generation_of(one.stamp.term) >= state.generation for one in state.promises.values()
    )


def decide(
    voters: tuple[int, ...], own_number: int, generation: int, own: State, answers: dict[int, State]
) -> Decision:
    """`heard`: the other voters' answers so far, by number; those of another generation don't count."""
    others = {
        number: state
        for number, state in answers.items()
        if number != own_number and number in voters and state.generation == generation
    }
    needed, known = majority(len(voters)), max((state.seen for state in others.values()), default=0)
    if not own.empty:
        if known > own.serial:
            return Decision("learn", f"others heard {known} writes of it, it holds {own.serial}")
        if len(others) >= needed - 1:
            return Decision("vote", promises=own.promises)
        return Decision("wait", f"{len(others)} of {needed - 1} other voters answered")
    joined = [state.promises for state in others.values() if state.joined]
    if len(joined) >= needed:
        return Decision("vote", promises=merge_promises(joined), serial=known + SERIAL_GAP)
    if len(others) == len(voters) - 1 and all(has_granted_nothing(state) for state in others.values()):
        return Decision(
            "vote",
            promises=merge_promises([own.promises, *(state.promises for state in others.values())]),
            serial=known + SERIAL_GAP if known else 0,
        )
    if len(others) == len(voters) - 1 and sum(one.empty for one in others.values()) + 1 >= needed:
        return Decision(
            "lost", f"{sum(one.empty for one in others.values()) + 1} of {len(voters)} voters have no file"
        )
    return Decision("wait", f"{len(joined)} of {needed} other voters that vote answered")

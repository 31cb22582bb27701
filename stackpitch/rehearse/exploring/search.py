"""All steps from a state, and the search over all states."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from stackpitch.duties.ownership import terms
from stackpitch.duties.ownership.fence import Fence
from stackpitch.loop import SECOND, RealWorld
from stackpitch.rehearse.exploring import runners, voters
from stackpitch.rehearse.exploring.runners import Breach
from stackpitch.rehearse.exploring.state import NONE, Runner, Seat, State, aged, canonical, older, stamp

BUGS = (
    "no sync",
    "forgets",
    "late lease",
    "no look",
    "no fence",
    "hasty",
    "no write-back",
    "late writes",
    "anyone releases",
    "learns from one",
    "disturbs",
)


@dataclass(frozen=True, slots=True)
class Size:
    voters: int = 3
    candidates: int = 2
    campaigns: int = 1  # of each candidate
    renewals: int = 0
    acts: int = 1
    restarts: int = 1
    losses: int = 0

    def first(self) -> State:
        runner = Runner(left=self.campaigns, renewals=self.renewals, acts=self.acts)
        return State(
            (Seat(),) * self.voters, (runner,) * self.candidates, restarts=self.restarts, losses=self.losses
        )


@dataclass(slots=True)
class Outcome:
    states: int
    depth: int
    seconds: float
    story: list[str] | None  # of the first breach; None: there is none
    whole: bool  # nothing was left unexplored


def swapped(state: State, voter: int, seat: Seat) -> State:
    return state._replace(seats=(*state.seats[:voter], seat, *state.seats[voter + 1 :]))


def holds(runner: Runner, bugs: frozenset[str]) -> bool:
    """The look before each act."""
    return runner.stage == "owner" and (runner.until > 0 or "no look" in bugs)


def tick(state: State) -> State:
    return state._replace(seats=tuple(map(aged, state.seats)), runners=tuple(map(older, state.runners)))


def steps(state: State, bugs: frozenset[str]) -> Iterator[tuple[str, State]]:
    """Whatever may happen next, in the words of the logs. Raises Breach."""
    yield "time passes", tick(state)
    yield from _voters(state, bugs)
    yield from _candidates(state, bugs)
    for told in state.effects:
        fence = Fence()
        fence.highest["d"] = stamp(state.fence)
        if "no fence" in bugs or fence.admits("d", stamp(told)):
            if told[0] < state.fence[0]:
                raise Breach(
                    f"an effect under term {terms.format_term(told[0])} was taken after {terms.format_term(state.fence[0])}"
                )
            yield f"effect under {terms.format_term(told[0])} is taken", state._replace(fence=told)


def _voters(state: State, bugs: frozenset[str]) -> Iterator[tuple[str, State]]:
    for voter, seat in enumerate(state.seats):
        if seat.word == "votes":
            for ask in state.asks:
                got = voters.gets(seat, ask, bugs)
                if got != seat:
                    yield (
                        f"voter {voter} gets {ask.kind} of candidate {ask.candidate} under {terms.format_term(ask.stamp[0])}",
                        swapped(state, voter, got),
                    )
            if state.restarts:
                again = swapped(state, voter, voters.restarts(seat, bugs))
                yield f"voter {voter} restarts", again._replace(restarts=state.restarts - 1)
            if state.losses:
                without = swapped(state, voter, voters.loses(seat))
                yield f"voter {voter} loses its file", without._replace(losses=state.losses - 1)
        elif seat.word == "lost":
            others = [one for place, one in enumerate(state.seats) if place != voter and one.word == "votes"]
            if len(others) == len(state.seats) - 1:
                yield (
                    f"voter {voter} learns from the others",
                    swapped(state, voter, voters.learns(seat, others, bugs)),
                )
        else:
            yield f"voter {voter} votes again", swapped(state, voter, voters.joins(seat, bugs))
        for said in seat.answers:
            after = runners.hears(state, said.candidate, voter, said, bugs)
            if after != state:
                yield f"candidate {said.candidate} hears yes from voter {voter} (round {said.round})", after


def _candidates(state: State, bugs: frozenset[str]) -> Iterator[tuple[str, State]]:
    for number, runner in enumerate(state.runners):
        if runner.stage == "idle":
            if runner.left:
                for known in sorted({seat.promise.stamp[0] for seat in state.seats}):
                    yield (
                        f"candidate {number} campaigns, knowing {terms.format_term(known)}",
                        runners.campaigns(state, number, known),
                    )
            continue
        yield f"candidate {number} lets go", runners.leaves(state, number)
        if runner.left:
            yield f"candidate {number} dies and starts anew", runners.dies(state, number)
        if not holds(runner, bugs):
            continue
        if runner.renewals:
            yield f"candidate {number} renews", runners.renews(state, number)
        if runner.phase == "ready":
            if runner.stamp not in state.effects:
                yield (
                    f"candidate {number} sends an effect",
                    state._replace(effects=state.effects | {runner.stamp}),
                )
            if runner.acts:
                yield f"candidate {number} writes", runners.writes(state, number)


def check(state: State, bugs: frozenset[str]) -> None:
    """Raises Breach."""
    owners = [
        number for number, runner in enumerate(state.runners) if runner.stage == "owner" and runner.until > 0
    ]
    if len(owners) > 1:
        raise Breach(f"candidates {owners} hold a lease at one time")
    stamps = [runner.stamp for runner in state.runners if runner.stage == "owner" and runner.stamp != NONE]
    if len({one[0] for one in stamps}) < len(stamps):
        raise Breach("one term has two owners")


def explore(
    size: Size, bugs: frozenset[str] = frozenset(), most: int = 5_000_000, seconds: float = 3600
) -> Outcome:
    """Breadth first, so that a breach is met by its shortest story."""
    clock = RealWorld().now
    begun, first = clock(), canonical(size.first(), bugs)
    came: dict[State, tuple[State, str] | None] = {first: None}
    front, depth = deque([(first, 0)]), 0
    while front:
        state, depth = front.popleft()
        if len(came) > most or (clock() - begun) / SECOND > seconds:
            return Outcome(len(came), depth, (clock() - begun) / SECOND, None, False)
        said = ""
        try:
            for said, after in steps(state, bugs):
                after = canonical(after, bugs)
                if after not in came:
                    came[after] = state, said
                    check(after, bugs)
                    front.append((after, depth + 1))
        except Breach as wrong:
            return Outcome(
                len(came),
                depth + 1,
                (clock() - begun) / SECOND,
                [*_story(came, state), said, str(wrong)],
                True,
            )
    return Outcome(len(came), depth, (clock() - begun) / SECOND, None, True)


def _story(came: dict[State, tuple[State, str] | None], state: State) -> list[str]:
    found: list[str] = []
    while (step := came[state]) is not None:
        state, said = step
        found.append(said)
    return found[::-1]

"""One state of the small world. Times are relative to now; states that differ in voters' names alone are one.

All that belongs to one voter lies in its `Seat`, answers on their way from it and those that candidates have counted too, so
that sorting the seats is all that symmetry needs.
"""

from functools import cache
from typing import NamedTuple

from stackpitch.duties.calls import Stamp
from stackpitch.duties.ownership.voter import Promise

LEASE = 3  # of an owner, in ticks; a voter keeps it for `voter_lease_duration`, 6
STEP = 3  # by which time passes: an owner's lease is over after one, a voter's after two
NOW = 1000  # where each step of the real modules is played
NONE = (0, 0)  # no stamp


class Paper(NamedTuple):
    """A promise: stamp, and the record's stamp, version and value."""

    stamp: tuple[int, int] = NONE
    kept: tuple[int, int] = NONE
    version: int = 0
    value: int = 0


class Said(NamedTuple):
    """A voter's yes that is on its way, to a candidate's round. `paper`: of a read."""

    candidate: int
    round: int
    paper: Paper = Paper()


class Seat(NamedTuple):
    """A voter. `running`: stamp and time left of the lease that it gave. `heard`: how far a term's renewals came.
    `word`: "votes", "lost" or "learned"."""

    word: str = "votes"
    promise: Paper = Paper()
    disk: Paper = Paper()
    running: tuple[tuple[int, int], int] | None = None
    heard: tuple[tuple[int, int], int, bool] = (NONE, 0, False)  # stamp, which renewal, whether released
    quiet: int = 0
    answers: frozenset[Said] = frozenset()
    counted: frozenset[Said] = frozenset()


class Ask(NamedTuple):
    """A request to all voters; any of them may get it at any time from now on, again and again."""

    kind: str
    candidate: int
    round: int
    stamp: tuple[int, int]
    paper: Paper = Paper()


class Runner(NamedTuple):
    """A candidate. `rounds`: number, kind and age of those whose answers still count; `phase` of its record: "", "read",
    "back", "ready", "more"; `found`: what it has read."""

    stage: str = "idle"
    stamp: tuple[int, int] = NONE
    until: int = 0
    left: int = 1  # campaigns
    renewals: int = 1
    acts: int = 1
    start: int = 1
    rounds: tuple[tuple[int, str, int], ...] = ()
    phase: str = ""
    found: Paper = Paper()


class State(NamedTuple):
    seats: tuple[Seat, ...]
    runners: tuple[Runner, ...]
    asks: frozenset[Ask] = frozenset()
    effects: frozenset[tuple[int, int]] = frozenset()  # sent to the receiver, to come at any time
    fence: tuple[int, int] = NONE  # of the receiver
    committed: int = 0  # the highest value that a majority has acknowledged, or that an owner acted on
    restarts: int = 1  # of voters that are left
    losses: int = 0  # of voters' files that are left


@cache
def place(seat: Seat) -> str:
    return repr(seat)


def canonical(state: State, bugs: frozenset[str]) -> State:
    """One for all that can't be told apart by what may still happen: voters in one order; owners whose lease is over are no
    owners; answers to rounds that are over, requests that every voter turns down and effects that are shut out are gone."""
    late = "late lease" in bugs or "no look" in bugs
    runners = tuple(one if late else _over(one) for one in state.runners)
    open_ones = {(number, which) for number, one in enumerate(runners) for which, _, _ in one.rounds}
    seats = [_heard(seat, frozenset(open_ones)) for seat in state.seats]
    asks, effects = state.asks, state.effects
    if not bugs and not state.losses and all(seat.word == "votes" for seat in seats):
        least = min(seat.promise.stamp for seat in seats)
        asks = frozenset(one for one in asks if one.stamp >= least)
        effects = frozenset(one for one in effects if one > state.fence)
    return state._replace(seats=tuple(sorted(seats, key=place)), runners=runners, asks=asks, effects=effects)


@cache
def aged(seat: Seat) -> Seat:
    running = (
        None if seat.running is None or seat.running[1] <= STEP else (seat.running[0], seat.running[1] - STEP)
    )
    return seat._replace(quiet=max(0, seat.quiet - STEP), running=running)


@cache
def older(runner: Runner) -> Runner:
    return runner._replace(
        until=max(0, runner.until - STEP),
        rounds=tuple((which, kind, min(LEASE, age + STEP)) for which, kind, age in runner.rounds),
    )


@cache
def _over(runner: Runner) -> Runner:
    if runner.stage == "lease" and all(age >= LEASE for _, _, age in runner.rounds):
        return runner._replace(stage="idle", rounds=(), phase="", found=Paper())
    if runner.stage == "owner" and not runner.until:
        return runner._replace(stage="idle", rounds=(), phase="", found=Paper())
    rounds = tuple(one for one in runner.rounds if one[1] != "lease" or one[2] < LEASE)
    return runner if rounds == runner.rounds else runner._replace(rounds=rounds)


@cache
def _heard(seat: Seat, open_ones: frozenset[tuple[int, int]]) -> Seat:
    answers = frozenset(one for one in seat.answers - seat.counted if (one.candidate, one.round) in open_ones)
    counted = frozenset(one for one in seat.counted if (one.candidate, one.round) in open_ones)
    return (
        seat
        if (answers, counted) == (seat.answers, seat.counted)
        else seat._replace(answers=answers, counted=counted)
    )


def stamp(told: tuple[int, int]) -> Stamp:
    return Stamp(*told)


def paper(promise: Promise) -> Paper:
    kept = promise.kept
    return Paper(
        (promise.stamp.term, promise.stamp.start),
        (kept.stamp.term, kept.stamp.start),
        kept.version,
        int(kept.value or b"0"),
    )

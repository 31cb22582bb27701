"""A candidate's steps, by the real `Candidate` and `RecordClient`."""

from functools import cache

from stackpitch.duties.calls import Answer, encode_body
from stackpitch.duties.ownership.candidate import Candidate
from stackpitch.duties.ownership.rounds import Round
from stackpitch.duties.record.client import RecordClient
from stackpitch.rehearse.exploring.state import LEASE, NOW, Ask, Paper, Runner, Said, State, stamp
from stackpitch.rehearse.exploring.voters import DUTY, kept


class Breach(Exception):
    """An invariant that does not hold."""


def real(state: State, number: int) -> Candidate:
    runner = state.runners[number]
    voters = tuple(range(len(state.seats)))
    made = Candidate(number, runner.start, 0, voters, LEASE)
    made.stage, made.stamp, made.lease_until = runner.stage, stamp(runner.stamp), NOW + runner.until
    made.highest_term = runner.stamp[0]
    return made


def round_of(state: State, number: int, which: int, kind: str, age: int) -> Round:
    """With the answers that it has counted."""
    made = Round(kind, stamp(state.runners[number].stamp), NOW - age, tuple(range(len(state.seats))))
    for voter, seat in enumerate(state.seats):
        for said in seat.counted:
            if (said.candidate, said.round) == (number, which):
                made.record(voter, yes(said))
    return made


@cache
def yes(said: Said) -> Answer:
    return Answer("yes", body=encode_body(kept(said.paper)))


def put(state: State, number: int, runner: Runner) -> State:
    return state._replace(runners=(*state.runners[:number], runner, *state.runners[number + 1 :]))


def asks(state: State, number: int, kind: str, told: Paper = Paper()) -> State:  # noqa: B008
    """A new round; its calls are on their way."""
    runner = state.runners[number]
    which = 1 + max((one.round for one in state.asks if one.candidate == number), default=0)
    state = put(state, number, runner._replace(rounds=(*runner.rounds, (which, kind, 0))))
    return state._replace(asks=state.asks | {Ask(kind, number, which, runner.stamp, told)})


def campaigns(state: State, number: int, known: int) -> State:
    """Told by a voter of the duty's vacancy. The pre-vote is taken as won: that may only add to what can happen."""
    candidate, runner = real(state, number), state.runners[number]
    candidate.highest_term = max(candidate.highest_term, known)
    asked = candidate.campaign(NOW)
    assert asked is not None
    for voter in asked.voters:
        then = candidate.record_answer(NOW, asked, voter, Answer("yes"))
        if then is not None:
            break
    state = put(
        state,
        number,
        runner._replace(
            stage=candidate.stage,
            stamp=(candidate.stamp.term, candidate.stamp.start),
            left=runner.left - 1,
            rounds=(),
            phase="",
            found=Paper(),
        ),
    )
    return asks(state, number, "lease")


def renews(state: State, number: int) -> State:
    runner = state.runners[number]
    return asks(put(state, number, runner._replace(renewals=runner.renewals - 1)), number, "lease")


def leaves(state: State, number: int) -> State:
    candidate, runner = real(state, number), state.runners[number]
    candidate.step_down(NOW, "")
    state = asks(state, number, "release")
    return put(state, number, runner._replace(stage=candidate.stage, until=0, rounds=(), phase=""))


def dies(state: State, number: int) -> State:
    runner = state.runners[number]
    return put(
        state,
        number,
        Runner(left=runner.left, renewals=runner.renewals, acts=runner.acts, start=runner.start + 10),
    )


def hears(state: State, number: int, voter: int, said: Said, bugs: frozenset[str]) -> State:
    """An answer arrives. Of rounds that are over it changes nothing."""
    seat, runner = state.seats[voter], state.runners[number]
    found = next((one for one in runner.rounds if one[0] == said.round), None)
    if found is None:
        return state
    which, kind, age = found
    asked = round_of(state, number, which, kind, age)
    if voter in asked.yes:
        return state
    before = asked.won
    state = state._replace(
        seats=(*state.seats[:voter], seat._replace(counted=seat.counted | {said}), *state.seats[voter + 1 :])
    )
    if kind == "lease":
        candidate = real(state, number)
        if candidate.stage == "lease":
            candidate.pending_round = asked
        if "late lease" in bugs:
            asked.started = NOW
        candidate.record_answer(NOW, asked, voter, yes(said))
        runner = runner._replace(stage=candidate.stage, until=max(0, candidate.lease_until - NOW))
        if candidate.stage == "owner" and state.runners[number].stage != "owner":
            return asks(put(state, number, runner._replace(phase="read")), number, "read")
        return put(state, number, runner)
    asked.record(voter, yes(said))
    if not asked.won or before:
        return state
    return _read(state, number, asked, bugs) if kind == "read" else _written(state, number, which)


def _read(state: State, number: int, asked: Round, bugs: frozenset[str]) -> State:
    """A majority has told: the newest is written back under our term before anything is done by it."""
    runner = state.runners[number]
    runner = runner._replace(rounds=tuple(one for one in runner.rounds if one[1] != "read"))
    keeping = RecordClient(DUTY, stamp(runner.stamp), asked.voters)
    keeping.finish_read(asked)
    wanted = keeping.pending
    assert wanted is not None
    value = int(wanted.value or b"0")
    told = Paper(kept=runner.stamp, version=wanted.version, value=value)
    state = put(state, number, runner._replace(phase="back", found=told))
    if "no write-back" in bugs:
        return ready(state, number)
    return asks(state, number, "write", told)


def ready(state: State, number: int) -> State:
    runner = state.runners[number]
    if runner.found.value < state.committed:
        raise Breach(
            f"a record that a majority had was lost: {state.committed}; {number} goes on from {runner.found.value}"
        )
    return put(state, number, runner._replace(phase="ready"))._replace(
        committed=max(state.committed, runner.found.value)
    )


def _written(state: State, number: int, which: int) -> State:
    runner = state.runners[number]
    runner = runner._replace(rounds=tuple(one for one in runner.rounds if one[0] != which))
    state = put(state, number, runner)
    if runner.phase == "back":
        return ready(state, number)
    if runner.phase == "more":
        state = state._replace(committed=max(state.committed, runner.found.value))
        return put(state, number, runner._replace(phase="ready"))
    return state


def writes(state: State, number: int) -> State:
    """One more than before."""
    runner = state.runners[number]
    told = Paper(kept=runner.stamp, version=runner.found.version + 1, value=runner.found.value + 1)
    state = put(state, number, runner._replace(phase="more", found=told, acts=runner.acts - 1))
    return asks(state, number, "write", told)

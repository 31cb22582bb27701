"""What the soak's oracle grants where no worker took anything as a release was due."""

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from soak.oracle import answers, held
from soak.oracle.seen import Seen
from soak.plan import Trouble
from soak.pressure import UNBOUNDED
from soak.records import Attempt, Pause, Record, Release, Request, Told
from soak.troubles.workers import WorkerTroubles


@pytest.mark.parametrize("told_at, ran", [(None, 9.0), (6.0, 6.5), (8.0, 9.0)])
def test_a_worker_that_joined_runs_for_a_gateway_that_was_told_of_it(
    told_at: float | None, ran: float
) -> None:
    record = Record({"classes": []}, joined={"w9"})
    record.releases = [Release("a", "w9", 6.5), Release("a", "w1", 9.0), Release("a", "w1", 4.0)]
    record.told_up = [Told("g1", "w9", told_at)] if told_at is not None else []
    assert Seen(record).first_take("g1", 5.0) == ran


@pytest.mark.parametrize("told_again, ran", [(None, 9.0), (6.2, 6.5)])
def test_a_process_that_was_replaced_knows_of_a_worker_once_it_was_told_itself(
    told_again: float | None, ran: float
) -> None:
    record = Record({"classes": []}, joined={"w9"})
    record.releases = [Release("a", "w9", 6.5), Release("a", "w1", 9.0)]
    record.told_up = [Told("g1", "w9", 3.0)]
    record.pauses = [Pause("g1", 4.0, 4.5, replaced=True)]
    if told_again is not None:
        record.told_up.append(Told("g1", "w9", told_again))
    assert Seen(record).first_take("g1", 5.0) == ran


@pytest.mark.parametrize("taken_at, broken", [(4.5, False), (6.2, True)])
def test_workers_that_ran_while_the_gateway_did_not_are_no_reason_to_be_late(
    taken_at: float, broken: bool
) -> None:
    """A state left at 3 s is due at 3.8; the gateway is stopped from 3.1 to 5.6 s, so that it is due at 6.3."""
    record = Record({"classes": [], "extra": {"releaseMs": 500}})
    record.requests = [
        Request("a", "order", "g1", 9.0, sent=2.0),
        Request("z", "order", "g1", 9.0, sent=30.0),
    ]
    record.attempts = [
        Attempt("r1", "reader", 2.0, 2.0, 2.0, "a", "g1", ended=3.0, outcome="read", state_since=3.0)
    ]
    record.pauses = [Pause("g1", 3.1, 5.6)]
    record.releases = [Release("b", "w1", taken_at), Release("a", "w1", 8.0)]
    assert bool(list(held.breaks(Seen(record)))) is broken


def test_a_worker_that_joins_is_noted_as_such() -> None:
    """Guards against an excuse that asks for what nothing notes."""
    record = Record({"classes": []})

    async def ready(*_: object) -> int:
        return 0

    fleet: Any = SimpleNamespace(workers=[], record=record, random=Random(1), free_port=ready)
    fleet.plan = SimpleNamespace(pressure=SimpleNamespace(prefill=UNBOUNDED, decode=UNBOUNDED), pace=1.0)
    fleet.discovery = SimpleNamespace(tell=ready)

    async def join() -> None:
        await WorkerTroubles(fleet).acts()["join"](Trouble("join", 0.0, 0.0, (0,), 0.0))
        fleet.workers[0].die()

    asyncio.run(join())
    assert record.joined == {fleet.workers[0].name}


@pytest.mark.parametrize("begun, excused", [(3.95, True), (4.15, False)])
def test_a_request_that_was_being_sent_as_its_process_was_killed_is_excused(
    begun: float, excused: bool
) -> None:
    """Its client sent a part, paused, and sent the rest on a connection that the kill had reset."""
    request = Request("a", "order", "g1", 4.0, begun=begun, sent=4.2, ended=4.2, fresh=True)
    record = Record({"classes": []}, requests=[request])
    record.pauses = [Pause("g1", 4.0, 5.0, killed=True, replaced=True)]
    assert bool(list(answers.breaks(Seen(record)))) is not excused

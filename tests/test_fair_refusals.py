"""Whom admission refuses: by the moment and the request, never lastingly by session, prompt or gateway (simulated)."""

from collections import defaultdict
from collections.abc import Callable
from zlib import crc32

import pytest
from serving_model import SECOND, Day, Request, ServingModel, Traffic

from stackpitch.brain.admission import Admission
from stackpitch.interface import Generation, Time

QUIET = Traffic(load=0.55, burst=1.5)
OVERLOAD = Traffic(load=1.4)
STILL = 4 * SECOND  # a gateway that turns away all it gets for longer, while others serve, fails a quiet day
MANY = 15  # requests that it has to have turned away in that time


def answered_share(requests: list[Request]) -> float:
    return sum(one.first_token is not None for one in requests) / len(requests)


def largest_tenth(requests: list[Request]) -> list[Request]:
    return sorted(requests, key=lambda one: one.prompt_tok)[-(len(requests) // 10) :]


def refused_throughout(day: Day) -> tuple[float, float]:
    """The share of sessions of which all turns are refused, and what chance alone would give."""
    sessions = defaultdict(list)
    for one in day.requests:
        sessions[one.session].append(one.first_token is None)
    refused = sum(one.first_token is None for one in day.requests) / len(day.requests)
    by_chance = sum(refused ** len(turns) for turns in sessions.values()) / len(sessions)
    return sum(all(turns) for turns in sessions.values()) / len(sessions), by_chance


def turned_away_on_end(day: Day, gateway: int) -> int:
    """The most requests that a gateway turned away over `STILL` with no attempt in between."""
    attempts, most = day.attempts.get(gateway, []), 0
    times = [one.arrived for one in day.requests if one.gateway == gateway]
    for begin, end in zip([0, *attempts], [*attempts, 10**9], strict=True):
        inside = [when for when in times if begin < when < end]
        if inside and inside[-1] - inside[0] >= STILL:
            most = max(most, len(inside))
    return most


@pytest.mark.parametrize("gateways", [1, 5, 30])
def test_a_quiet_day(gateways: int) -> None:
    day = ServingModel(QUIET, gateways, seed=1).play()
    assert answered_share(day.requests) > 0.9
    assert answered_share(largest_tenth(day.requests)) >= 2 / 3 * answered_share(day.requests)
    throughout, by_chance = refused_throughout(day)
    assert throughout <= by_chance + 0.12
    assert not any(turned_away_on_end(day, one) >= MANY for one in range(gateways))


@pytest.mark.parametrize("gateways", [1, 5, 30])
def test_an_overloaded_day(gateways: int) -> None:
    day = ServingModel(OVERLOAD, gateways, seed=2).play()
    share = answered_share(day.requests)
    assert 0.3 < share < 0.95, "this is no overload, or nothing is served"
    assert answered_share(largest_tenth(day.requests)) >= share / 2
    throughout, by_chance = refused_throughout(day)
    assert throughout <= by_chance + 0.12


def test_a_gateway_that_met_a_bad_moment_serves_again_with_the_others() -> None:
    """No prompt is read for three seconds of a quiet day."""
    model = ServingModel(Traffic(load=0.4), gateways=5, seed=3)
    model.at(10 * SECOND, lambda: model.pause(3 * SECOND))
    day = model.play()
    after = [one for one in day.requests if one.arrived > 20 * SECOND]
    assert answered_share(after) > 0.9
    for gateway in range(5):
        mine = [one for one in after if one.gateway == gateway]
        assert answered_share(mine) > 0.8, f"gateway {gateway}"
        assert turned_away_on_end(day, gateway) < MANY


@pytest.mark.parametrize(
    "unfair",
    [
        lambda gen: crc32((gen.session or "").encode()) % 3 == 0,
        lambda gen: gen.prompt_tok > 4000,
    ],
    ids=["by session", "by size"],
)
def test_lasting_refusals_are_seen(
    unfair: Callable[[Generation], bool], monkeypatch: pytest.MonkeyPatch
) -> None:
    """That the checks above can fail: refusals that go by the session's hash, or by the prompt's size alone."""

    def sheds(admission: Admission, now: Time, gen: Generation, cost: float) -> bool:
        refused = unfair(gen)
        if refused:
            admission.dispatcher.refuse(gen, "overload")
        return refused

    monkeypatch.setattr(Admission, "sheds", sheds)
    day = ServingModel(QUIET, 5, seed=1).play()
    throughout, by_chance = refused_throughout(day)
    large = answered_share(largest_tenth(day.requests)) / answered_share(day.requests)
    assert throughout > by_chance + 0.12 or large < 2 / 3

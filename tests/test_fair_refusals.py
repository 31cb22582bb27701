"""Which requests admission refuses, simulated: never lastingly those of a session, a gateway or a length."""

from collections import defaultdict
from collections.abc import Callable
from zlib import crc32

import pytest
from serving_model import SECOND, Request, Results, ServingModel, Traffic

from stackpitch.brain.admission import Admission
from stackpitch.interface import Generation, Time

QUIET = Traffic(load=0.55, burst=1.5)
OVERLOAD = Traffic(load=1.4)
# A gateway is at fault that refuses all of at least so many requests, for at least this time, while others
# serve.
MIN_REFUSAL_TIME = 4 * SECOND
MAX_REFUSED = 15


def answered_share(requests: list[Request]) -> float:
    return sum(request.first_token is not None for request in requests) / len(requests)


def largest_tenth(requests: list[Request]) -> list[Request]:
    return sorted(requests, key=lambda request: request.prompt_tok)[-(len(requests) // 10) :]


def refused_throughout(results: Results) -> tuple[float, float]:
    """The share of sessions whose turns are all refused, and that expected of independent refusals."""
    sessions = defaultdict(list)
    for request in results.requests:
        sessions[request.session].append(request.first_token is None)
    refused = sum(request.first_token is None for request in results.requests) / len(results.requests)
    by_chance = sum(refused ** len(turns) for turns in sessions.values()) / len(sessions)
    return sum(all(turns) for turns in sessions.values()) / len(sessions), by_chance


def max_refused_in_a_row(results: Results, gateway: int) -> int:
    """The most requests refused in a row, without any attempt, over `MIN_REFUSAL_TIME` or more."""
    attempts, most = results.attempts.get(gateway, []), 0
    times = [request.arrived for request in results.requests if request.gateway == gateway]
    for begin, end in zip([0, *attempts], [*attempts, 10**9], strict=True):
        inside = [when for when in times if begin < when < end]
        if inside and inside[-1] - inside[0] >= MIN_REFUSAL_TIME:
            most = max(most, len(inside))
    return most


@pytest.mark.parametrize("gateways", [1, 5, 30])
def test_a_quiet_run(gateways: int) -> None:
    results = ServingModel(QUIET, gateways, seed=1).run()
    assert answered_share(results.requests) > 0.9
    assert answered_share(largest_tenth(results.requests)) >= 2 / 3 * answered_share(results.requests)
    throughout, by_chance = refused_throughout(results)
    assert throughout <= by_chance + 0.12
    assert not any(max_refused_in_a_row(results, gateway) >= MAX_REFUSED for gateway in range(gateways))


@pytest.mark.parametrize("gateways", [1, 5, 30])
def test_an_overloaded_run(gateways: int) -> None:
    results = ServingModel(OVERLOAD, gateways, seed=2).run()
    share = answered_share(results.requests)
    assert 0.3 < share < 0.95, "the load is no overload, or nothing is served"
    assert answered_share(largest_tenth(results.requests)) >= share / 2
    throughout, by_chance = refused_throughout(results)
    assert throughout <= by_chance + 0.12


def test_a_gateway_serves_again_after_an_outage() -> None:
    """Guards against a gateway that keeps refusing by what it measured in an outage: no prompt is read for
    three seconds of a quiet run."""
    model = ServingModel(Traffic(load=0.4), gateways=5, seed=3)
    model.at(10 * SECOND, lambda: model.pause(3 * SECOND))
    results = model.run()
    after = [request for request in results.requests if request.arrived > 20 * SECOND]
    assert answered_share(after) > 0.9
    for gateway in range(5):
        own = [request for request in after if request.gateway == gateway]
        assert answered_share(own) > 0.8, f"gateway {gateway}"
        assert max_refused_in_a_row(results, gateway) < MAX_REFUSED


@pytest.mark.parametrize(
    "unfair",
    [
        lambda gen: crc32((gen.session or "").encode()) % 3 == 0,
        lambda gen: gen.prompt_tok > 4000,
    ],
    ids=["by session", "by size"],
)
def test_lasting_refusals_are_detected(
    unfair: Callable[[Generation], bool], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The checks above can fail: with refusals by the session's hash, or by the prompt's length alone."""

    def sheds(admission: Admission, now: Time, gen: Generation, cost: float) -> bool:
        refused = unfair(gen)
        if refused:
            admission.dispatcher.refuse(gen, "overload")
        return refused

    monkeypatch.setattr(Admission, "sheds", sheds)
    results = ServingModel(QUIET, 5, seed=1).run()
    throughout, by_chance = refused_throughout(results)
    large = answered_share(largest_tenth(results.requests)) / answered_share(results.requests)
    assert throughout > by_chance + 0.12 or large < 2 / 3

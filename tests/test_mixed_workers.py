"""Mixed workers beside separate prefill and decode workers: waits there count, and don't condemn the other way."""

import pytest

from stackpitch.brain import Fleet
from stackpitch.interface import MS, SECOND, Generation, Leg, ModuleSettings, Product, Role, Server

CHAT = Product("chat", "idempotent", "all", 0, 2 * SECOND, 0, 60 * MS, 12 * SECOND, 1, 0)
MEMORY = 100_000


class Silent:
    """A gateway that only log lines reach."""

    def log(self, text: str) -> None: ...


def fleet(roles: list[Role], peers: bool = False) -> Fleet:
    settings = ModuleSettings(
        number=0,
        gateways=4,
        zone="a",
        max_legs=5,
        max_retry_after=0,
        fall_multiple=3.0,
        must_ask=False,
        cold_from=0.3,
        warm_up=10 * SECOND,
        local_reads=True,
        peers=peers,
    )
    found = Fleet(Silent(), 1, settings)  # type: ignore[arg-type]
    found.update(
        0, [Server(f"{role}{number}", "a", role, 1, role, MEMORY) for number, role in enumerate(roles)], True
    )
    return found


def request(name: str) -> Generation:
    return Generation(name, CHAT, None, None, None, 0, 1000, 100, None, 0, 12 * SECOND, False, False)


def waited(of: Fleet, role: Role, wait: int, times: int = 1) -> None:
    """Attempts at the first worker of that role waited so long, the last one until now."""
    server = of.by_role[role][0].server
    for number in range(times):
        of.record_wait(Leg(request(f"{role}{number}"), 0, server, SECOND), SECOND + wait, wait)


@pytest.mark.parametrize("role", ["reader", "mixed"])
def test_a_long_wait_at_a_worker_sends_the_next_request_elsewhere(role: Role) -> None:
    of = fleet([role, role, "writer"])
    slow, other = of.by_role[role]
    before = of.queued_tok(slow, SECOND, request("a"))
    waited(of, role, 4 * SECOND)
    assert of.queued_tok(slow, 5 * SECOND, request("a")) > before + 1000
    assert of.queued_tok(other, 5 * SECOND, request("a")) == before
    assert of.queued_tok(slow, 15 * SECOND, request("a")) == before, "it is forgotten after ten seconds"


@pytest.mark.parametrize("role", ["reader", "mixed"])
def test_where_peers_tell_of_queues_their_messages_count_instead(role: Role) -> None:
    of = fleet([role, role, "writer"], peers=True)
    before = of.queued_tok(of.by_role[role][0], 5 * SECOND, request("a"))
    waited(of, role, 4 * SECOND)
    assert of.queued_tok(of.by_role[role][0], 5 * SECOND, request("a")) == before


def test_the_better_of_two_ways_is_expected() -> None:
    of = fleet(["reader", "writer", "mixed"])
    waited(of, "mixed", 2 * SECOND, times=30)
    assert of.expected_first_token(3 * SECOND, request("a")) == 0
    waited(of, "reader", SECOND, times=30)
    assert 0.8 * SECOND < of.expected_first_token(3 * SECOND, request("a")) < 1.1 * SECOND


@pytest.mark.parametrize("roles", [["mixed"], ["reader", "mixed"], ["writer", "mixed"]], ids=" and ".join)
def test_waits_at_mixed_workers_are_expected_where_there_is_no_other_way(roles: list[Role]) -> None:
    of = fleet(roles)
    waited(of, "mixed", 2 * SECOND, times=30)
    assert of.expected_first_token(3 * SECOND, request("a")) > 1.9 * SECOND


def test_waits_at_prefill_and_decode_workers_add_up_where_there_are_no_mixed_ones() -> None:
    of = fleet(["reader", "writer"])
    waited(of, "reader", SECOND, times=30)
    waited(of, "writer", SECOND, times=30)
    assert of.expected_first_token(2 * SECOND, request("a")) > 1.8 * SECOND

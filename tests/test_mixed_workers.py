"""Mixed workers next to prefill and decode workers: waits at one kind don't count against the other."""

import pytest

from stackpitch.brain import Fleet
from stackpitch.interface import MS, SECOND, Generation, Leg, ModuleSettings, Product, Role, Server

CHAT = Product("chat", "idempotent", "all", 0, 2 * SECOND, 0, 60 * MS, 12 * SECOND, 1, 0)
MEMORY = 100_000


class LogSink:
    """A gateway that drops log lines and supports nothing else."""

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
    made = Fleet(LogSink(), 1, settings)  # type: ignore[arg-type]
    made.update(
        0, [Server(f"{role}{number}", "a", role, 1, role, MEMORY) for number, role in enumerate(roles)], True
    )
    return made


def request(name: str) -> Generation:
    return Generation(name, CHAT, None, None, None, 0, 1000, 100, None, 0, 12 * SECOND, False, False)


def record_waits(servers: Fleet, role: Role, wait: int, times: int = 1) -> None:
    """Records attempts at the first worker of that role, which waited for `wait`, from 1 s on."""
    server = servers.by_role[role][0].server
    for number in range(times):
        servers.record_wait(Leg(request(f"{role}{number}"), 0, server, SECOND), SECOND + wait, wait)


@pytest.mark.parametrize("role", ["reader", "mixed"])
def test_a_long_wait_at_a_worker_sends_the_next_request_elsewhere(role: Role) -> None:
    servers = fleet([role, role, "writer"])
    slow, other = servers.by_role[role]
    before = servers.queued_tok(slow, SECOND, request("a"))
    record_waits(servers, role, 4 * SECOND)
    assert servers.queued_tok(slow, 5 * SECOND, request("a")) > before + 1000
    assert servers.queued_tok(other, 5 * SECOND, request("a")) == before
    assert servers.queued_tok(slow, 15 * SECOND, request("a")) == before, (
        "a wait is forgotten after ten seconds"
    )


@pytest.mark.parametrize("role", ["reader", "mixed"])
def test_with_gossip_between_gateways_the_last_wait_does_not_count(role: Role) -> None:
    servers = fleet([role, role, "writer"], peers=True)
    before = servers.queued_tok(servers.by_role[role][0], 5 * SECOND, request("a"))
    record_waits(servers, role, 4 * SECOND)
    assert servers.queued_tok(servers.by_role[role][0], 5 * SECOND, request("a")) == before


def test_the_faster_of_both_kinds_of_worker_is_expected() -> None:
    servers = fleet(["reader", "writer", "mixed"])
    record_waits(servers, "mixed", 2 * SECOND, times=30)
    assert servers.expected_first_token(3 * SECOND, request("a")) == 0
    record_waits(servers, "reader", SECOND, times=30)
    assert 0.8 * SECOND < servers.expected_first_token(3 * SECOND, request("a")) < 1.1 * SECOND


@pytest.mark.parametrize("roles", [["mixed"], ["reader", "mixed"], ["writer", "mixed"]], ids=" and ".join)
def test_waits_at_mixed_workers_are_expected_if_prefill_or_decode_workers_are_missing(
    roles: list[Role],
) -> None:
    servers = fleet(roles)
    record_waits(servers, "mixed", 2 * SECOND, times=30)
    assert servers.expected_first_token(3 * SECOND, request("a")) > 1.9 * SECOND


def test_waits_at_prefill_and_decode_workers_add_up_where_there_are_no_mixed_ones() -> None:
    servers = fleet(["reader", "writer"])
    record_waits(servers, "reader", SECOND, times=30)
    record_waits(servers, "writer", SECOND, times=30)
    assert servers.expected_first_token(2 * SECOND, request("a")) > 1.8 * SECOND

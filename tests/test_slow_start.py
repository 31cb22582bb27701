"""What all gateways together send to cold servers: real `Fleet`s, simulated arrivals; more in `benchmarks.slow_start`."""

from math import sqrt

import pytest

from benchmarks.slow_start import CASES, PRODUCT, Cluster, Found, fleet_of, operators_bound, stricter_bound
from stackpitch.brain import Fleet
from stackpitch.interface import Generation, Leg, Server, Time

SECOND = 10_000
BY_NAME = {case.name: case for case in CASES}
GATEWAYS = (1, 2, 5, 20, 30, 230)
WINDOWS = (SECOND, 2 * SECOND, 3 * SECOND)
KINDS = [
    "one",
    "several",
    "small-N",
    "large-N",
    "all-cold",
    "restarted",
    "all-restarted",
    "few-left",
    "few-left-long",
    "few-of-many",
    "few-of-many-steady",
    "few-of-many-long",
    "few-of-many-all-restarted",
    "few-of-many-long-restarted",
    "few-of-many-rare",
    "few-of-many-full",
    "one-of-many",
    "mixed",
    "mixed-all-restarted",
    "mixed-of-many",
    "few-mixed-of-many",
    "half-mixed-of-many",
    "reader-among-mixed",
]


def found(name: str, gateways: int, seeds: int) -> Found:
    all_of = Found()
    for seed in range(seeds):
        all_of.add(Cluster(BY_NAME[name], gateways, seed, SECOND).play())
    return all_of


@pytest.mark.parametrize(
    ("name", "gateways", "used"),
    [
        ("restarted", 30, 0.15),
        ("restarted", 230, 0.1),
        ("small-N", 30, 0.1),
        ("several", 20, 0.12),
        ("all-cold", 30, 0.12),
        ("few-left", 2, 0.25),
        ("few-of-many", 30, 0.25),
        ("few-of-many-steady", 2, 0.25),
        ("mixed", 30, 0.15),
        ("mixed", 230, 0.1),
        ("reader-among-mixed", 230, 0.1),
    ],
)
def test_cold_servers_bear_what_all_send_and_are_used(name: str, gateways: int, used: float) -> None:
    """`used`: of what they may be sent; cold servers that get nothing cost service."""
    all_of = found(name, gateways, 3)
    assert all_of.worst <= 1, f"{all_of.windows_over} of {all_of.windows} windows pass the budget and chance"
    assert all_of.sent / all_of.allowed > used


def test_the_bound_is_the_operators() -> None:
    assert operators_bound(100) == 100 + 2 * 10 + 2
    assert operators_bound(30) == 30 + 2 * sqrt(30) + 2
    assert operators_bound(25) == 25 + 3 * 5 + 3
    assert all(stricter_bound(calls) <= operators_bound(calls) for calls in range(100))


@pytest.mark.parametrize("gateways", GATEWAYS)
@pytest.mark.parametrize("name", KINDS)
def test_all_gateways_together_keep_the_operators_bound(name: str, gateways: int) -> None:
    """However few or many they are, in windows of each length."""
    cluster = Cluster(BY_NAME[name], gateways, 11, SECOND)
    cluster.play()
    for window in WINDOWS:
        found = cluster.found(window)
        assert found.operators_worst <= 1, (
            f"{found.operators_servers_over} of {found.servers} servers, {window // 10} ms"
        )


@pytest.mark.parametrize(
    ("name", "gateways", "used"),
    [
        ("few-left-long", 1, 0.2),
        ("few-of-many-long", 1, 0.2),
        ("few-of-many-long", 230, 0.2),
        ("one-of-many", 20, 0.2),
        ("all-cold-after-dark", 1, 0.04),
        ("all-cold-after-dark", 20, 0.04),
    ],
)
def test_the_few_that_are_left_or_come_back_cold_are_used(name: str, gateways: int, used: float) -> None:
    all_of = found(name, gateways, 2)
    assert all_of.sent / all_of.allowed > used


def looked_up(number: int, gateways: int, warm: int, cold: list[str], started: int, times: int = 1) -> Fleet:
    """A gateway with its first list, after so many generations."""
    fleet = fleet_of(number, gateways, 0.3, 13 * SECOND, 3.0)
    fleet.update(
        0,
        [Server(f"r{one}", "a", "k", 1, "reader", 1000) for one in range(warm)]
        + [Server(name, "a", "k", 1, "reader", 1000, started=started) for name in cold],
        True,
    )
    for _ in range(times):
        fleet.usable(
            "reader",
            0,
            Generation("a", PRODUCT, None, None, None, 0, 1000, 100, None, 0, 40_000, False, False),
        )
    return fleet


def test_gateways_spread_their_turns_though_each_states_a_start_by_its_own_clock() -> None:
    counts = set()
    for name in (f"c{one}" for one in range(12)):
        fleets = [looked_up(number, 200, 4, [name], number * 7 % 21 - SECOND) for number in range(200)]
        counts.add(
            sum(one.admitted_gen is not None for fleet in fleets for one in fleet.server_states.values())
        )
    assert max(counts) - min(counts) <= 1


def test_a_restarted_gateway_that_finds_all_cold_takes_them_to_have_been_warm_and_little_to_be_done() -> None:
    cold = [f"c{one}" for one in range(10)]
    once, twice = (
        next(iter(looked_up(0, 30, 0, cold, 0, times).server_states.values())).admission_credit[1]
        for times in (1, 2)
    )
    assert 0.01 < (twice - once) % 1 < 0.02


class Gateway:
    """One that looked up generations at 40 warm readers, until all but one cold one go."""

    def __init__(self, every: Time, lookups: int, done: int) -> None:
        self.fleet = fleet_of(0, 230, 0.3, 60 * SECOND, 3.0)
        warm = [Server(f"r{one}", "a", "k", 1, "reader", 1000) for one in range(40)]
        self.fleet.update(0, warm, True)
        self.now = 0
        for _ in range(lookups):
            self.now += every
            self.look_up()
            for _ in range(done):
                self.done(warm[0])
        self.cold = Server("c", "a", "k", 1, "reader", 1000, started=self.now)
        self.fleet.update(self.now, [self.cold], True)

    def generation(self) -> Generation:
        return Generation(
            "a", PRODUCT, None, None, None, 0, 1000, 100, None, self.now, self.now + 40_000, False, False
        )

    def look_up(self) -> None:
        self.fleet.usable("reader", self.now, self.generation())

    def done(self, server: Server) -> None:
        self.fleet.record_success(
            self.fleet.server_states[server], self.now, Leg(self.generation(), 0, server, self.now)
        )

    def part(self, wait: Time) -> float:
        """Of its lookups that goes to the cold server."""
        self.now += wait
        self.look_up()
        before = self.fleet.server_states[self.cold].admission_credit[1]
        self.look_up()
        return (self.fleet.server_states[self.cold].admission_credit[1] - before) % 1


FAIR = 0.6 * 3.0 * 0.3 / 40  # what a warm server was known to do, by what a cold one may be sent of it


def test_a_gateway_with_few_lookups_remembers_what_one_server_bore() -> None:
    gateway = Gateway(5 * SECOND, 20, 1)
    assert 0.7 * FAIR < gateway.part(5 * SECOND) < 1.5 * FAIR
    assert 0.7 * FAIR < gateway.part(5 * SECOND) < 1.5 * FAIR


def test_owners_turns_that_are_not_looked_up_make_no_server_seem_to_bear_more() -> None:
    assert Gateway(SECOND, 60, 50).part(0) < 1.5 * FAIR


def test_a_gateway_that_has_seen_no_lookup_takes_few_cold_servers_for_the_rest_of_many() -> None:
    assert Gateway(SECOND, 0, 0).part(0) < 0.3 * 0.6 * 3.0 * 0.3

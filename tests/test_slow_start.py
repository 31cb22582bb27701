"""What all gateways together send to cold servers, with real `Fleet`s and simulated arrivals.

The simulation is that of `benchmarks.slow_start`.
"""

from math import sqrt

import pytest

from benchmarks.slow_start import CASES, PRODUCT, Cluster, Found, fleet_of, operators_bound, stricter_bound
from stackpitch.brain import Fleet
from stackpitch.interface import Generation, Leg, Server, Time

SECOND = 10_000
BY_NAME = {case.name: case for case in CASES}
GATEWAYS = (1, 2, 5, 20, 30, 230)
WINDOWS = (SECOND, 2 * SECOND, 3 * SECOND)
CASE_NAMES = [
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


def play_seeds(name: str, gateways: int, seeds: int) -> Found:
    total = Found()
    for seed in range(seeds):
        total.add(Cluster(BY_NAME[name], gateways, seed, SECOND).play())
    return total


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
def test_cold_servers_are_not_overloaded_and_are_used(name: str, gateways: int, used: float) -> None:
    """`used`: the least share of what they may be sent; cold servers that get nothing are wasted."""
    total = play_seeds(name, gateways, 3)
    assert total.worst <= 1, f"{total.windows_over} of {total.windows} windows exceed the bound"
    assert total.sent / total.allowed > used


def test_the_bound_is_the_operators() -> None:
    assert operators_bound(100) == 100 + 2 * 10 + 2
    assert operators_bound(30) == 30 + 2 * sqrt(30) + 2
    assert operators_bound(25) == 25 + 3 * 5 + 3
    assert all(stricter_bound(calls) <= operators_bound(calls) for calls in range(100))


@pytest.mark.parametrize("gateways", GATEWAYS)
@pytest.mark.parametrize("name", CASE_NAMES)
def test_all_gateways_together_keep_the_operators_bound(name: str, gateways: int) -> None:
    """For few and for many gateways, in windows of each length."""
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
    total = play_seeds(name, gateways, 2)
    assert total.sent / total.allowed > used


def fleet_after_lookups(
    number: int, gateways: int, warm: int, cold: list[str], started: int, times: int = 1
) -> Fleet:
    """The fleet of a gateway that has its first roster, after `times` lookups."""
    fleet = fleet_of(number, gateways, 0.3, 13 * SECOND, 3.0)
    fleet.update(
        0,
        [Server(f"r{index}", "a", "k", 1, "reader", 1000) for index in range(warm)]
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


def test_gateways_spread_their_admissions_though_their_clocks_differ() -> None:
    counts = set()
    for name in (f"c{index}" for index in range(12)):
        fleets = [
            fleet_after_lookups(number, 200, 4, [name], number * 7 % 21 - SECOND) for number in range(200)
        ]
        counts.add(
            sum(state.admitted_gen is not None for fleet in fleets for state in fleet.server_states.values())
        )
    assert max(counts) - min(counts) <= 1


def test_a_restarted_gateway_that_finds_all_servers_cold_admits_little() -> None:
    cold = [f"c{index}" for index in range(10)]
    once, twice = (
        next(iter(fleet_after_lookups(0, 30, 0, cold, 0, times).server_states.values())).admission_credit[1]
        for times in (1, 2)
    )
    assert 0.01 < (twice - once) % 1 < 0.02


class Gateway:
    """A gateway that did lookups among 40 warm readers, until all are replaced by a single cold one."""

    def __init__(self, every: Time, lookups: int, done: int) -> None:
        self.fleet = fleet_of(0, 230, 0.3, 60 * SECOND, 3.0)
        warm = [Server(f"r{index}", "a", "k", 1, "reader", 1000) for index in range(40)]
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

    def cold_share(self, wait: Time) -> float:
        """The share of its lookups that goes to the cold server."""
        self.now += wait
        self.look_up()
        before = self.fleet.server_states[self.cold].admission_credit[1]
        self.look_up()
        return (self.fleet.server_states[self.cold].admission_credit[1] - before) % 1


# Share of the work that a warm server did, times what a cold one may be sent of that.
FAIR = 0.6 * 3.0 * 0.3 / 40


def test_a_gateway_with_few_lookups_remembers_how_much_a_server_did() -> None:
    gateway = Gateway(5 * SECOND, 20, 1)
    assert 0.7 * FAIR < gateway.cold_share(5 * SECOND) < 1.5 * FAIR
    assert 0.7 * FAIR < gateway.cold_share(5 * SECOND) < 1.5 * FAIR


def test_later_turns_sent_without_a_lookup_do_not_raise_what_a_server_seems_to_do() -> None:
    assert Gateway(SECOND, 60, 50).cold_share(0) < 1.5 * FAIR


def test_a_gateway_without_lookups_assumes_that_few_cold_servers_are_left_of_many() -> None:
    assert Gateway(SECOND, 0, 0).cold_share(0) < 0.3 * 0.6 * 3.0 * 0.3

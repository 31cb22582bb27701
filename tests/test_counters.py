"""Counters by product: quantiles against sorted samples, causes of failure, and memory that does not grow."""

from random import Random
from typing import Any

import pytest

from stackpitch.gateway.counters import BUCKET_EDGES, CAUSES, QUANTILES, Counters, Histogram
from stackpitch.interface import MS, SECOND, Generation, Leg, Product, Server

CHAT = Product("chat", "idempotent", "all", 0, SECOND, 400, 600, 4 * SECOND, 1.0, 0.1)
SERVERS: dict[str, Server] = {
    role: Server(role, "a", role, 1, role, 1000) for role in ("reader", "writer", "mixed")
}  # type: ignore[arg-type]


def generation(*legs: tuple[str, Any], product: Product = CHAT, prompt: int = 1000) -> Generation:
    gen = Generation("g", product, None, None, None, 0, prompt, 100, None, 100, 5 * SECOND, False, False)
    gen.legs += [
        Leg(gen, number, SERVERS[role], 200, outcome=outcome) for number, (role, outcome) in enumerate(legs)
    ]
    return gen


@pytest.mark.parametrize("mean", [5, 60, 900])
def test_quantiles_are_right_up_to_the_width_of_a_bucket(mean: float) -> None:
    random, histogram = Random(3), Histogram()
    latencies = sorted(int(random.expovariate(1 / mean) * MS) for _ in range(1000))
    for latency in latencies:
        histogram.add(latency)
    for quantile, edge in zip(QUANTILES, histogram.quantiles(), strict=True):
        true = latencies[int(quantile * 1000) - 1]
        assert true // MS <= edge <= max(10, true * 1.42 / MS)


def test_what_is_longer_than_all_buckets_counts_with_the_last() -> None:
    histogram = Histogram()
    assert histogram.quantiles() == []
    histogram.add(10**9)
    assert histogram.quantiles() == [BUCKET_EDGES[-1] // MS] * 3 == [20_480] * 3
    histogram.add(0)
    assert histogram.quantiles()[0] == 10


@pytest.mark.parametrize(
    "legs, end, first, cause",
    [
        (
            [("reader", "read"), ("writer", "streamed")],
            "streamed",
            100 + CHAT.slo_time + 400,
            None,
        ),  # 40 ms for 1,000 tokens
        ([("reader", "read"), ("writer", "streamed")], "streamed", 101 + CHAT.slo_time + 400, "late"),
        ([], "throttled", None, "throttled unsent"),
        ([("reader", "time-out")], "throttled", None, "throttled"),
        ([("writer", "reset")], "terminated", None, "terminated"),
        ([("reader", "read")], "departed", None, "cancelled by client"),
        ([("writer", "reset")], "stream_broken", 500, "broken off"),
        ([], "stopping", None, "broken off"),
    ],
)
def test_what_is_lost_to_which_cause(legs: list, end: str, first: int | None, cause: str | None) -> None:
    counters = Counters()
    counters.ended(generation(*legs), end, first)
    (line,) = counters.take_lines()
    assert (line["ended"], line["in_time"], line["lost"]) == (
        1,
        int(cause is None),
        {cause: 1} if cause else {},
    )
    assert cause is None or cause in CAUSES


def test_kept_tokens_against_what_was_read_where() -> None:
    counters = Counters()
    read, alone, mixed, lost = (
        ("reader", "read"),
        ("writer", "streamed"),
        ("mixed", "streamed"),
        ("reader", "time-out"),
    )
    for legs, cached_tok in (
        ([read], 700),
        ([read], 0),
        ([read, alone], 900),
        ([alone], 800),
        ([mixed], 100),
        ([lost], 0),
        ([lost, alone], 0),
    ):
        counters.leg_ended(400, generation(*legs).legs[-1], cached_tok)
    assert counters.take_lines()[0]["kept_tok"] == {
        "readers": [700, 2000],
        "writers": [900, 3000],
    }  # prompts whose KV state was fetched are not counted for the writer


def test_waits_by_part() -> None:
    counters = Counters()
    gen = generation(("reader", "read"), ("writer", None))
    counters.leg_ended(200 + 40 * MS, gen.legs[0], 0)
    gen.legs[1].sent = 600
    counters.first_token_received(600 + 15 * MS, gen.legs[1])
    counters.first_token_received(200 + 300 * MS, generation(("mixed", None)).legs[0])
    assert counters.take_lines()[0]["wait_ms"] == {
        "reader": [40] * 3,
        "writer": [20] * 3,
        "mixed": [320] * 3,
        "all": [80, 320, 320],
    }


def test_memory_stays_and_nothing_seen_tells_nothing() -> None:
    counters, products = (
        Counters(),
        [Product(name, "idempotent", "all", 0, SECOND, 0, 0, 0, 1.0, 0.1) for name in "abc"],
    )
    for number in range(30_000):
        gen = generation(("writer", "streamed"), product=products[number % 3])
        counters.first_token_received(number, gen.legs[0])
        counters.leg_ended(number, gen.legs[0], 5)
        counters.ended(gen, "streamed", number)
    assert len(counters.by_product) == 3
    assert sum(
        len(histogram.counts)
        for product in counters.by_product.values()
        for histogram in product.latencies.values()
    ) == 3 * 4 * len(BUCKET_EDGES)
    assert [line["ended"] for line in counters.take_lines()] == [10_000] * 3
    assert counters.take_lines() == [] and not counters.by_product

"""Counters by product: cached tokens, latencies by role, and failures by cause. Pure.

They count since they were last logged. Memory is bounded by the number of products. Latencies are counted in
buckets whose edges grow by a factor of 1.41, which is the precision of the quantiles. Counts of several
gateways, or of successive lines, can be added; quantiles can't.
"""

from bisect import bisect_left
from math import ceil

from stackpitch.interface import MS, Generation, Leg, Product, Time

# Upper edges, from 10 ms to 20 s; the last bucket also counts everything longer.
BUCKET_EDGES = [int(10 * MS * 2 ** (step / 2)) for step in range(23)]
QUANTILES = (0.5, 0.9, 0.99)
PARTS = ("reader", "writer", "mixed", "all")
CAUSES = ("late", "throttled unsent", "throttled", "terminated", "cancelled by client", "broken off")


class Histogram:
    """Latencies in buckets."""

    def __init__(self) -> None:
        self.counts = [0] * len(BUCKET_EDGES)

    def add(self, latency: Time) -> None:
        """Counts one latency."""
        self.counts[min(bisect_left(BUCKET_EDGES, latency), len(BUCKET_EDGES) - 1)] += 1

    def quantiles(self) -> list[int]:
        """The QUANTILES in ms, each as the upper edge of its bucket; empty if nothing was counted."""
        total, edges = sum(self.counts), []
        for quantile in QUANTILES if total else ():
            rank, bucket = ceil(quantile * total), 0
            while rank > self.counts[bucket]:
                rank -= self.counts[bucket]
                bucket += 1
            edges.append(BUCKET_EDGES[bucket] // MS)
        return edges


class ProductCounters:
    """The counters of one product."""

    def __init__(self) -> None:
        self.ended = self.in_time = 0
        self.lost = dict.fromkeys(CAUSES, 0)
        # By where the prompt was read: tokens that were cached, and prompt tokens.
        self.cached = {
            "readers": [0, 0],
            "writers": [0, 0],
        }
        self.latencies = {part: Histogram() for part in PARTS}

    def line(self, product: str) -> dict[str, object]:
        """The fields of one log line; counters that are zero are left out."""
        return {
            "product": product,
            "ended": self.ended,
            "in_time": self.in_time,
            "lost": {cause: count for cause, count in self.lost.items() if count},
            "kept_tok": {role: counts for role, counts in self.cached.items() if counts[1]},
            "wait_ms": {
                part: quantiles
                for part, latencies in self.latencies.items()
                if (quantiles := latencies.quantiles())
            },
        }


class Counters:
    """The counters of all products."""

    def __init__(self) -> None:
        self.by_product: dict[Product, ProductCounters] = {}  # one entry a product; emptied by `take_lines`

    def of(self, gen: Generation) -> ProductCounters:
        """The counters of a generation's product."""
        counters = self.by_product.get(gen.product)
        if counters is None:
            counters = self.by_product[gen.product] = ProductCounters()
        return counters

    def first_token_received(self, now: Time, leg: Leg) -> None:
        """Counts the time to the first token, since the leg was sent and since the generation arrived."""
        latencies = self.of(leg.gen).latencies
        latencies[leg.server.role].add(now - leg.sent)
        latencies["all"].add(now - leg.gen.arrived)

    def leg_ended(self, now: Time, leg: Leg, cached_tok: int) -> None:
        """Counts a read's latency, and the cached tokens where the leg read the prompt."""
        gen = leg.gen
        if leg.outcome == "read":
            self.of(gen).latencies["reader"].add(now - leg.sent)
        elif leg.outcome != "streamed" or any(other.outcome == "read" for other in gen.legs):
            return  # a writer that fetched the KV state had nothing cached
        counts = self.of(gen).cached["readers" if leg.outcome == "read" else "writers"]
        counts[0] += cached_tok
        counts[1] += gen.prompt_tok

    def ended(self, gen: Generation, end: str, first_token: Time | None) -> None:
        """Counts a generation as served within its SLO time, or as lost with its cause."""
        counters = self.of(gen)
        counters.ended += 1
        if end == "streamed" and first_token is not None and first_token - gen.arrived <= gen.slo():
            counters.in_time += 1
            return
        cause = {
            "streamed": "late",
            "throttled": "throttled" if gen.legs else "throttled unsent",
            "terminated": "terminated",
            "departed": "cancelled by client",
        }.get(end, "broken off")
        counters.lost[cause] += 1

    def take_lines(self) -> list[dict[str, object]]:
        """Returns a line for each product that was seen since the last call, and resets all counters."""
        lines = [counters.line(product.name) for product, counters in self.by_product.items()]
        self.by_product.clear()
        return lines

"""What each class of traffic met since the log last told of it: kept tokens, waits by part, and what was lost to which cause.

Pure. Memory is fixed by the number of products: waits go into buckets, half as wide again each, so that a quantile is read
up to a factor of 1.41. Counts of several gateways, and of one after the other, add up; quantiles do not.
"""

from bisect import bisect_left
from math import ceil

from stackpitch.interface import MS, Generation, Leg, Product, Time

BUCKET_EDGES = [
    int(10 * MS * 2 ** (step / 2)) for step in range(23)
]  # 10 ms to 20 s; what is longer counts with the last
QUANTILES = (0.5, 0.9, 0.99)
PARTS = ("reader", "writer", "mixed", "all")
CAUSES = ("late", "throttled unsent", "throttled", "terminated", "cancelled by client", "broken off")


class Histogram:
    def __init__(self) -> None:
        self.counts = [0] * len(BUCKET_EDGES)

    def add(self, wait: Time) -> None:
        self.counts[min(bisect_left(BUCKET_EDGES, wait), len(BUCKET_EDGES) - 1)] += 1

    def quantiles(self) -> list[int]:
        """In ms, the upper edge of the bucket in which each is; empty if nothing was met."""
        whole, found = sum(self.counts), []
        for part in QUANTILES if whole else ():
            rank, place = ceil(part * whole), 0
            while rank > self.counts[place]:
                rank -= self.counts[place]
                place += 1
            found.append(BUCKET_EDGES[place] // MS)
        return found


class ProductCounters:
    """Of one product."""

    def __init__(self) -> None:
        self.ended = self.in_time = 0
        self.lost = dict.fromkeys(CAUSES, 0)
        self.kept = {
            "readers": [0, 0],
            "writers": [0, 0],
        }  # tokens found kept, and prompt tokens, of what was read there
        self.waits = {part: Histogram() for part in PARTS}

    def line(self, product: str) -> dict[str, object]:
        return {
            "product": product,
            "ended": self.ended,
            "in_time": self.in_time,
            "lost": {cause: count for cause, count in self.lost.items() if count},
            "kept_tok": {where: both for where, both in self.kept.items() if both[1]},
            "wait_ms": {part: found for part, of in self.waits.items() if (found := of.quantiles())},
        }


class Counters:
    def __init__(self) -> None:
        self.by_product: dict[Product, ProductCounters] = {}  # as many as products; begun anew by `take`

    def of(self, gen: Generation) -> ProductCounters:
        found = self.by_product.get(gen.product)
        if found is None:
            found = self.by_product[gen.product] = ProductCounters()
        return found

    def first_token_received(self, now: Time, leg: Leg) -> None:
        """The first token is here."""
        waits = self.of(leg.gen).waits
        waits[leg.server.role].add(now - leg.sent)
        waits["all"].add(now - leg.gen.arrived)

    def leg_ended(self, now: Time, leg: Leg, kept_tok: int) -> None:
        gen = leg.gen
        if leg.outcome == "read":
            self.of(gen).waits["reader"].add(now - leg.sent)
        elif leg.outcome != "streamed" or any(one.outcome == "read" for one in gen.legs):
            return  # what a writer fetched was not kept there
        both = self.of(gen).kept["readers" if leg.outcome == "read" else "writers"]
        both[0] += kept_tok
        both[1] += gen.prompt_tok

    def ended(self, gen: Generation, end: str, first_token: Time | None) -> None:
        found = self.of(gen)
        found.ended += 1
        if end == "streamed" and first_token is not None and first_token - gen.arrived <= gen.slo():
            found.in_time += 1
            return
        cause = {
            "streamed": "late",
            "throttled": "throttled" if gen.legs else "throttled unsent",
            "terminated": "terminated",
            "departed": "cancelled by client",
        }.get(end, "broken off")
        found.lost[cause] += 1

    def take_lines(self) -> list[dict[str, object]]:
        """A line for each product that anything was seen of since the last call."""
        lines = [of.line(product.name) for product, of in self.by_product.items()]
        self.by_product.clear()
        return lines

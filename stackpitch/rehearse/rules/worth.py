"""Revenue within the SLO time over revenue asked."""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from stackpitch.rehearse.records import Record


@dataclass(slots=True)
class Worth:
    """What the generations of a part of the day brought."""

    asked: float = 0.0
    earned: float = 0.0
    generations: int = 0

    @property
    def g(self) -> float:
        return self.earned / self.asked if self.asked else 0.0


def worth(records: list[Record], products: dict[str, Any]) -> dict[str, Worth]:
    """G by part: "all", "product NAME" and "customer NAME". A client's tries count as one generation.

    `products` have slo_ms, slo_ms_per_ktok, token_gap_ms, time_limit_ms, revenue and late_revenue.
    """
    asks: dict[str, Record] = {}
    ends: dict[str, Record] = {}
    left: set[str] = set()
    for one in records:
        if one["what"] == "ask":
            asks.setdefault(one["key"], one)
        elif one["what"] == "end" and one["how"] == "streamed":
            ends[one["key"]] = one
        elif one["what"] == "end" and one["how"] == "departed":
            left.add(one["key"])
    found: dict[str, Worth] = defaultdict(Worth)
    for key, ask in asks.items():
        if key in left:
            continue  # nobody is there to be served
        product, end = products[ask["product"]], ends.get(key)
        earned = 0.0
        if end is not None and end["first"] is not None:
            first = (end["first"] - ask["first_asked"]) / 10
            slo = product.slo_ms + product.slo_ms_per_ktok * ask["prompt_tok"] / 1000
            gap = (end["at"] - end["first"]) / 10 / max(1, end["tok"] - 1)
            if first <= slo and gap <= product.token_gap_ms:
                earned = product.revenue
            elif gap <= 2 * product.token_gap_ms:
                earned = product.revenue * product.late_revenue
        for part in ("all", f"product {ask['product']}", f"customer {ask['customer']}"):
            found[part].asked += product.revenue
            found[part].earned += earned
            found[part].generations += 1
    return dict(found)

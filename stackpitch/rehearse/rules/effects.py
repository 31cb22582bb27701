"""Rule 2: no effect twice."""

from collections import defaultdict
from collections.abc import Iterable

from stackpitch.rehearse.rules.seen import Seen
from stackpitch.rehearse.rules.words import Breach, Leg


def effects(day: Seen) -> Iterable[Breach]:
    by_key: dict[str, list[Leg]] = defaultdict(list)
    for leg in day.legs:
        if leg.part != "read" and not leg.refused:
            by_key[leg.key].append(leg)
    for key, legs in by_key.items():
        asked = [one for one in day.by_key[key] if one["what"] == "ask"]
        product = day.products.get(asked[0]["product"]) if asked else None
        if product is None or product.effect == "idempotent":
            continue
        first, throttled = (
            legs[0],
            [
                one
                for one in day.by_key[key]
                if one["what"] == "end" and one["how"] == "throttled" and one["at"] >= legs[0].at
            ],
        )
        if product.effect == "side-effecting":
            if len(legs) > 1:
                yield Breach(
                    2, key, f"{len(legs)} legs that may have run: {', '.join(x.engine for x in legs)}"
                )
            if day.ran[key] > 1:
                yield Breach(2, key, f"ran {day.ran[key]} times")
            if throttled:
                yield Breach(2, key, f"throttled though a leg at {first.engine} may have run")
            continue
        for leg in legs[1:]:
            if not day.same_group(product.scope, first.engine, leg.engine):
                yield Breach(
                    2, key, f"sent to {leg.engine}, outside the group ({product.scope}) of {first.engine}"
                )
            elif leg.at - first.at > product.memory:
                yield Breach(2, key, f"sent to {leg.engine} after what {first.engine} remembers")
        if throttled and product.scope != "all":
            yield Breach(2, key, f"throttled though a leg at {first.engine} may have run")

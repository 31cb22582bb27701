"""What a day's schema can't see."""

from stackpitch.rehearse.day import ENGINE_TROUBLES, GATEWAY_TROUBLES, TRAFFIC_TROUBLES, Day


def check(day: Day) -> None:
    """Raises ValueError on what the schema can't see."""
    for name in day.traffic:
        if name not in day.products:
            raise ValueError(f"traffic.{name}: no such product; allowed: {', '.join(day.products)}")
    for number, group in enumerate(day.fleet):
        if group.kind not in day.kinds:
            raise ValueError(f"fleet.{number}.kind: found {group.kind!r}; allowed: {', '.join(day.kinds)}")
    for number, trouble in enumerate(day.troubles):
        if trouble.kind not in (*ENGINE_TROUBLES, *GATEWAY_TROUBLES, *TRAFFIC_TROUBLES):
            raise ValueError(f"troubles.{number}.kind: found {trouble.kind!r}")

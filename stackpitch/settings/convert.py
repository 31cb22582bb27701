"""From settings to what the decision modules are made with. Pure."""

from typing import Any

from stackpitch.interface import Customer, Product, Role, Time
from stackpitch.preferences import DAYS, Hours, Preferences, Rule, Servers
from stackpitch.settings.model import Settings


def ticks(ms: float) -> Time:
    return int(ms * 10)


def minutes(clock: str) -> int:
    hour, _, minute = clock.partition(":")
    return int(hour) * 60 + int(minute)


def preferences(settings: Settings, epoch: Time) -> Preferences:
    """`epoch`: Unix time, in tenths of a millisecond, at which the module's clock is 0."""
    rules = []
    for one in settings.rules:
        where = one.where
        roles = frozenset(where.roles) or frozenset(
            settings.kinds[kind].role for kind in where.kinds if kind in settings.kinds
        )
        hours = []
        for span in one.hours:
            begin, _, end = span.clock.partition("-")
            days = frozenset(DAYS.index(day) for day in span.days) or frozenset(range(7))
            hours.append(Hours(minutes(begin), minutes(end), days))
        rules.append(
            Rule(
                one.name,
                one.how,
                Servers(
                    frozenset(where.servers),
                    frozenset(where.cells),
                    frozenset(where.zones),
                    frozenset(where.kinds),
                    frozenset(where.roles),
                ),
                frozenset(one.products),
                frozenset(one.customers),
                tuple(hours),
                roles,
            )
        )
    return Preferences(tuple(rules), epoch, settings.utc_offset_min)


def products(settings: Settings) -> dict[str, Product]:
    return {
        name: Product(
            name,
            one.effect,
            one.scope,
            ticks(one.memory_ms),
            ticks(one.slo_ms),
            ticks(one.slo_ms_per_ktok),
            ticks(one.token_gap_ms),
            ticks(one.time_limit_ms),
            one.revenue,
            one.late_revenue,
        )
        for name, one in settings.products.items()
    }


def customers(settings: Settings) -> dict[str, Customer]:
    return {name: Customer(name, one.share, one.quota_per_s) for name, one in settings.customers.items()}


def kinds(settings: Settings) -> dict[str, tuple[Role, int]]:
    """Role and memory, in tokens, of each kind."""
    return {name: (one.role, one.memory_tok) for name, one in settings.kinds.items()}


def module_arguments(settings: Settings) -> dict[str, Any]:
    """The arguments of `Brain` beside gateway and seed."""
    module = settings.module
    return {
        "number": module.number,
        "gateways": module.gateways,
        "zone": module.zone,
        "max_legs": module.max_legs,
        "max_retry_after": ticks(module.max_retry_after_ms),
        "local_reads": module.local_reads,
        "must_ask": False,
        "peers": bool(settings.peers.admin),
        "probes": module.probes,
        "cancels": True,
        "cold_from": module.cold_from,
        "warm_up": ticks(module.warm_up_ms),
        "fall_multiple": module.fall_multiple,
    }

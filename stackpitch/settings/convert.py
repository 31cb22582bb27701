"""Converts settings to the arguments of the decision module. Pure."""

from typing import Any

from stackpitch.interface import Customer, Product, Role, Time
from stackpitch.preferences import DAYS, Hours, Preferences, Rule, ServerSelector
from stackpitch.settings.model import Settings


def ticks(ms: float) -> Time:
    """Milliseconds in units of `Time`, tenths of a millisecond."""
    return int(ms * 10)


def minute_of_day(clock: str) -> int:
    """The minute of the day of a time such as 22:30."""
    hour, _, minute = clock.partition(":")
    return int(hour) * 60 + int(minute)


def preferences(settings: Settings, epoch: Time) -> Preferences:
    """The routing rules. `epoch`: Unix time, in tenths of a millisecond, at which the module's clock is 0."""
    rules = []
    for rule in settings.rules:
        where = rule.where
        roles = frozenset(where.roles) or frozenset(
            settings.kinds[kind].role for kind in where.kinds if kind in settings.kinds
        )
        hours = []
        for span in rule.hours:
            begin, _, end = span.clock.partition("-")
            days = frozenset(DAYS.index(day) for day in span.days) or frozenset(range(7))
            hours.append(Hours(minute_of_day(begin), minute_of_day(end), days))
        rules.append(
            Rule(
                rule.name,
                rule.how,
                ServerSelector(
                    frozenset(where.servers),
                    frozenset(where.cells),
                    frozenset(where.zones),
                    frozenset(where.kinds),
                    frozenset(where.roles),
                ),
                frozenset(rule.products),
                frozenset(rule.customers),
                tuple(hours),
                roles,
            )
        )
    return Preferences(tuple(rules), epoch, settings.utc_offset_min)


def products(settings: Settings) -> dict[str, Product]:
    """Products by name."""
    return {
        name: Product(
            name,
            product.effect,
            product.scope,
            ticks(product.memory_ms),
            ticks(product.slo_ms),
            ticks(product.slo_ms_per_ktok),
            ticks(product.token_gap_ms),
            ticks(product.time_limit_ms),
            product.revenue,
            product.late_revenue,
        )
        for name, product in settings.products.items()
    }


def customers(settings: Settings) -> dict[str, Customer]:
    """Customers by name."""
    return {
        name: Customer(name, customer.share, customer.quota_per_s)
        for name, customer in settings.customers.items()
    }


def kinds(settings: Settings) -> dict[str, tuple[Role, int]]:
    """Role and KV memory, in tokens, of each kind of server."""
    return {name: (kind.role, kind.memory_tok) for name, kind in settings.kinds.items()}


def module_arguments(settings: Settings) -> dict[str, Any]:
    """The keyword arguments of `Brain`: all but the gateway and the seed."""
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

"""Mutation testing of statements: finds changes of a configuration that no statement notices. Pure.

Each mutation changes the configuration in one place. A change is noticed if it alters the verdict of any
statement: the statement fails, its situation no longer comes about, or it can't apply.
"""

from collections.abc import Iterator
from copy import deepcopy
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from stackpitch.expect.book import Book
from stackpitch.expect.deployment import build_deployment
from stackpitch.expect.evaluate import Evaluator
from stackpitch.settings import BadSettings, Fleet, Settings
from stackpitch.settings.load import check

Tree = dict[str, Any]
EFFECTS = ("idempotent", "deduplicated", "side-effecting")
# Factors by which fields of a product are multiplied.
PRODUCT_FACTORS = {
    "slo_ms": (0.1, 10),
    "time_limit_ms": (0.1, 10),
    "memory_ms": (0.1, 10),
    "revenue": (0, 10),
    "late_revenue": (0, 10),
    "token_gap_ms": (0.1, 10),
}
# Values tried for arguments of the decision module.
MODULE_VALUES = {
    "max_legs": (1, 2, 12),
    "gateways": (1, 20),
    "cold_from": (0.05, 1.0),
    "warm_up_ms": (10.0, 300000.0),
    "fall_multiple": (0.2, 50.0),
    "max_retry_after_ms": (0.0,),
}


@dataclass(frozen=True, slots=True)
class Mutation:
    """A configuration with one change. `text` describes the change."""

    # product, customer, kind, module or rule; for a server: dropped, rack, zone, drain, weight or
    # kind of server
    kind: str
    text: str
    settings: Settings
    fleet: Fleet


def _with_setting(settings: Settings, path: str, value: Any) -> Settings | None:
    """Settings with one field changed, or left out if `value` is None.

    Returns None if the field has that value already or the schema rejects it.
    """
    tree: Any = deepcopy(settings.model_dump())
    *parents, key = path.split(".")
    node = tree
    for parent in parents:
        node = node[int(parent)] if isinstance(node, list) else node[parent]
    if value is None:
        del node[int(key) if isinstance(node, list) else key]
    elif node[key] == value:
        return None
    else:
        node[key] = value
    try:
        return check(Settings, tree, "changed")
    except BadSettings:
        return None


def _setting_changes(settings: Settings) -> Iterator[tuple[str, str, Any]]:
    """Kind, path and new value (None: left out) of each change of the settings."""
    for name, product in settings.products.items():
        path = f"products.{name}"
        if len(settings.products) > 1:
            yield "product", path, None
        for effect in EFFECTS:
            yield "product", f"{path}.effect", effect
        if product.effect == "deduplicated":
            for scope in ("all", "zone", "cell"):
                yield "product", f"{path}.scope", scope
        for field, factors in PRODUCT_FACTORS.items():
            value = getattr(product, field)
            for factor in factors if value else (None,):
                if factor is not None and (field != "memory_ms" or product.effect == "deduplicated"):
                    yield "product", f"{path}.{field}", value * factor
    for name, customer in settings.customers.items():
        yield "customer", f"customers.{name}", None
        yield "customer", f"customers.{name}.share", customer.share + 0.5
        yield "customer", f"customers.{name}.quota_per_s", customer.quota_per_s * 10 + 1
    for name, kind in settings.kinds.items():
        for factor in (0.02, 10):
            yield "kind", f"kinds.{name}.memory_tok", max(1, int(kind.memory_tok * factor))
        for role in ("reader", "writer", "mixed"):
            yield "kind", f"kinds.{name}.role", role
    for field, values in MODULE_VALUES.items():
        for value in values:
            yield "module", f"module.{field}", value
    yield "module", "module.local_reads", not settings.module.local_reads
    yield "module", "module.zone", "elsewhere"
    for index, rule in enumerate(settings.rules):
        yield "rule", f"rules.{index}", None
        opposite = {"only": "never", "never": "only", "prefer": "avoid", "avoid": "prefer"}[rule.how]
        yield "rule", f"rules.{index}.how", opposite
        if rule.products:
            yield "rule", f"rules.{index}.products", []
        if rule.hours:
            yield "rule", f"rules.{index}.hours", []


def _server_changes(settings: Settings, fleet: Fleet, max_servers: int) -> Iterator[tuple[str, str, Tree]]:
    """Kind, text and changed list of each change of one server: of `max_servers` drawn by hash, or of all."""
    ranked = sorted(fleet.servers, key=lambda server: crc32(server.name.encode()))
    chosen = {server.name for server in ranked[:max_servers]}
    cells = sorted({server.cell for server in fleet.servers})
    zones = sorted({server.zone for server in fleet.servers})
    for index, server in enumerate(fleet.servers):
        if server.name not in chosen:
            continue
        changed: list[tuple[str, str, dict[str, Any] | None]] = [("dropped", "left out", None)]
        if len(cells) > 1:
            other_cell = cells[(cells.index(server.cell) + 1) % len(cells)]
            changed.append(("rack", f"in rack {other_cell}", {"cell": other_cell}))
        if len(zones) > 1:
            changed.append(
                ("zone", "in another zone", {"zone": zones[(zones.index(server.zone) + 1) % len(zones)]})
            )
        changed.append(("drain", "draining", {"state": "draining"}))
        changed.append(("weight", "of another weight", {"weight": server.weight * 0.1}))
        changed += [
            ("kind of server", f"a {kind}", {"kind": kind}) for kind in settings.kinds if kind != server.kind
        ]
        for kind, text, fields in changed:
            tree = fleet.model_dump()
            if fields is None:
                del tree["servers"][index]
            else:
                tree["servers"][index] |= fields
            yield kind, f"server {server.name} {text}", tree


def mutations(settings: Settings, fleet: Fleet, max_servers: int) -> Iterator[Mutation]:
    """All mutations of the settings, then those of `max_servers` servers of the fleet."""
    for kind, path, value in _setting_changes(settings):
        changed = _with_setting(settings, path, value)
        if changed is not None:
            yield Mutation(kind, f"{path} {'left out' if value is None else f'= {value}'}", changed, fleet)
    for server_change, text, tree in _server_changes(settings, fleet, max_servers):
        if tree["servers"]:
            yield Mutation(server_change, text, settings, check(Fleet, tree, "changed"))


def verdict_words(book: Book, settings: Settings, fleet: Fleet) -> dict[str, str]:
    """The verdict of each statement, by name of the statement."""
    return {
        verdict.statement.name: verdict.label()
        for verdict in Evaluator(book, build_deployment(settings, fleet)).evaluate_all()
    }


def noticed_by(book: Book, mutation: Mutation, words_before: dict[str, str], order: list[str]) -> str | None:
    """Name of the first statement, in this order, whose verdict the change alters; None if there is none."""
    judge = Evaluator(book, build_deployment(mutation.settings, mutation.fleet))
    return next((name for name in order if judge.evaluate(name).label() != words_before[name]), None)

"""Changes of a configuration, one at a time, to see which of them no statement notices. Pure.

A change is noticed if any statement's word on it differs: it fails, no longer comes about, or can't apply.
"""

from collections.abc import Iterator
from copy import deepcopy
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from stackpitch.expect.book import Book
from stackpitch.expect.deployment import deployment
from stackpitch.expect.evaluate import Evaluator
from stackpitch.settings import BadSettings, Fleet, Settings
from stackpitch.settings.load import check

Tree = dict[str, Any]
EFFECTS = ("idempotent", "deduplicated", "side-effecting")
PRODUCT_TIMES = {
    "slo_ms": (0.1, 10),
    "time_limit_ms": (0.1, 10),
    "memory_ms": (0.1, 10),
    "revenue": (0, 10),
    "late_revenue": (0, 10),
    "token_gap_ms": (0.1, 10),
}
MODULE = {
    "max_legs": (1, 2, 12),
    "gateways": (1, 20),
    "cold_from": (0.05, 1.0),
    "warm_up_ms": (10.0, 300000.0),
    "fall_multiple": (0.2, 50.0),
    "max_retry_after_ms": (0.0,),
}


@dataclass(frozen=True, slots=True)
class Mutation:
    kind: str  # product, customer, kind, module, rule; of a server: dropped, rack, zone, drain, weight, kind of server
    text: str
    settings: Settings
    fleet: Fleet


def _settings(settings: Settings, path: str, value: Any) -> Settings | None:
    """With one field changed; None if it is that already or the schema does not allow it."""
    tree: Any = deepcopy(settings.model_dump())
    *steps, last = path.split(".")
    here = tree
    for step in steps:
        here = here[int(step)] if isinstance(here, list) else here[step]
    if value is None:
        del here[int(last) if isinstance(here, list) else last]
    elif here[last] == value:
        return None
    else:
        here[last] = value
    try:
        return check(Settings, tree, "changed")
    except BadSettings:
        return None


def _fields(settings: Settings) -> Iterator[tuple[str, str, Any]]:
    """Kind, path and new value (None: left out) of each change of settings."""
    for name, product in settings.products.items():
        path = f"products.{name}"
        if len(settings.products) > 1:
            yield "product", path, None
        for effect in EFFECTS:
            yield "product", f"{path}.effect", effect
        if product.effect == "deduplicated":
            for scope in ("all", "zone", "cell"):
                yield "product", f"{path}.scope", scope
        for field, times in PRODUCT_TIMES.items():
            value = getattr(product, field)
            for many in times if value else (None,):
                if many is not None and (field != "memory_ms" or product.effect == "deduplicated"):
                    yield "product", f"{path}.{field}", value * many
    for name, customer in settings.customers.items():
        yield "customer", f"customers.{name}", None
        yield "customer", f"customers.{name}.share", customer.share + 0.5
        yield "customer", f"customers.{name}.quota_per_s", customer.quota_per_s * 10 + 1
    for name, kind in settings.kinds.items():
        for many in (0.02, 10):
            yield "kind", f"kinds.{name}.memory_tok", max(1, int(kind.memory_tok * many))
        for role in ("reader", "writer", "mixed"):
            yield "kind", f"kinds.{name}.role", role
    for field, values in MODULE.items():
        for value in values:
            yield "module", f"module.{field}", value
    yield "module", "module.local_reads", not settings.module.local_reads
    yield "module", "module.zone", "elsewhere"
    for number, rule in enumerate(settings.rules):
        yield "rule", f"rules.{number}", None
        turned = {"only": "never", "never": "only", "prefer": "avoid", "avoid": "prefer"}[rule.how]
        yield "rule", f"rules.{number}.how", turned
        if rule.products:
            yield "rule", f"rules.{number}.products", []
        if rule.hours:
            yield "rule", f"rules.{number}.hours", []


def _servers(settings: Settings, fleet: Fleet, most: int) -> Iterator[tuple[str, str, Tree]]:
    """Kind, text and changed list of each change of one server: of `most` servers, drawn by hash, or of all."""
    ranked = sorted(fleet.servers, key=lambda one: crc32(one.name.encode()))
    chosen = {one.name for one in ranked[:most]}
    cells = sorted({one.cell for one in fleet.servers})
    zones = sorted({one.zone for one in fleet.servers})
    for number, one in enumerate(fleet.servers):
        if one.name not in chosen:
            continue
        changed: list[tuple[str, str, dict[str, Any] | None]] = [("dropped", "left out", None)]
        if len(cells) > 1:
            other = cells[(cells.index(one.cell) + 1) % len(cells)]
            changed.append(("rack", f"in rack {other}", {"cell": other}))
        if len(zones) > 1:
            changed.append(
                ("zone", "in another zone", {"zone": zones[(zones.index(one.zone) + 1) % len(zones)]})
            )
        changed.append(("drain", "draining", {"state": "draining"}))
        changed.append(("weight", "of another weight", {"weight": one.weight * 0.1}))
        changed += [
            ("kind of server", f"a {kind}", {"kind": kind}) for kind in settings.kinds if kind != one.kind
        ]
        for kind, text, fields in changed:
            tree = fleet.model_dump()
            if fields is None:
                del tree["servers"][number]
            else:
                tree["servers"][number] |= fields
            yield kind, f"server {one.name} {text}", tree


def mutations(settings: Settings, fleet: Fleet, most_servers: int) -> Iterator[Mutation]:
    for kind, path, value in _fields(settings):
        changed = _settings(settings, path, value)
        if changed is not None:
            yield Mutation(kind, f"{path} {'left out' if value is None else f'= {value}'}", changed, fleet)
    for where, text, tree in _servers(settings, fleet, most_servers):
        if tree["servers"]:
            yield Mutation(where, text, settings, check(Fleet, tree, "changed"))


def words(book: Book, settings: Settings, fleet: Fleet) -> dict[str, str]:
    return {
        verdict.statement.name: verdict.label()
        for verdict in Evaluator(book, deployment(settings, fleet)).evaluate_all()
    }


def noticed_by(book: Book, mutation: Mutation, before: dict[str, str], order: list[str]) -> str | None:
    """The first statement, in this order, whose word the change turns."""
    judge = Evaluator(book, deployment(mutation.settings, mutation.fleet))
    return next((name for name in order if judge.evaluate(name).label() != before[name]), None)

"""A configuration as statements see it: products, customers, servers, the module's arguments. Pure.

Every play gets servers of its own, made anew, so that no statement leaves anything to the next.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from stackpitch.expect.parse import BadStatement
from stackpitch.expect.syntax import Amount, Definition, Term, Where
from stackpitch.interface import Customer, Product, Server, Time
from stackpitch.preferences import DAY_MINUTES, FIRST_DAY, MINUTE, Preferences, Rule
from stackpitch.settings import Fleet, Settings
from stackpitch.settings.convert import customers, kinds, module_arguments, preferences, products

ROLE = {"readers": "reader", "writers": "writer", "mixed servers": "mixed"}


@dataclass(frozen=True, slots=True)
class Deployment:
    """`tree` is the settings as values, for statements on settings themselves."""

    products: dict[str, Product]
    customers: dict[str, Customer]
    arguments: dict[str, Any]
    fleet: tuple[Server, ...]  # as patterns: never given to a module
    seed: int
    rules: tuple[Rule, ...]
    utc_offset: int  # minutes
    tree: Mapping[str, Any]

    def preferences(self, epoch: Time) -> Preferences:
        """New for each module: it remembers what lists showed."""
        return Preferences(self.rules, epoch, self.utc_offset)

    def epoch(self, day: int, minute: int) -> Time:
        """Unix time, in tenths of a millisecond, of such a moment by the operators' clock. Day 0 is a Monday."""
        days = (day - FIRST_DAY) % 7
        return (days * DAY_MINUTES + minute - self.utc_offset) * MINUTE

    def servers(self) -> dict[str, Server]:
        return {
            one.name: Server(
                one.name, one.zone, one.kind, one.cell, one.role, one.memory_tok, one.state, one.weight
            )
            for one in self.fleet
        }


def deployment(settings: Settings, fleet: Fleet) -> Deployment:
    """`fleet` has been checked. Starts that it states are left out: in a dry world all began long ago."""
    known = kinds(settings)
    return Deployment(
        products(settings),
        customers(settings),
        module_arguments(settings),
        tuple(
            Server(one.name, one.zone, one.kind, one.cell, *known[one.kind], one.state, one.weight)
            for one in fleet.servers
        ),
        settings.seed,
        preferences(settings, 0).rules,
        settings.utc_offset_min,
        settings.model_dump(),
    )


class Sets:
    """Which servers a text means in one configuration. Raises BadStatement where it means none."""

    def __init__(self, of: Deployment, definitions: Mapping[str, Definition]) -> None:
        self.of, self.definitions = of, definitions
        self.found: dict[Where, frozenset[str]] = {}  # as many as the files have sets
        self.names = {one.name for one in of.fleet}

    def select(self, where: Where, at: str) -> frozenset[str]:
        if where not in self.found:
            self.found[where] = self._where(where, at, ())
        return self.found[where]

    def _where(self, where: Where, at: str, inside: tuple[str, ...]) -> frozenset[str]:
        names: frozenset[str] = frozenset().union(*(self._term(one, at, inside) for one in where.terms))
        names -= frozenset().union(*(self._term(one, at, inside) for one in where.excluded))
        if not names:
            raise BadStatement(f'{at}: no server is meant by "{where.text()}" in this configuration')
        return names

    def _term(self, term: Term, at: str, inside: tuple[str, ...]) -> frozenset[str]:
        if term.selector == "server":
            if term.name not in self.names:
                raise BadStatement(
                    f'{at}: no server "{term.name}" in this configuration; {self._near(term.name)}'
                )
            return frozenset((term.name,))
        if term.selector == "defined":
            if term.name in inside or len(inside) > 50:
                raise BadStatement(f'{at}: definition "{term.name}" leads back to itself')
            if term.name not in self.definitions:
                raise BadStatement(f'{at}: no definition "{term.name}"; there are: {shown(self.definitions)}')
            inner = self._where(self.definitions[term.name].where, at, (*inside, term.name))
            able = [one for one in self.of.fleet if one.name in inner]
        else:
            able = [
                one for one in self.of.fleet if term.selector == "servers" or one.role == ROLE[term.selector]
            ]
        for one in term.filters:
            there = {str(getattr(server, one.field)) for server in self.of.fleet}
            if one.value not in there:
                word = "rack" if one.field == "cell" else one.field
                raise BadStatement(
                    f'{at}: no {word} "{one.value}" in this configuration; there are: {shown(there)}'
                )
            able = [server for server in able if str(getattr(server, one.field)) == one.value]
        return frozenset(server.name for server in able)

    def _near(self, name: str) -> str:
        alike = sorted(one for one in self.names if one[:1] == name[:1])
        return f"there are: {shown(alike or self.names)}"


def shown(names: Any) -> str:
    listed = sorted(names)
    return (", ".join(listed[:8]) + (f" and {len(listed) - 8} more" if len(listed) > 8 else "")) or "none"


def part(names: frozenset[str], amount: Amount, mark: str) -> list[str]:
    """So many of a set, drawn by hash, so that each play of a statement may draw others."""
    ranked = sorted(names, key=lambda name: (crc32(f"{mark} {name}".encode()), name))
    count = {
        "all": len(ranked),
        "half": (len(ranked) + 1) // 2,
        "some": min(len(ranked), int(amount.number)),
        "all but": max(0, len(ranked) - int(amount.number)),
        "percent": round(len(ranked) * amount.number / 100),
    }[amount.how]
    return ranked[:count]

"""The configuration that statements are played on, and the sets of servers that statements name. Pure.

Every play gets `Server` objects of its own, so that no statement affects the next.
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

ROLES = {"readers": "reader", "writers": "writer", "mixed servers": "mixed"}


@dataclass(frozen=True, slots=True)
class Deployment:
    """A configuration: products, customers, servers, rules and the arguments of the decision module.

    `settings_tree` holds the settings as plain values, for statements about single settings.
    """

    products: dict[str, Product]
    customers: dict[str, Customer]
    arguments: dict[str, Any]  # keyword arguments of the decision module
    fleet: tuple[Server, ...]  # templates: the module gets copies, see `servers`
    seed: int
    rules: tuple[Rule, ...]
    utc_offset: int  # minutes
    settings_tree: Mapping[str, Any]

    def preferences(self, epoch: Time) -> Preferences:
        """A new object for each decision module, because it keeps state from the server lists."""
        return Preferences(self.rules, epoch, self.utc_offset)

    def epoch(self, day: int, minute: int) -> Time:
        """Unix time in units of 0.1 ms of a day and minute in the operators' time zone. Day 0 is a Monday."""
        days = (day - FIRST_DAY) % 7
        return (days * DAY_MINUTES + minute - self.utc_offset) * MINUTE

    def servers(self) -> dict[str, Server]:
        """New copies of the servers, by name."""
        return {
            server.name: Server(
                server.name,
                server.zone,
                server.kind,
                server.cell,
                server.role,
                server.memory_tok,
                server.state,
                server.weight,
            )
            for server in self.fleet
        }


def build_deployment(settings: Settings, fleet: Fleet) -> Deployment:
    """Builds the configuration from settings and a validated fleet.

    Start times in the fleet are ignored: in a dry run all servers started long ago.
    """
    server_kinds = kinds(settings)
    return Deployment(
        products(settings),
        customers(settings),
        module_arguments(settings),
        tuple(
            Server(
                server.name,
                server.zone,
                server.kind,
                server.cell,
                *server_kinds[server.kind],
                server.state,
                server.weight,
            )
            for server in fleet.servers
        ),
        settings.seed,
        preferences(settings, 0).rules,
        settings.utc_offset_min,
        settings.model_dump(),
    )


class ServerSets:
    """Resolves the server sets of statements to names of servers of one configuration."""

    def __init__(self, deployment: Deployment, definitions: Mapping[str, Definition]) -> None:
        self.deployment, self.definitions = deployment, definitions
        self.resolved: dict[Where, frozenset[str]] = {}  # cache; at most as many as the files have sets
        self.names = {server.name for server in deployment.fleet}

    def select(self, where: Where, location: str) -> frozenset[str]:
        """Names of the servers in a set; `location` is for messages. Raises BadStatement if it is empty."""
        if where not in self.resolved:
            self.resolved[where] = self._resolve_where(where, location, ())
        return self.resolved[where]

    def _resolve_where(
        self, where: Where, location: str, open_definitions: tuple[str, ...]
    ) -> frozenset[str]:
        names: frozenset[str] = frozenset().union(
            *(self._resolve_term(term, location, open_definitions) for term in where.terms)
        )
        names -= frozenset().union(
            *(self._resolve_term(term, location, open_definitions) for term in where.excluded)
        )
        if not names:
            raise BadStatement(f'{location}: no server is meant by "{where.text()}" in this configuration')
        return names

    def _resolve_term(self, term: Term, location: str, open_definitions: tuple[str, ...]) -> frozenset[str]:
        if term.selector == "server":
            if term.name not in self.names:
                raise BadStatement(
                    f'{location}: no server "{term.name}" in this configuration; {self._suggest(term.name)}'
                )
            return frozenset((term.name,))
        if term.selector == "defined":
            if term.name in open_definitions or len(open_definitions) > 50:
                raise BadStatement(f'{location}: definition "{term.name}" leads back to itself')
            if term.name not in self.definitions:
                raise BadStatement(
                    f'{location}: no definition "{term.name}"; there are: {list_names(self.definitions)}'
                )
            members = self._resolve_where(
                self.definitions[term.name].where, location, (*open_definitions, term.name)
            )
            candidates = [server for server in self.deployment.fleet if server.name in members]
        else:
            candidates = [
                server
                for server in self.deployment.fleet
                if term.selector == "servers" or server.role == ROLES[term.selector]
            ]
        for condition in term.filters:
            existing = {str(getattr(server, condition.field)) for server in self.deployment.fleet}
            if condition.value not in existing:
                word = "rack" if condition.field == "cell" else condition.field
                raise BadStatement(
                    f'{location}: no {word} "{condition.value}" in this configuration; there are: '
                    f"{list_names(existing)}"
                )
            candidates = [
                server for server in candidates if str(getattr(server, condition.field)) == condition.value
            ]
        return frozenset(server.name for server in candidates)

    def _suggest(self, name: str) -> str:
        similar = sorted(other for other in self.names if other[:1] == name[:1])
        return f"there are: {list_names(similar or self.names)}"


def list_names(names: Any) -> str:
    """The names sorted, for messages: eight of them and how many more there are."""
    ordered = sorted(names)
    return (", ".join(ordered[:8]) + (f" and {len(ordered) - 8} more" if len(ordered) > 8 else "")) or "none"


def choose_servers(names: frozenset[str], amount: Amount, play_id: str) -> list[str]:
    """Draws `amount` servers of a set by hash, so that each play of a statement may draw others."""
    ranked = sorted(names, key=lambda name: (crc32(f"{play_id} {name}".encode()), name))
    count = {
        "all": len(ranked),
        "half": (len(ranked) + 1) // 2,
        "some": min(len(ranked), int(amount.number)),
        "all but": max(0, len(ranked) - int(amount.number)),
        "percent": round(len(ranked) * amount.number / 100),
    }[amount.how]
    return ranked[:count]

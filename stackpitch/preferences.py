"""Operators' routing rules, applied around the decision chain of `Brain`. Pure; only the standard library.

A rule selects generations by product, customer and time of day, and servers that they go to "only", by
preference ("prefer"), by preference not ("avoid") or "never". It can only narrow the set of servers that the
chain chooses from: no rule adds a server, a leg or an answer, so the five rules hold whatever the routing
rules are. "only" and "never" bind every leg, also those of a session's later turns. "prefer", "avoid" and
weights are ignored where they would leave no server, and never move a later turn away from its writer.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Literal
from zlib import crc32

from stackpitch.brain import Brain, Dispatcher, Fleet, HeldState, ServerState, mix_hashes
from stackpitch.interface import Gateway, Generation, Role, Server, Time

MINUTE, DAY_MINUTES = 600_000, 1440  # a minute in units of `Time`; minutes of a day
DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
FIRST_DAY = 3  # Unix time began on a Thursday


@dataclass(frozen=True, slots=True)
class Hours:
    """Minutes of the day from `begin` until before `end`, on `days` (0 is Monday).

    The span ends on the next day if `end` is not after `begin`; `days` are those on which it begins.
    """

    begin: int
    end: int
    days: frozenset[int] = frozenset(range(7))

    def contains(self, day: int, minute: int) -> bool:
        if self.begin < self.end:
            return day in self.days and self.begin <= minute < self.end
        return (day in self.days and minute >= self.begin) or (
            (day - 1) % 7 in self.days and minute < self.end
        )


@dataclass(frozen=True, slots=True)
class ServerSelector:
    """Selects the servers that match every attribute given; an empty attribute matches all."""

    names: frozenset[str] = frozenset()
    cells: frozenset[int] = frozenset()
    zones: frozenset[str] = frozenset()
    kinds: frozenset[str] = frozenset()
    roles: frozenset[str] = frozenset()

    def __contains__(self, server: Server) -> bool:
        return all(
            not allowed or value in allowed
            for allowed, value in (
                (self.names, server.name),
                (self.cells, server.cell),
                (self.zones, server.zone),
                (self.kinds, server.kind),
                (self.roles, server.role),
            )
        )


@dataclass(frozen=True, slots=True)
class Rule:
    """How generations of these products and customers (empty: all) relate to the servers of `where`.

    It applies in these hours, and always if there are none. It has no effect on roles that no server of
    `where` ever had: "only in rack 1" does not restrict readers if rack 1 has only writers.
    """

    name: str
    how: Literal["only", "prefer", "avoid", "never"]
    where: ServerSelector
    products: frozenset[str] = frozenset()
    customers: frozenset[str] = frozenset()
    hours: tuple[Hours, ...] = ()
    roles: frozenset[Role] = frozenset()  # roles that the rule affects whichever servers are listed

    def applies(self, gen: Generation, day: int, minute: int) -> bool:
        """Whether the rule applies to the generation at this time of the week."""
        customer = gen.customer.name if gen.customer is not None else None
        return (
            (not self.products or gen.product.name in self.products)
            and (not self.customers or customer in self.customers)
            and (not self.hours or any(span.contains(day, minute) for span in self.hours))
        )


@dataclass(slots=True)
class Preferences:
    """The routing rules in force and the servers' weights.

    `epoch` is the Unix time, in tenths of a millisecond, at which the gateway's clock was 0; `utc_offset` is
    in minutes. `roles` and `max_weight` are computed from the list of servers.
    """

    rules: tuple[Rule, ...] = ()
    epoch: Time = 0
    utc_offset: int = 0
    # The roles that a rule affects, by its name: one entry for each rule. A role stays when its servers are
    # gone.
    roles: dict[str, frozenset[Role]] = field(default_factory=dict)
    # The highest weight by role, without the roles whose servers all have the same weight.
    max_weight: dict[Role, float] = field(default_factory=dict)
    # The binding rules of the latest generation that `allows` was called for, and when.
    last_binding: tuple[Generation, Time, list[Rule]] | None = None
    # Restricts every leg as an "only" rule does; None: no restriction.
    server_filter: Callable[[Generation, Server], bool] | None = None

    def update_servers(self, servers: Iterable[Server]) -> None:
        """Recomputes what depends on the list of servers."""
        present = [server for server in servers if server.state != "gone"]
        for rule in self.rules:
            roles = self.roles.get(rule.name, rule.roles)
            self.roles[rule.name] = roles.union(server.role for server in present if server in rule.where)
        weights: dict[Role, set[float]] = {}
        for server in present:
            weights.setdefault(server.role, set()).add(server.weight)
        self.max_weight = {role: max(values) for role, values in weights.items() if len(values) > 1}

    def clock(self, now: Time) -> tuple[int, int]:
        """Day of the week (0 is Monday) and minute of the day."""
        minutes = (now + self.epoch) // MINUTE + self.utc_offset
        return (minutes // DAY_MINUTES + FIRST_DAY) % 7, minutes % DAY_MINUTES

    @property
    def binding(self) -> bool:
        """Whether anything here binds every leg, as "only" and "never" do."""
        return self.server_filter is not None or any(rule.how in ("only", "never") for rule in self.rules)

    def applicable(self, now: Time, gen: Generation, binding: bool) -> list[Rule]:
        """The rules that apply to the generation now: "only" and "never", or else "prefer" and "avoid"."""
        if not self.rules:
            return []
        day, minute = self.clock(now)
        hows = ("only", "never") if binding else ("prefer", "avoid")
        return [rule for rule in self.rules if rule.how in hows and rule.applies(gen, day, minute)]

    def allows(self, now: Time, gen: Generation, server: Server) -> bool:
        """Whether the binding rules allow a leg of the generation at the server.

        Called for one server after another, so the rules of the latest generation are cached.
        """
        if self.server_filter is not None and not self.server_filter(gen, server):
            return False
        if self.last_binding is None or self.last_binding[:2] != (gen, now):
            self.last_binding = gen, now, self.applicable(now, gen, binding=True)
        return all(
            (server in rule.where) is (rule.how == "only")
            for rule in self.last_binding[2]
            if rule.how == "never" or server.role in self.roles.get(rule.name, ())
        )

    def narrow(
        self, now: Time, gen: Generation, role: Role, candidates: list[ServerState]
    ) -> list[ServerState]:
        """The candidates that "prefer", "avoid" and weights leave; one that would leave none is ignored."""
        for rule in self.applicable(now, gen, binding=False):
            if role in self.roles.get(rule.name, ()):
                candidates = [
                    seat for seat in candidates if (seat.server in rule.where) is (rule.how == "prefer")
                ] or candidates
        max_weight = self.max_weight.get(role)
        if max_weight is not None:
            hashed = crc32((gen.session or gen.name).encode())
            candidates = [
                seat
                for seat in candidates
                if mix_hashes(seat.hash, hashed) < seat.server.weight / max_weight * 2**32
            ] or candidates
        return candidates


class WeightedGuard(Dispatcher):
    """The chain's guard, with its choice narrowed by "prefer", "avoid" and weights."""

    def __init__(
        self, fleet: Fleet, max_legs: int, max_retry_after: Time, holds: HeldState, preferences: Preferences
    ) -> None:
        super().__init__(fleet, max_legs, max_retry_after, holds)
        self.preferences = preferences

    def candidates(self, role: Role, now: Time, gen: Generation) -> list[ServerState]:
        return self.preferences.narrow(now, gen, role, super().candidates(role, now, gen))


class BindingGuard(WeightedGuard):
    """Also enforces "only", "never" and the server filter, which bind every leg."""

    UNIFORM_CHECK = False

    def may_send(self, now: Time, gen: Generation, server: Server) -> bool:
        return super().may_send(now, gen, server) and self.preferences.allows(now, gen, server)


class RuledBrain(Brain):
    """`Brain` with one of the guards above.

    Without rules and with equal weights it decides exactly as `Brain`.
    """

    def __init__(self, gateway: Gateway, seed: int, preferences: Preferences, **arguments: Any) -> None:
        super().__init__(gateway, seed, **arguments)
        self.set_preferences(preferences)

    def set_preferences(self, preferences: Preferences) -> None:
        """Replaces the rules from the next decision on. Legs under way are not affected."""
        self.preferences, old = preferences, self.dispatcher
        guard_class = BindingGuard if preferences.binding else WeightedGuard
        self.dispatcher = guard_class(
            self.fleet, old.max_legs, old.max_retry_after, old.held_state, preferences
        )
        for stage in (self.admission, self.affinity, self.reader, self.writer):
            stage.dispatcher = self.dispatcher
        preferences.update_servers(self.fleet.server_states)

    def continue_slow_start(self, before: "RuledBrain") -> None:
        """Continues the slow start of cold servers from the state of `before`, which admits them no longer.

        Guards rule 4: two modules at once, or one that is replaced again and again, would each send a cold
        server a budget of its own.
        """
        turns = {server.name: seat.admission_credit for server, seat in before.fleet.server_states.items()}
        for server, seat in self.fleet.server_states.items():
            seat.admission_credit = turns.get(server.name, seat.admission_credit)
        before.fleet.cold_budget = 0.0

    def roster(self, now: Time, servers: list[Server], complete: bool) -> None:
        super().roster(now, servers, complete)
        self.preferences.update_servers(self.fleet.server_states)

"""Operators' own rules on where work goes, around the chain of `Brain`. Pure; only the standard library.

A rule names products, customers and hours, and servers that such work goes to only, rather, rather not or never. It
can only narrow what the chain would choose from: no rule adds a server, a leg or an answer, so the five rules hold
with any of them. "only" and "never" bind every leg, also that of a session's later turn; "prefer", "avoid" and
weights give way where they would leave nothing, and never move a later turn from its writer.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Literal
from zlib import crc32

from stackpitch.brain import Brain, Dispatcher, Fleet, HeldState, ServerState, mix_hashes
from stackpitch.interface import Gateway, Generation, Role, Server, Time

MINUTE, DAY_MINUTES = 600_000, 1440
DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
FIRST_DAY = 3  # the first day of Unix time was a Thursday


@dataclass(frozen=True, slots=True)
class Hours:
    """Minutes of the day from `begin` up to `end`; past midnight if `end` is not later. The day is that of `begin`."""

    begin: int
    end: int
    days: frozenset[int] = frozenset(range(7))

    def at(self, day: int, minute: int) -> bool:
        if self.begin < self.end:
            return day in self.days and self.begin <= minute < self.end
        return (day in self.days and minute >= self.begin) or (
            (day - 1) % 7 in self.days and minute < self.end
        )


@dataclass(frozen=True, slots=True)
class Servers:
    """Servers that are named in each way that says something; empty ways say nothing."""

    names: frozenset[str] = frozenset()
    cells: frozenset[int] = frozenset()
    zones: frozenset[str] = frozenset()
    kinds: frozenset[str] = frozenset()
    roles: frozenset[str] = frozenset()

    def __contains__(self, server: Server) -> bool:
        return all(
            not wanted or found in wanted
            for wanted, found in (
                (self.names, server.name),
                (self.cells, server.cell),
                (self.zones, server.zone),
                (self.kinds, server.kind),
                (self.roles, server.role),
            )
        )


@dataclass(frozen=True, slots=True)
class Rule:
    """`how` work of these products and customers (empty: all) goes to `where` in these hours (empty: always).

    A rule says nothing of a role that none of the servers of `where` ever had: "only in rack 1" leaves readers as
    they are if rack 1 has writers alone.
    """

    name: str
    how: Literal["only", "prefer", "avoid", "never"]
    where: Servers
    products: frozenset[str] = frozenset()
    customers: frozenset[str] = frozenset()
    hours: tuple[Hours, ...] = ()
    roles: frozenset[Role] = frozenset()  # that it is known to speak of, whatever the list holds

    def meets(self, gen: Generation, day: int, minute: int) -> bool:
        customer = gen.customer.name if gen.customer is not None else None
        return (
            (not self.products or gen.product.name in self.products)
            and (not self.customers or customer in self.customers)
            and (not self.hours or any(one.at(day, minute) for one in self.hours))
        )


@dataclass(slots=True)
class Preferences:
    """The rules in force. `epoch` is Unix time, in tenths of a millisecond, at which the gateway's clock was 0; both
    offsets in minutes."""

    rules: tuple[Rule, ...] = ()
    epoch: Time = 0
    utc_offset: int = 0
    roles: dict[str, frozenset[Role]] = field(
        default_factory=dict
    )  # that a rule speaks of, also once all there are lost
    heaviest: dict[Role, float] = field(
        default_factory=dict
    )  # weight by role; empty while all weigh the same
    last: tuple[Generation, Time, list[Rule]] | None = None
    server_filter: Callable[[Generation, Server], bool] | None = (
        None  # binds every leg as "only" does; None: says nothing
    )

    def listed(self, servers: Iterable[Server]) -> None:
        """Takes the present list."""
        known = [one for one in servers if one.state != "gone"]
        for rule in self.rules:
            spoken = self.roles.get(rule.name, rule.roles)
            self.roles[rule.name] = spoken.union(one.role for one in known if one in rule.where)
        weights: dict[Role, set[float]] = {}
        for one in known:
            weights.setdefault(one.role, set()).add(one.weight)
        self.heaviest = {role: max(found) for role, found in weights.items() if len(found) > 1}

    def clock(self, now: Time) -> tuple[int, int]:
        """Day of the week, from Monday, and minute of the day."""
        minutes = (now + self.epoch) // MINUTE + self.utc_offset
        return (minutes // DAY_MINUTES + FIRST_DAY) % 7, minutes % DAY_MINUTES

    @property
    def hard(self) -> bool:
        return self.server_filter is not None or any(one.how in ("only", "never") for one in self.rules)

    def meeting(self, now: Time, gen: Generation, hard: bool) -> list[Rule]:
        if not self.rules:
            return []
        day, minute = self.clock(now)
        hows = ("only", "never") if hard else ("prefer", "avoid")
        return [one for one in self.rules if one.how in hows and one.meets(gen, day, minute)]

    def may(self, now: Time, gen: Generation, server: Server) -> bool:
        """Whether "only" and "never" leave it open. Asked for server after server: the last rules are kept."""
        if self.server_filter is not None and not self.server_filter(gen, server):
            return False
        if self.last is None or self.last[:2] != (gen, now):
            self.last = gen, now, self.meeting(now, gen, hard=True)
        return all(
            (server in rule.where) is (rule.how == "only")
            for rule in self.last[2]
            if rule.how == "never" or server.role in self.roles.get(rule.name, ())
        )

    def narrow(self, now: Time, gen: Generation, role: Role, seats: list[ServerState]) -> list[ServerState]:
        """What "prefer", "avoid" and weights leave, each as far as it leaves anything."""
        for rule in self.meeting(now, gen, hard=False):
            if role in self.roles.get(rule.name, ()):
                seats = [
                    one for one in seats if (one.server in rule.where) is (rule.how == "prefer")
                ] or seats
        heaviest = self.heaviest.get(role)
        if heaviest is not None:
            mark = crc32((gen.session or gen.name).encode())
            seats = [
                one for one in seats if mix_hashes(one.hash, mark) < one.server.weight / heaviest * 2**32
            ] or seats
        return seats


class WeightedGuard(Dispatcher):
    """The guard of the chain, with fewer servers to choose from where that leaves any."""

    def __init__(
        self, fleet: Fleet, max_legs: int, max_retry_after: Time, holds: HeldState, preferences: Preferences
    ) -> None:
        super().__init__(fleet, max_legs, max_retry_after, holds)
        self.preferences = preferences

    def candidates(self, role: Role, now: Time, gen: Generation) -> list[ServerState]:
        return self.preferences.narrow(now, gen, role, super().candidates(role, now, gen))


class RuledGuard(WeightedGuard):
    """With "only" and "never" as well, which bind every leg."""

    UNIFORM_CHECK = False

    def may_send(self, now: Time, gen: Generation, server: Server) -> bool:
        return super().may_send(now, gen, server) and self.preferences.may(now, gen, server)


class RuledBrain(Brain):
    """`Brain` with one of the guards above; without rules and with equal weights it does just what `Brain` does."""

    def __init__(self, gateway: Gateway, seed: int, preferences: Preferences, **arguments: Any) -> None:
        super().__init__(gateway, seed, **arguments)
        self.set_preferences(preferences)

    def set_preferences(self, preferences: Preferences) -> None:
        """Takes other rules, from the next decision on. What is under way stays as it is."""
        self.preferences, old = preferences, self.dispatcher
        kind = RuledGuard if preferences.hard else WeightedGuard
        self.dispatcher = kind(self.fleet, old.max_legs, old.max_retry_after, old.held_state, preferences)
        for stage in (self.admission, self.affinity, self.reader, self.writer):
            stage.dispatcher = self.dispatcher
        preferences.listed(self.fleet.server_states)

    def continue_slow_start(self, before: "RuledBrain") -> None:
        """Counts cold servers' turns on from where the module before stands, which draws none any more. Guards rule 4: two
        modules at once, or one made anew again and again, would each send a cold server a budget of its own."""
        turns = {server.name: seat.admission_credit for server, seat in before.fleet.server_states.items()}
        for server, seat in self.fleet.server_states.items():
            seat.admission_credit = turns.get(server.name, seat.admission_credit)
        before.fleet.cold_budget = 0.0

    def roster(self, now: Time, servers: list[Server], complete: bool) -> None:
        super().roster(now, servers, complete)
        self.preferences.listed(self.fleet.server_states)

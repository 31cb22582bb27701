"""Decides which proposed lists come into force, when, and in how many steps. Pure: no I/O, no clock.

What a list says outright is done at once: a new server, a weight, a drain. What it leaves out is doubted, as that is
what half-written and mistaken lists have in common: many servers missing at once leave in steps, and a list that would
leave a role, cell or zone without a ready server is held back until somebody confirms it or it has stood for a while.
Servers that come and go are kept out until they are calm. Times are whole tenths of a millisecond.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Literal
from zlib import crc32

import msgspec

from stackpitch.interface import Role, Time
from stackpitch.membership.entries import Entry, Proposal

Outcome = Literal["accepted", "in steps", "held back", "rejected", "repeated"]


@dataclass(frozen=True, slots=True)
class RegistrarConfig:
    """`step_share`: part of a role's ready servers that may be missing at once, or from one step to the next."""

    step_share: float
    step_time: Time
    persist: Time
    flap_count: (
        int  # changes of a server between there and not there, within `flap_window`, that make it flap
    )
    flap_window: Time
    flap_calm: Time  # without a change, after which it is taken back


@dataclass(frozen=True, slots=True)
class Verdict:
    """What became of a proposal, or of time going by. `entries`: the list in force now, or None if it did not change."""

    outcome: Outcome
    reasons: tuple[str, ...] = ()
    entries: tuple[Entry, ...] | None = None


@dataclass(slots=True)
class Held:
    """A list that waits to be confirmed or to have stood for long enough."""

    proposal: Proposal
    reasons: tuple[str, ...]
    until: Time


@dataclass(slots=True)
class Flap:
    """One server's changes between there and not there, the latest last. Bounded by the count that makes it flap."""

    there: bool
    changes: deque[Time]
    damped: bool = False


@dataclass(slots=True)
class Source:
    """One place that lists come from. Later lists replace earlier ones."""

    order: int
    version: int = -1
    digest: str = ""
    entries: dict[str, Entry] = field(
        default_factory=dict
    )  # wanted by its last list that was not held or rejected
    held: Held | None = None


class Registrar:
    """The fleet as one gateway has it. All tables are bounded by what lists name; `flaps` empties by calm."""

    def __init__(
        self, config: RegistrarConfig, roles: Mapping[str, Role], sources: Iterable[str] = ("file",)
    ) -> None:
        self.config, self.roles = config, roles
        self.sources = {name: Source(order) for order, name in enumerate(sources)}
        self.in_force: dict[str, Entry] = {}
        self.flaps: dict[str, Flap] = {}
        self.next_step: Time | None = None  # while servers leave in steps
        self.leaving: list[str] = []  # missing from the list, still in force until their step

    # What comes in.

    def propose(self, now: Time, proposal: Proposal, force: bool = False) -> Verdict:
        """`force`: somebody asked for just this list, so its version may be lower and nothing is doubted."""
        source = self.sources[proposal.source]
        if not force:
            if proposal.digest == source.digest and not source.held:
                source.version = max(source.version, proposal.version)
                return Verdict("repeated")
            if source.held is not None and proposal.digest == source.held.proposal.digest:
                return Verdict("repeated", source.held.reasons)
            if proposal.version < source.version:
                return Verdict(
                    "rejected",
                    (f"version {proposal.version} is older than {source.version}, which is in force",),
                )
        reasons = (
            []
            if proposal.version != source.version or force
            else [f"version {proposal.version} again, with other content"]
        )
        source.held = None
        wrong = self._meaning(proposal, force)
        if wrong:
            return Verdict("rejected", tuple(wrong))
        self._note_flaps(now, source, proposal)
        doubts = [] if force or not self.in_force else self._doubts(source, proposal)
        if doubts:
            seconds = self.config.persist / 10_000
            reasons += [*doubts, f"taken once it is confirmed, or has stood unchanged for {seconds:g} s"]
            source.held = Held(proposal, tuple(reasons), now + self.config.persist)
            return Verdict("held back", tuple(reasons))
        return self._take(now, source, proposal, reasons, at_once=force or not self.in_force)

    def confirm(self, now: Time, digest: str) -> Verdict:
        """Somebody has looked at the held list and wants it, at once and whole."""
        for source in self.sources.values():
            held = source.held
            if held is not None and held.proposal.digest.startswith(digest):
                source.held = None
                return self._take(now, source, held.proposal, ["confirmed"], at_once=True)
        waiting = [one.held.proposal.digest for one in self.sources.values() if one.held is not None]
        return Verdict("rejected", (f"no held list {digest!r}; held: {', '.join(waiting) or 'none'}",))

    def tick(self, now: Time) -> Verdict | None:
        """What time brings about: a held list has stood, the next step is due, a server has calmed down."""
        for source in self.sources.values():
            held = source.held
            if held is not None and now >= held.until:
                source.held = None
                return self._take(now, source, held.proposal, ["it has stood unchanged"], at_once=False)
        calm = [name for name, flap in self.flaps.items() if now >= self._calm_at(flap)]
        for name in calm:
            del self.flaps[name]
        if (self.next_step is not None and now >= self.next_step) or calm:
            before = self.in_force
            self._advance(now, at_once=False)
            if self.in_force != before:
                return self._verdict([f"calm again: {name}" for name in calm if name in self.in_force])
        return None

    def due(self) -> Time | None:
        """When `tick` has something to do."""
        times = [one.held.until for one in self.sources.values() if one.held is not None]
        times += [self._calm_at(one) for one in self.flaps.values()]
        times += [self.next_step] if self.next_step is not None else []
        return min(times, default=None)

    # What is doubted.

    def _meaning(self, proposal: Proposal, force: bool) -> list[str]:
        wrong, names, addresses = [], Counter[str](), dict[tuple[str, int], str]()
        for one in proposal.entries:
            names[one.name] += 1
            if one.kind not in self.roles:
                wrong.append(f"{one.name}: kind {one.kind!r} is not known; allowed: {', '.join(self.roles)}")
            if one.weight <= 0:
                wrong.append(f"{one.name}: weight {one.weight:g}; more than 0 is allowed")
            if (other := addresses.setdefault(one.address, one.name)) != one.name:
                wrong.append(f"{one.name}: {one.host}:{one.port} is the address of {other}")
        wrong += [f"{name}: listed {count} times" for name, count in names.items() if count > 1]
        if not proposal.entries:
            wrong.append("no server is listed")
        elif not (
            self.in_force
            or force
            or {"writer", "mixed"} & {self.roles.get(one.kind) for one in proposal.entries}
        ):
            wrong.append("no server that writes is listed")  # later lists without one are doubted, not wrong
        return wrong

    def _merged(self, source: Source, entries: Mapping[str, Entry]) -> dict[str, Entry]:
        """All sources together, with these entries for one of them. The first source's facts hold; any drain does."""
        told = [entries if one is source else one.entries for one in self.sources.values()]
        if sum(map(bool, told)) < 2:
            return dict(next(filter(None, told), {}))
        found: dict[str, Entry] = {}
        for one in sorted(self.sources.values(), key=lambda one: one.order):
            for name, entry in (entries if one is source else one.entries).items():
                earlier = found.get(name)
                if earlier is None:
                    found[name] = entry
                elif entry.address == earlier.address and entry.state == "draining":
                    found[name] = msgspec.structs.replace(earlier, state="draining")
        return found

    def _doubts(self, source: Source, proposal: Proposal) -> list[str]:
        """Roles, cells and zones that would be left without a ready server by what is missing."""
        target = self._merged(source, {one.name: one for one in proposal.entries})
        missing = [one for name, one in self.in_force.items() if name not in target and one.state == "ready"]
        doubts: list[str] = []
        if not missing:
            return doubts
        for what, of in (
            ("role", lambda one: self.roles[one.kind]),
            ("cell", lambda one: one.cell),
            ("zone", lambda one: one.zone),
        ):
            left = {of(one) for one in target.values()}
            for value in sorted({of(one) for one in missing} - left, key=str):
                count = sum(of(one) == value for one in missing)
                doubts.append(f"{what} {value!r} would have no server: all {count} are missing")
        return doubts

    def _note_flaps(self, now: Time, source: Source, proposal: Proposal) -> None:
        listed = {one.name for one in proposal.entries if one.state == "ready"}
        known = {name for name, one in source.entries.items() if one.state == "ready"}
        for name in listed ^ known:
            if not source.entries:
                return  # the first list
            flap = self.flaps.get(name)
            if flap is None:
                flap = self.flaps[name] = Flap(name in known, deque(maxlen=self.config.flap_count))
            flap.there = name in listed
            flap.changes.append(now)
            full = len(flap.changes) == self.config.flap_count
            flap.damped = flap.damped or (full and now - flap.changes[0] <= self.config.flap_window)

    def _calm_at(self, flap: Flap) -> Time:
        return flap.changes[-1] + (self.config.flap_calm if flap.damped else self.config.flap_window)

    # What comes into force.

    def _take(
        self, now: Time, source: Source, proposal: Proposal, reasons: list[str], at_once: bool
    ) -> Verdict:
        clashes = []
        for one in proposal.entries:
            for name, other in self.sources.items():
                there = other.entries.get(one.name)
                if other is not source and there is not None and there.address != one.address:
                    first = name if other.order < source.order else proposal.source
                    clashes.append(f"{one.name}: {name} has another address; that of {first} holds")
        source.version, source.digest = proposal.version, proposal.digest
        source.entries = {one.name: one for one in proposal.entries}
        self._advance(now, at_once)
        return self._verdict([*reasons, *clashes[:5]])

    def _advance(self, now: Time, at_once: bool) -> None:
        """One step towards what is wanted."""
        anyone = next(iter(self.sources.values()))
        target = self._merged(anyone, anyone.entries)
        for name, flap in self.flaps.items():
            if flap.damped and name in target:
                target[name] = msgspec.structs.replace(target[name], state="draining")
        missing = [one for name, one in self.in_force.items() if name not in target]
        stay: list[Entry] = []
        if not at_once:
            ready = Counter(self.roles[one.kind] for one in self.in_force.values() if one.state == "ready")
            gone: Counter[Role] = Counter()
            for one in sorted(missing, key=lambda one: crc32(one.name.encode())):
                role = self.roles[one.kind]
                if one.state == "ready" and gone[role] + 1 > max(
                    1, int(self.config.step_share * ready[role])
                ):
                    stay.append(one)
                elif one.state == "ready":
                    gone[role] += 1
        self.in_force = target | {one.name: one for one in stay}
        self.leaving = [one.name for one in stay]
        self.next_step = now + self.config.step_time if stay else None

    def _verdict(self, reasons: list[str]) -> Verdict:
        entries = tuple(self.in_force.values())
        damped = sorted(name for name, flap in self.flaps.items() if flap.damped and name in self.in_force)
        if damped:
            reasons = [*reasons, f"come and go, so kept out until calm: {', '.join(damped[:8])}"]
        if self.leaving:
            seconds = self.config.step_time / 10_000
            return Verdict(
                "in steps", (*reasons, f"{len(self.leaving)} more leave, a step each {seconds:g} s"), entries
            )
        return Verdict("accepted", tuple(reasons), entries)

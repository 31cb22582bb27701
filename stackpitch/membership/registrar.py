"""Decides which proposed server lists take effect, when, and in how many steps. No I/O, no clock.

Explicit changes take effect at once: new servers, weights, draining. Removals are treated with caution,
because missing servers are typical of truncated and mistaken lists: if many are missing at once, they are
removed in steps, and a list that would leave a role, cell or zone without a ready server is held back until
an operator confirms it or it has been unchanged for a while. Flapping servers, which are added and removed
repeatedly, are kept out until they are stable. Times are integers in tenths of a millisecond.
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
    """Limits. `step_share`: fraction of a role's ready servers that may be removed in one step."""

    step_share: float
    step_time: Time
    persist: Time  # a held list takes effect after being unchanged for so long
    flap_count: int  # additions and removals of a server within `flap_window` that make it flapping
    flap_window: Time
    flap_calm: Time  # without a change, after which a flapping server is used again


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a proposal or of `tick`. `entries`: the list now in force, None if it did not change."""

    outcome: Outcome
    reasons: tuple[str, ...] = ()
    entries: tuple[Entry, ...] | None = None


@dataclass(slots=True)
class HeldProposal:
    """A list that waits for confirmation, or until it has been unchanged for long enough."""

    proposal: Proposal
    reasons: tuple[str, ...]
    until: Time


@dataclass(slots=True)
class Flap:
    """Times at which a server was added or removed, at most `flap_count`. `damped`: it is flapping."""

    listed: bool
    changes: deque[Time]
    damped: bool = False


@dataclass(slots=True)
class Source:
    """A source of lists. Its later lists replace earlier ones."""

    order: int
    version: int = -1
    digest: str = ""
    # Target: the entries of its last list that was neither held nor rejected.
    entries: dict[str, Entry] = field(default_factory=dict)
    held: HeldProposal | None = None


class Registrar:
    """The server list in force at one gateway.

    All tables are bounded by the servers that lists name; entries leave `flaps` when a server is stable.
    """

    def __init__(
        self, config: RegistrarConfig, roles: Mapping[str, Role], sources: Iterable[str] = ("file",)
    ) -> None:
        self.config, self.roles = config, roles
        self.sources = {name: Source(order) for order, name in enumerate(sources)}
        self.in_force: dict[str, Entry] = {}
        self.flaps: dict[str, Flap] = {}
        self.next_step: Time | None = None  # while servers are removed in steps
        self.leaving: list[str] = []  # not listed any more, but in force until their step

    # Input.

    def propose(self, now: Time, proposal: Proposal, force: bool = False) -> Verdict:
        """Handles a new list.

        `force`: an operator asked for it, so an older version is allowed and it is not held back.
        """
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
        problems = self._problems(proposal, force)
        if problems:
            return Verdict("rejected", tuple(problems))
        self._note_flaps(now, source, proposal)
        doubts = [] if force or not self.in_force else self._doubts(source, proposal)
        if doubts:
            seconds = self.config.persist / 10_000
            reasons += [*doubts, f"taken once it is confirmed, or has stood unchanged for {seconds:g} s"]
            source.held = HeldProposal(proposal, tuple(reasons), now + self.config.persist)
            return Verdict("held back", tuple(reasons))
        return self._apply(now, source, proposal, reasons, at_once=force or not self.in_force)

    def confirm(self, now: Time, digest: str) -> Verdict:
        """Applies the held list with this digest (or prefix) at once, as an operator confirmed it."""
        for source in self.sources.values():
            held = source.held
            if held is not None and held.proposal.digest.startswith(digest):
                source.held = None
                return self._apply(now, source, held.proposal, ["confirmed"], at_once=True)
        waiting = [other.held.proposal.digest for other in self.sources.values() if other.held is not None]
        return Verdict("rejected", (f"no held list {digest!r}; held: {', '.join(waiting) or 'none'}",))

    def tick(self, now: Time) -> Verdict | None:
        """Handles what is due: a held list, the next removal step, a server that has become stable."""
        for source in self.sources.values():
            held = source.held
            if held is not None and now >= held.until:
                source.held = None
                return self._apply(now, source, held.proposal, ["it has stood unchanged"], at_once=False)
        stable = [name for name, flap in self.flaps.items() if now >= self._stable_at(flap)]
        for name in stable:
            del self.flaps[name]
        if (self.next_step is not None and now >= self.next_step) or stable:
            before = self.in_force
            self._advance(now, at_once=False)
            if self.in_force != before:
                return self._verdict([f"calm again: {name}" for name in stable if name in self.in_force])
        return None

    def due(self) -> Time | None:
        """When `tick` has to be called next; None: not before the next proposal."""
        times = [source.held.until for source in self.sources.values() if source.held is not None]
        times += [self._stable_at(flap) for flap in self.flaps.values()]
        times += [self.next_step] if self.next_step is not None else []
        return min(times, default=None)

    # Validation.

    def _problems(self, proposal: Proposal, force: bool) -> list[str]:
        """Why the list is rejected; empty if it is valid."""
        problems, names, addresses = [], Counter[str](), dict[tuple[str, int], str]()
        for entry in proposal.entries:
            names[entry.name] += 1
            if entry.kind not in self.roles:
                problems.append(
                    f"{entry.name}: kind {entry.kind!r} is not known; allowed: {', '.join(self.roles)}"
                )
            if entry.weight <= 0:
                problems.append(f"{entry.name}: weight {entry.weight:g}; more than 0 is allowed")
            if (other := addresses.setdefault(entry.address, entry.name)) != entry.name:
                problems.append(f"{entry.name}: {entry.host}:{entry.port} is the address of {other}")
        problems += [f"{name}: listed {count} times" for name, count in names.items() if count > 1]
        if not proposal.entries:
            problems.append("no server is listed")
        elif not (
            self.in_force
            or force
            or {"writer", "mixed"} & {self.roles.get(entry.kind) for entry in proposal.entries}
        ):
            # Later lists without one are held back instead.
            problems.append("no server that writes is listed")
        return problems

    def _merged(self, source: Source, entries: Mapping[str, Entry]) -> dict[str, Entry]:
        """Merges all sources, with `entries` for one of them. The first source of a server has precedence,
        except that any source can drain it."""
        lists = [entries if other is source else other.entries for other in self.sources.values()]
        if sum(map(bool, lists)) < 2:
            return dict(next(filter(None, lists), {}))
        merged: dict[str, Entry] = {}
        for other in sorted(self.sources.values(), key=lambda other: other.order):
            for name, entry in (entries if other is source else other.entries).items():
                earlier = merged.get(name)
                if earlier is None:
                    merged[name] = entry
                elif entry.address == earlier.address and entry.state == "draining":
                    merged[name] = msgspec.structs.replace(earlier, state="draining")
        return merged

    def _doubts(self, source: Source, proposal: Proposal) -> list[str]:
        """Roles, cells and zones that would lose all their ready servers: reasons to hold the list back."""
        target = self._merged(source, {entry.name: entry for entry in proposal.entries})
        missing = [
            entry for name, entry in self.in_force.items() if name not in target and entry.state == "ready"
        ]
        doubts: list[str] = []
        if not missing:
            return doubts
        for dimension, value_of in (
            ("role", lambda entry: self.roles[entry.kind]),
            ("cell", lambda entry: entry.cell),
            ("zone", lambda entry: entry.zone),
        ):
            remaining = {value_of(entry) for entry in target.values()}
            for value in sorted({value_of(entry) for entry in missing} - remaining, key=str):
                count = sum(value_of(entry) == value for entry in missing)
                doubts.append(f"{dimension} {value!r} would have no server: all {count} are missing")
        return doubts

    def _note_flaps(self, now: Time, source: Source, proposal: Proposal) -> None:
        """Records the servers that the list adds or removes, counting draining ones as removed."""
        listed = {entry.name for entry in proposal.entries if entry.state == "ready"}
        known = {name for name, entry in source.entries.items() if entry.state == "ready"}
        for name in listed ^ known:
            if not source.entries:
                return  # the first list
            flap = self.flaps.get(name)
            if flap is None:
                flap = self.flaps[name] = Flap(name in known, deque(maxlen=self.config.flap_count))
            flap.listed = name in listed
            flap.changes.append(now)
            full = len(flap.changes) == self.config.flap_count
            flap.damped = flap.damped or (full and now - flap.changes[0] <= self.config.flap_window)

    def _stable_at(self, flap: Flap) -> Time:
        return flap.changes[-1] + (self.config.flap_calm if flap.damped else self.config.flap_window)

    # Applying lists.

    def _apply(
        self, now: Time, source: Source, proposal: Proposal, reasons: list[str], at_once: bool
    ) -> Verdict:
        conflicts = []
        for entry in proposal.entries:
            for name, other in self.sources.items():
                other_entry = other.entries.get(entry.name)
                if other is not source and other_entry is not None and other_entry.address != entry.address:
                    first = name if other.order < source.order else proposal.source
                    conflicts.append(f"{entry.name}: {name} has another address; that of {first} holds")
        source.version, source.digest = proposal.version, proposal.digest
        source.entries = {entry.name: entry for entry in proposal.entries}
        self._advance(now, at_once)
        return self._verdict([*reasons, *conflicts[:5]])

    def _advance(self, now: Time, at_once: bool) -> None:
        """Takes one step from the list in force towards the merged target."""
        any_source = next(iter(self.sources.values()))
        target = self._merged(any_source, any_source.entries)
        for name, flap in self.flaps.items():
            if flap.damped and name in target:
                target[name] = msgspec.structs.replace(target[name], state="draining")
        missing = [entry for name, entry in self.in_force.items() if name not in target]
        staying: list[Entry] = []
        if not at_once:
            ready = Counter(
                self.roles[entry.kind] for entry in self.in_force.values() if entry.state == "ready"
            )
            removed: Counter[Role] = Counter()
            for entry in sorted(missing, key=lambda entry: crc32(entry.name.encode())):
                role = self.roles[entry.kind]
                if entry.state == "ready" and removed[role] + 1 > max(
                    1, int(self.config.step_share * ready[role])
                ):
                    staying.append(entry)
                elif entry.state == "ready":
                    removed[role] += 1
        self.in_force = target | {entry.name: entry for entry in staying}
        self.leaving = [entry.name for entry in staying]
        self.next_step = now + self.config.step_time if staying else None

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

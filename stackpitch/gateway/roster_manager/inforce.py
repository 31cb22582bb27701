"""The list in force: what the registrar lets through is applied, told and kept."""

from typing import Any

from stackpitch.gateway.host import Host
from stackpitch.gateway.logs import Log
from stackpitch.gateway.metrics import Metrics
from stackpitch.gateway.roster_manager.history import History
from stackpitch.loop import World
from stackpitch.membership.bundle import Bundle
from stackpitch.membership.entries import Change, Entry, Proposal, diff
from stackpitch.membership.registrar import Registrar, RegistrarConfig, Verdict
from stackpitch.membership.store import AppliedList
from stackpitch.settings import Settings
from stackpitch.settings.convert import kinds, ticks


def figures(settings: Settings) -> RegistrarConfig:
    one = settings.membership
    return RegistrarConfig(
        one.step_share,
        ticks(one.step_ms),
        ticks(one.persist_ms),
        one.flap_count,
        ticks(one.flap_window_ms),
        ticks(one.flap_calm_ms),
    )


class InForce:
    def __init__(
        self, world: World, log: Log, metrics: Metrics, host: Host, history: History, settings: Settings
    ) -> None:
        self.world, self.log, self.metrics, self.host, self.history = world, log, metrics, host, history
        self.registrar = Registrar(
            figures(settings), {name: role for name, (role, _) in kinds(settings).items()}
        )
        self.bad: tuple[str, ...] = ()  # what was wrong with the files, reported already
        self.last: tuple[str, tuple[str, ...]] = "", ()  # the last verdict's word and reasons
        self.version = -1
        self.applied: dict[str, Entry] = {}  # as the module has it

    def again(self, last: AppliedList) -> None:
        """What was in force before a restart; files are then judged against it as at any other time."""
        proposal = Proposal("file", last.version, last.digest, last.entries)
        self.take(
            self.registrar.propose(self.world.now(), proposal, force=True),
            last.version,
            last.digest,
            kept=False,
        )

    def propose(self, bundle: Bundle, force: bool) -> Verdict:
        proposal = Proposal("file", bundle.version, bundle.digest, bundle.entries)
        return self.registrar.propose(self.world.now(), proposal, force)

    def tick(self) -> None:
        held = [one.held.proposal for one in self.registrar.sources.values() if one.held is not None]
        verdict = self.registrar.tick(self.world.now())
        if verdict is not None:
            version, told = (
                (held[0].version, held[0].digest)
                if held and not any(one.held for one in self.registrar.sources.values())
                else (self.version, "")
            )
            self.take(verdict, version, told)

    def changed(self, verdict: Verdict) -> Change:
        return (
            Change()
            if verdict.entries is None
            else diff(self.applied, {one.name: one for one in verdict.entries})
        )

    def take(
        self, verdict: Verdict, version: int, told: str, kept: bool = True, changed: Change | None = None
    ) -> None:
        """Applies what is in force now. `kept`: it is to be kept; one that was kept before a restart may be old."""
        if verdict.entries is None:
            return
        changed = changed if changed is not None else self.changed(verdict)
        self.applied, self.version = {one.name: one for one in verdict.entries}, version
        self.last = verdict.outcome, verdict.reasons
        self.metrics.rosters.labels(verdict.outcome).inc()
        self.log.info(
            "list",
            word=verdict.outcome,
            version=version,
            digest=told,
            changed=changed.text(),
            why="; ".join(verdict.reasons),
        )
        self.host.apply_roster(version, verdict.entries, current=kept)
        if kept and told:
            entries = tuple(self.registrar.sources["file"].entries.values())
            self.history.keep(version, told, entries, verdict, changed.text())

    def held_back(self, verdict: Verdict, bundle: Bundle) -> None:
        self.last = verdict.outcome, verdict.reasons
        self.metrics.rosters.labels(verdict.outcome).inc()
        self.log.warning(
            "list_held_back", version=bundle.version, digest=bundle.digest, why="; ".join(verdict.reasons)
        )
        self.history.note(verdict.outcome, bundle.version, bundle.digest, verdict.reasons)

    def unchanged(self, verdict: Verdict, version: int) -> None:
        """Nothing differs but perhaps the version."""
        self.host.roster.starts.confirm_current()  # also where a list from before a restart was in force so far
        self.last = verdict.outcome, ()
        self.version = self.host.roster.version = max(self.version, version)

    def rejected(self, problems: tuple[str, ...], version: int, told: str) -> None:
        """Once for each content."""
        self.bad = problems
        self.last = "rejected", self.bad
        self.metrics.rosters_rejected.inc()
        self.log.error("roster_rejected", why="\n".join(problems), in_force=self.version)
        self.history.note("rejected", version, told, problems)

    # What operators ask.

    def status(self) -> dict[str, Any]:
        held = [one.held for one in self.registrar.sources.values() if one.held is not None]
        word, reasons = self.last
        return {
            "version": self.version,
            "servers": len(self.registrar.in_force),
            "draining": sorted(
                one.name for one in self.registrar.in_force.values() if one.state == "draining"
            ),
            "last": word,
            "reasons": list(reasons),
            "leaving": sorted(self.registrar.leaving),
            "held": [
                {
                    "version": one.proposal.version,
                    "digest": one.proposal.digest,
                    "reasons": list(one.reasons),
                    "taken_in_ms": max(0, one.until - self.world.now()) // 10,
                }
                for one in held
            ],
            "flapping": sorted(name for name, one in self.registrar.flaps.items() if one.damped),
        }

    def confirm(self, told: str) -> str | None:
        held = next(
            (one.held.proposal for one in self.registrar.sources.values() if one.held is not None), None
        )
        verdict = self.registrar.confirm(self.world.now(), told)
        if verdict.outcome == "rejected" or held is None:
            return "; ".join(verdict.reasons)
        self.take(verdict, held.version, held.digest)
        return None

    def rollback(self, told: str) -> str | None:
        """To a list that was in force, whole and at once. It stays until the files change."""
        lists = self.history.lists
        found = (
            next((one for one in reversed(lists) if one.digest.startswith(told)), None)
            if told
            else (lists[-2] if len(lists) > 1 else None)
        )
        if found is None:
            return f"no list {told!r} is kept; kept: {', '.join(one.digest for one in lists[-5:]) or 'none'}"
        proposal = Proposal("file", found.version, found.digest, found.entries)
        verdict = self.registrar.propose(self.world.now(), proposal, force=True)
        if verdict.outcome == "rejected":
            return "; ".join(verdict.reasons)
        self.take(
            Verdict(verdict.outcome, (*verdict.reasons, "rolled back"), verdict.entries),
            found.version,
            found.digest,
        )
        return None

"""The list in force: applies, logs and persists what the registrar lets through."""

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
    """The registrar's parameters."""
    part = settings.membership
    return RegistrarConfig(
        part.step_share,
        ticks(part.step_ms),
        ticks(part.persist_ms),
        part.flap_count,
        ticks(part.flap_window_ms),
        ticks(part.flap_calm_ms),
    )


class ActiveRoster:
    """The list in force and the verdict on the last one.

    `applied`: the entries that the decision module has; replaced by each list.
    """

    def __init__(
        self, world: World, log: Log, metrics: Metrics, host: Host, history: History, settings: Settings
    ) -> None:
        self.world, self.log, self.metrics, self.host, self.history = world, log, metrics, host, history
        self.registrar = Registrar(
            figures(settings), {name: role for name, (role, _) in kinds(settings).items()}
        )
        self.problems: tuple[str, ...] = ()  # of the files, as they were reported last
        self.last_verdict: tuple[str, tuple[str, ...]] = "", ()  # its word and reasons
        self.version = -1
        self.applied: dict[str, Entry] = {}

    def restore(self, last: AppliedList) -> None:
        """Applies the list that was in force before a restart.

        The files are then compared with it as at any other time.
        """
        proposal = Proposal("file", last.version, last.digest, last.entries)
        self.apply(
            self.registrar.propose(self.world.now(), proposal, force=True),
            last.version,
            last.digest,
            is_new=False,
        )

    def propose(self, bundle: Bundle, settings: Settings, force: bool) -> Verdict:
        """The registrar's verdict on the list of the files, by the parameters of their own `settings`.

        `force`: without its doubts about missing servers.
        """
        proposal = Proposal("file", bundle.version, bundle.digest, bundle.entries)
        in_force, self.registrar.config = self.registrar.config, figures(settings)
        try:
            return self.registrar.propose(self.world.now(), proposal, force)
        finally:
            self.registrar.config = in_force

    @property
    def held_digest(self) -> str | None:
        """The digest of the list of the files that is held back, if one is."""
        held = self.registrar.sources["file"].held
        return None if held is None else held.proposal.digest

    @property
    def taken_digest(self) -> str:
        """The digest of the list of the files that was neither held back nor rejected."""
        return self.registrar.sources["file"].digest

    def tick(self) -> None:
        """Applies what the registrar lets through as time passes."""
        held = [source.held.proposal for source in self.registrar.sources.values() if source.held is not None]
        verdict = self.registrar.tick(self.world.now())
        if verdict is not None:
            version, digest = (
                (held[0].version, held[0].digest)
                if held and not any(source.held for source in self.registrar.sources.values())
                else (self.version, "")
            )
            self.apply(verdict, version, digest)

    def changed(self, verdict: Verdict) -> Change:
        """How the verdict's list differs from the one in force."""
        return (
            Change()
            if verdict.entries is None
            else diff(self.applied, {entry.name: entry for entry in verdict.entries})
        )

    def apply(
        self,
        verdict: Verdict,
        version: int,
        digest: str,
        is_new: bool = True,
        changed: Change | None = None,
    ) -> None:
        """Applies what is in force now.

        `is_new`: it is to be persisted; a list restored after a restart may be out of date.
        """
        if verdict.entries is None:
            return
        changed = changed if changed is not None else self.changed(verdict)
        self.applied, self.version = {entry.name: entry for entry in verdict.entries}, version
        self.last_verdict = verdict.outcome, verdict.reasons
        self.metrics.rosters.labels(verdict.outcome).inc()
        self.log.info(
            "list",
            word=verdict.outcome,
            version=version,
            digest=digest,
            changed=changed.text(),
            why="; ".join(verdict.reasons),
        )
        self.host.apply_roster(version, verdict.entries, current=is_new)
        if is_new and digest:
            entries = tuple(self.registrar.sources["file"].entries.values())
            self.history.keep(version, digest, entries, verdict, changed.text())

    def held_back(self, verdict: Verdict, bundle: Bundle) -> None:
        """Records a list that needs a confirmation."""
        self.last_verdict = verdict.outcome, verdict.reasons
        self.metrics.rosters.labels(verdict.outcome).inc()
        self.log.warning(
            "list_held_back", version=bundle.version, digest=bundle.digest, why="; ".join(verdict.reasons)
        )
        self.history.note(verdict.outcome, bundle.version, bundle.digest, verdict.reasons)

    def unchanged(self, verdict: Verdict, version: int) -> None:
        """Records a list with the same servers, perhaps of a later version."""
        self.host.roster.starts.confirm_current()  # also if the list in force was restored after a restart
        self.last_verdict = verdict.outcome, ()
        self.version = self.host.roster.version = max(self.version, version)

    def rejected(self, problems: tuple[str, ...], version: int, digest: str) -> None:
        """Records a list that can't be used. The caller does so once for each content."""
        self.problems = problems
        self.last_verdict = "rejected", self.problems
        self.metrics.rosters_rejected.inc()
        self.log.error("roster_rejected", why="\n".join(problems), in_force=self.version)
        self.history.note("rejected", version, digest, problems)

    # Operators' requests.

    def status(self) -> dict[str, Any]:
        """The list in force, the last verdict and what is held back."""
        held = [source.held for source in self.registrar.sources.values() if source.held is not None]
        word, reasons = self.last_verdict
        return {
            "version": self.version,
            "servers": len(self.registrar.in_force),
            "draining": sorted(
                entry.name for entry in self.registrar.in_force.values() if entry.state == "draining"
            ),
            "last": word,
            "reasons": list(reasons),
            "leaving": sorted(self.registrar.leaving),
            "held": [
                {
                    "version": entry.proposal.version,
                    "digest": entry.proposal.digest,
                    "reasons": list(entry.reasons),
                    "taken_in_ms": max(0, entry.until - self.world.now()) // 10,
                }
                for entry in held
            ],
            "flapping": sorted(name for name, flap in self.registrar.flaps.items() if flap.damped),
        }

    def confirm(self, digest: str) -> str | None:
        """Confirms the list that is held back. Returns an error message or None."""
        held = next(
            (source.held.proposal for source in self.registrar.sources.values() if source.held is not None),
            None,
        )
        verdict = self.registrar.confirm(self.world.now(), digest)
        if verdict.outcome == "rejected" or held is None:
            return "; ".join(verdict.reasons)
        self.apply(verdict, held.version, held.digest)
        return None

    def rollback(self, digest: str) -> str | None:
        """Goes back to a persisted list, all at once. Returns an error message or None.

        That is the newest list whose digest starts with `digest`; the last but one if `digest` is empty. The
        list stays until the files change.
        """
        lists = self.history.lists
        target = (
            next((record for record in reversed(lists) if record.digest.startswith(digest)), None)
            if digest
            else (lists[-2] if len(lists) > 1 else None)
        )
        if target is None:
            return f"no list {digest!r} is kept; kept: {', '.join(record.digest for record in lists[-5:]) or 'none'}"
        proposal = Proposal("file", target.version, target.digest, target.entries)
        verdict = self.registrar.propose(self.world.now(), proposal, force=True)
        if verdict.outcome == "rejected":
            return "; ".join(verdict.reasons)
        self.apply(
            Verdict(verdict.outcome, (*verdict.reasons, "rolled back"), verdict.entries),
            target.version,
            target.digest,
        )
        return None

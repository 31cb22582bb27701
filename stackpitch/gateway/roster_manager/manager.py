"""Watches the files and has them checked.

Their lists go to the active roster, their settings to the gateway.
"""

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from stackpitch.gateway.host import Host
from stackpitch.gateway.logs import Log
from stackpitch.gateway.metrics import Metrics
from stackpitch.gateway.roster_manager import files
from stackpitch.gateway.roster_manager.active import ActiveRoster, figures
from stackpitch.gateway.roster_manager.checker import Checker
from stackpitch.gateway.roster_manager.history import History
from stackpitch.loop import Coro, Group, Watch, World
from stackpitch.membership.bundle import Bundle, read_bundle
from stackpitch.membership.registrar import Verdict
from stackpitch.settings import LIVE_SETTINGS, BadSettings, Settings
from stackpitch.settings.convert import ticks
from stackpitch.settings.load import check

T = TypeVar("T")
UNSETTLED = "the files changed while they were read"
MAX_READS = 3  # of files that change while they are read


def run_now(coro: Coro[T]) -> T:
    """Runs a coroutine that never waits, and returns its result."""
    try:
        next(coro)
    except StopIteration as ended:
        result: T = ended.value
        return result
    raise AssertionError("the coroutine waits")


class RosterManager:
    """Manages one gateway's lists.

    `config` None: the settings come from no file, and lists are read in this process.
    """

    def __init__(
        self,
        world: World,
        group: Group,
        log: Log,
        metrics: Metrics,
        host: Host,
        settings: Settings,
        config: Path | None = None,
        given: Mapping[str, str] | None = None,
    ) -> None:
        self.world, self.log, self.host = world, log, host
        self.settings, self.config, self.given = settings, config, dict(given or {})
        self.persisted = History(world, group, log, metrics, settings.kept)
        self.active = ActiveRoster(world, log, metrics, host, self.persisted, settings)
        self.checker = Checker(world)
        self.reload_requested = False
        self.reloading = False
        self.stats: files.FileStats = {}  # of the files, from before they were read at start
        self.digests: dict[str, str] = {}  # of the files that were checked last
        # Of the files whose list is held back: the digest of the list, and their settings.
        self.held_settings: tuple[str, Settings] | None = None
        self.restart_wanted: tuple[str, ...] = ()  # settings that differ in the file and need a restart
        self.on_new_settings: Callable[[Settings], None] | None = None
        host.on_subscribe = self.request_reload

    # At start, in this process and without waiting, before anything is served.

    def begin(self) -> None:
        """Raises BadSettings if neither the files nor the store give a list to start with."""
        last = self.persisted.open()
        self.host.begin()
        self.stats = self._file_stats()  # before reading: a file written meanwhile must count as changed
        bundle = read_bundle(self.config, self.given, self.settings)
        for _ in range(MAX_READS):
            if not bundle.unsettled:
                break
            self.stats = self._file_stats()
            bundle = read_bundle(self.config, self.given, self.settings)
        if bundle.unsettled:
            self.reload_requested = True
            bundle.problems.append(UNSETTLED)
        if last is not None:
            self.active.restore(last)
        problem = run_now(self._apply(bundle, force=False, pauses=False))
        if last is None and problem is not None:
            raise BadSettings(f"{problem}\n{self.settings.roster}: no list to start with")
        if problem is not None:
            self.log.warning("roster_kept", file=self.settings.kept, version=self.active.version)

    def reload_blocking(self, force: bool = False) -> str | None:
        """Reads and applies the files in this process; returns what is wrong.

        For callers that don't `run`.
        """
        bundle = read_bundle(self.config, self.given, self.settings)
        return run_now(self._apply(bundle, force, pauses=False))

    # While serving.

    def request_reload(self) -> None:
        """Has the files read again even if they seem unchanged."""
        self.reload_requested = True

    def run(self) -> Coro[None]:
        """Watches the files until it is cancelled."""
        membership = self.settings.membership
        watch = self.world.watch() if membership.watch else None
        if membership.watch and watch is None:
            self.log.warning(
                "no_watch",
                why="no inotify descriptor is available; files are polled instead",
                every_ms=membership.poll_ms,
            )
        stats = self.stats
        try:
            while True:
                if watch is not None:
                    watch.set_folders(files.folders(self.config, self.settings))
                yield from self._wait(watch)
                self.active.tick()
                self._take_held_settings()
                current = self._file_stats() if self.settings.membership.watch else stats
                if current == stats and not self.reload_requested:
                    continue
                if current != stats and not (
                    yield from files.settled(self.world, self.config, self.settings, current)
                ):
                    self.log.debug("unsettled", ms=self.settings.membership.settle_most_ms)
                stats, self.reload_requested = self._file_stats(), False
                yield from self.reload()
        finally:
            if watch is not None:
                watch.close()
            yield from self.checker.end()

    def _wait(self, watch: Watch | None) -> Coro[None]:
        due = self.active.registrar.due()
        limit = ticks(self.settings.membership.poll_ms)
        if due is not None:
            limit = max(1, min(limit, due - self.world.now()))
        yield from files.wait_for_change(self.world, watch, limit)

    def _file_stats(self) -> files.FileStats:
        return files.file_stats(self.config, self.settings)

    def reload(self, force: bool = False) -> Coro[str | None]:
        """Has the files checked, and applies what the registrar lets through; returns what is wrong."""
        while self.reloading:
            yield from self.world.sleep(10)
        self.reloading = True
        try:
            for _ in range(MAX_READS):
                bundle = yield from self._read_files()
                if not bundle.unsettled:
                    break
                yield from self.world.sleep(ticks(self.settings.membership.settle_ms))
            if bundle.unsettled:
                self.reload_requested = True
                return UNSETTLED
            return (yield from self._apply(bundle, force, pauses=True))
        finally:
            self.reloading = False

    def _read_files(self) -> Coro[Bundle]:
        if self.config is None:
            return read_bundle(None, self.given, self.settings)
        return (
            yield from self.checker.check(self.config, self.given, ticks(self.settings.membership.check_ms))
        )

    def _apply(self, bundle: Bundle, force: bool, pauses: bool) -> Coro[str | None]:
        """Applies a checked bundle, all of it or nothing; returns what is wrong.

        Nothing is changed before the registrar's verdict on the list. If the list is held back, the settings wait
        with it. `pauses`: whether other tasks may run before the bundle is applied.
        """
        active, same = self.active, bundle.seen == self.digests
        self.digests = bundle.seen
        if bundle.problems:
            if not same or tuple(bundle.problems) != active.problems:
                active.rejected(tuple(bundle.problems), bundle.version, bundle.digest)
                self.host.roster_load_failed()
            return "\n".join(bundle.problems)
        settings = self._bundle_settings(bundle)
        if pauses:
            yield from self.world.pause()
        verdict = active.propose(bundle, settings, force)
        if pauses:
            yield from self.world.pause()
        if verdict.outcome == "rejected":
            if not same or verdict.reasons != active.problems:
                active.rejected(verdict.reasons, bundle.version, bundle.digest)
            return "\n".join(verdict.reasons)
        active.problems = ()
        held = active.held_digest
        self.held_settings = None if held is None else (held, settings)
        if verdict.outcome == "held back":
            active.held_back(verdict, bundle)
        if pauses:
            yield from self.world.pause()
        if verdict.outcome == "repeated" and not verdict.reasons:  # the same servers under a later version
            active.unchanged(verdict, bundle.version)
        changed = active.changed(verdict)
        if pauses:
            yield from self.world.pause()
        if verdict.entries is not None:  # a confirmation, rollback or step may have come during a pause
            verdict = Verdict(verdict.outcome, verdict.reasons, tuple(active.registrar.in_force.values()))
        if self.held_settings is None:
            self._apply_settings(settings)
        active.apply(verdict, bundle.version, bundle.digest, changed=changed)
        return None

    def _bundle_settings(self, bundle: Bundle) -> Settings:
        if self.config is None:
            return self.settings
        return check(Settings, msgspec.json.decode(bundle.settings), self.config)

    def _take_held_settings(self) -> None:
        """Applies the settings that waited with a list once the list is taken; drops them if it never will be."""
        if self.held_settings is None or self.active.held_digest is not None:
            return
        (digest, settings), self.held_settings = self.held_settings, None
        if self.active.taken_digest == digest:
            self._apply_settings(settings)

    def _apply_settings(self, new: Settings) -> None:
        old = self.settings
        differ = {name for name in Settings.model_fields if getattr(old, name) != getattr(new, name)}
        live, rest = differ & LIVE_SETTINGS, tuple(sorted(differ - LIVE_SETTINGS))
        if rest != self.restart_wanted:
            self.restart_wanted = rest
            if rest:
                self.log.warning("restart_wanted", settings=rest)
        if live:
            self.settings = old.model_copy(update={name: getattr(new, name) for name in live})
            self.active.registrar.config = figures(self.settings)
            self.log.info("settings", changed=sorted(live))
            if self.on_new_settings is not None:
                self.on_new_settings(self.settings)

    # Operators' requests.

    def status(self) -> dict[str, Any]:
        """The list in force, digests of the files, and the state of the store."""
        return self.active.status() | {
            "restart_wanted": list(self.restart_wanted),
            "files": self.digests,
            "store": self.persisted.state,
        }

    def history(self) -> list[dict[str, Any]]:
        """All persisted lists and verdicts."""
        return self.persisted.rows()

    def confirm(self, digest: str) -> str | None:
        """Confirms the list that is held back. Returns an error message or None."""
        problem = self.active.confirm(digest)
        self._take_held_settings()
        return problem

    def rollback(self, digest: str) -> str | None:
        """Goes back to a persisted list, see `ActiveRoster.rollback`."""
        return self.active.rollback(digest)

"""Watches the files, has them checked, and hands what is in them on: lists to what is in force, settings to the gateway."""

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from stackpitch.gateway.host import Host
from stackpitch.gateway.logs import Log
from stackpitch.gateway.metrics import Metrics
from stackpitch.gateway.roster_manager import files
from stackpitch.gateway.roster_manager.checker import Checker
from stackpitch.gateway.roster_manager.history import History
from stackpitch.gateway.roster_manager.inforce import InForce, figures
from stackpitch.loop import Coro, Group, Watch, World
from stackpitch.membership.bundle import Bundle, read_bundle
from stackpitch.membership.registrar import Verdict
from stackpitch.settings import LIVE_SETTINGS, BadSettings, Settings
from stackpitch.settings.convert import ticks
from stackpitch.settings.load import check

T = TypeVar("T")
UNSETTLED = "the files changed while they were read"
TRIES = 3  # for files that change while they are read


def at_once(coro: Coro[T]) -> T:
    """Runs what was told not to wait."""
    try:
        next(coro)
    except StopIteration as ended:
        result: T = ended.value
        return result
    raise AssertionError("it waits")


class RosterManager:
    """One gateway's lists. `config` None: settings that stand in no file; lists are then read in this process."""

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
        self.kept = History(world, group, log, metrics, settings.kept)
        self.in_force = InForce(world, log, metrics, host, self.kept, settings)
        self.checker = Checker(world)
        self.asked = False
        self.busy = False
        self.prints: files.Prints = {}  # of the files as they were before they were read at start
        self.seen: dict[str, str] = {}  # digests of the files that were checked last
        self.restart_wanted: tuple[str, ...] = ()  # settings that differ in the file and need a restart
        self.new_settings: Callable[[Settings], None] | None = None
        host.on_subscribe = self.ask

    # At start, before anything is served: in this process, at once.

    def begin(self) -> None:
        """Raises BadSettings if neither the files nor what was kept give a list to start with."""
        last = self.kept.open()
        self.host.begin()
        self.prints = (
            self._prints()
        )  # before reading: what is written meanwhile is another state of the files
        bundle = read_bundle(self.config, self.given, self.settings)
        for _ in range(TRIES):
            if not bundle.unsettled:
                break
            self.prints = self._prints()
            bundle = read_bundle(self.config, self.given, self.settings)
        if bundle.unsettled:
            self.asked = True
            bundle.problems.append(UNSETTLED)
        if last is not None:
            self.in_force.again(last)
        wrong = at_once(self._settle(bundle, force=False, slices=False))
        if last is None and wrong is not None:
            raise BadSettings(f"{wrong}\n{self.settings.roster}: no list to start with")
        if wrong is not None:
            self.log.warning("roster_kept", file=self.settings.kept, version=self.in_force.version)

    def reload_blocking(self, force: bool = False) -> str | None:
        """Reads and applies in this process; gives what is wrong. For callers that run no watch."""
        bundle = read_bundle(self.config, self.given, self.settings)
        return at_once(self._settle(bundle, force, slices=False))

    # While serving.

    def ask(self) -> None:
        """Files are to be read again, whether they seem to have changed or not."""
        self.asked = True

    def run(self) -> Coro[None]:
        """Watches until it is cancelled."""
        membership = self.settings.membership
        watch = self.world.watch() if membership.watch else None
        if membership.watch and watch is None:
            self.log.warning(
                "no_watch",
                why="this machine gives no inotify descriptor; files are looked at instead",
                every_ms=membership.poll_ms,
            )
        prints = self.prints
        try:
            while True:
                if watch is not None:
                    watch.set_folders(files.folders(self.config, self.settings))
                yield from self._wait(watch)
                self.in_force.tick()
                now = self._prints() if self.settings.membership.watch else prints
                if now == prints and not self.asked:
                    continue
                if now != prints and not (
                    yield from files.quiet(self.world, self.config, self.settings, now)
                ):
                    self.log.debug("unsettled", ms=self.settings.membership.settle_most_ms)
                prints, self.asked = self._prints(), False
                yield from self.reload()
        finally:
            if watch is not None:
                watch.close()
            yield from self.checker.end()

    def _wait(self, watch: Watch | None) -> Coro[None]:
        due = self.in_force.registrar.due()
        limit = ticks(self.settings.membership.poll_ms)
        if due is not None:
            limit = max(1, min(limit, due - self.world.now()))
        yield from files.happened(self.world, watch, limit)

    def _prints(self) -> files.Prints:
        return files.prints(self.config, self.settings)

    def reload(self, force: bool = False) -> Coro[str | None]:
        """Has the files checked, and brings into force what may be; gives what is wrong."""
        while self.busy:
            yield from self.world.sleep(10)
        self.busy = True
        try:
            for _ in range(TRIES):
                bundle = yield from self._checked()
                if not bundle.unsettled:
                    break
                yield from self.world.sleep(ticks(self.settings.membership.settle_ms))
            if bundle.unsettled:
                self.asked = True
                return UNSETTLED
            return (yield from self._settle(bundle, force, slices=True))
        finally:
            self.busy = False

    def _checked(self) -> Coro[Bundle]:
        if self.config is None:
            return read_bundle(None, self.given, self.settings)
        return (
            yield from self.checker.check(self.config, self.given, ticks(self.settings.membership.check_ms))
        )

    def _settle(self, bundle: Bundle, force: bool, slices: bool) -> Coro[str | None]:
        """With `slices` the loop's others get their turn between its parts; a list still comes into force whole."""
        ours, same = self.in_force, bundle.seen == self.seen
        self.seen = bundle.seen
        if bundle.problems:
            if not same or tuple(bundle.problems) != ours.bad:
                ours.rejected(tuple(bundle.problems), bundle.version, bundle.digest)
                self.host.roster_load_failed()
            return "\n".join(bundle.problems)
        if self.config is not None:
            self._take_settings(check(Settings, msgspec.json.decode(bundle.settings), self.config))
        if slices:
            yield from self.world.pause()
        verdict = ours.propose(bundle, force)
        if slices:
            yield from self.world.pause()
        if verdict.outcome == "rejected":
            if not same or verdict.reasons != ours.bad:
                ours.rejected(verdict.reasons, bundle.version, bundle.digest)
            return "\n".join(verdict.reasons)
        ours.bad = ()
        if verdict.outcome == "held back":
            ours.held_back(verdict, bundle)
        if slices:
            yield from self.world.pause()
        if verdict.outcome == "repeated" and not verdict.reasons:  # the same servers, said by a later version
            ours.unchanged(verdict, bundle.version)
        changed = ours.changed(verdict)
        if slices:
            yield from self.world.pause()
        if verdict.entries is not None:  # a confirmation, rollback or step may have come between the parts
            verdict = Verdict(verdict.outcome, verdict.reasons, tuple(ours.registrar.in_force.values()))
        ours.take(verdict, bundle.version, bundle.digest, changed=changed)
        return None

    def _take_settings(self, new: Settings) -> None:
        old = self.settings
        differ = {name for name in Settings.model_fields if getattr(old, name) != getattr(new, name)}
        live, rest = differ & LIVE_SETTINGS, tuple(sorted(differ - LIVE_SETTINGS))
        if rest != self.restart_wanted:
            self.restart_wanted = rest
            if rest:
                self.log.warning("restart_wanted", settings=rest)
        if live:
            self.settings = old.model_copy(update={name: getattr(new, name) for name in live})
            self.in_force.registrar.config = figures(self.settings)
            self.log.info("settings", changed=sorted(live))
            if self.new_settings is not None:
                self.new_settings(self.settings)

    # What operators ask.

    def status(self) -> dict[str, Any]:
        return self.in_force.status() | {
            "restart_wanted": list(self.restart_wanted),
            "files": self.seen,
            "store": self.kept.state,
        }

    def history(self) -> list[dict[str, Any]]:
        return self.kept.rows()

    def confirm(self, told: str) -> str | None:
        return self.in_force.confirm(told)

    def rollback(self, told: str) -> str | None:
        return self.in_force.rollback(told)

"""Brings lists from files into the module: watches, has them checked, asks the registrar, applies, keeps.

Nothing is decided here. Which list comes into force is the registrar's matter (`membership.registrar`), what a good set
is the checker's (`membership.bundle`).
"""

import os
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from stackpitch.gateway.host import Host
from stackpitch.gateway.logs import Log
from stackpitch.gateway.metrics import Metrics
from stackpitch.loop import Child, Coro, Group, Lost, RealFiles, Stream, Time, Watch, World
from stackpitch.membership.bundle import Asked, Bundle, files_of, read_set
from stackpitch.membership.entries import Change, Entry, Proposal, change
from stackpitch.membership.registrar import Figures, Registrar, Verdict
from stackpitch.membership.store import Kept, Noted, Store
from stackpitch.settings import LIVE, BadSettings, Settings
from stackpitch.settings.load import check
from stackpitch.settings.made import kinds, ticks

T = TypeVar("T")
LARGEST_ANSWER = 64 << 20
UNSETTLED = "the files changed while they were read"
TRIES = 3  # for files that change while they are read


def figures(settings: Settings) -> Figures:
    one = settings.membership
    return Figures(one.step_share, ticks(one.step_ms), ticks(one.persist_ms), one.flap_count, ticks(one.flap_window_ms),
                   ticks(one.flap_calm_ms))


class Lines:
    """Whole lines of a stream."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.data, self.read = stream, bytearray(), 0

    def next(self) -> Coro[bytes]:
        while (end := self.data.find(b"\n")) < 0:
            part = yield from self.stream.recv(1 << 18)
            self.read += len(part)
            if not part or self.read > LARGEST_ANSWER:
                raise Lost("the checker ended")
            self.data += part
        line = bytes(self.data[:end])
        del self.data[:end + 1]
        return line


def at_once(coro: Coro[T]) -> T:
    """Runs what was told not to wait."""
    try:
        next(coro)
    except StopIteration as ended:
        result: T = ended.value
        return result
    raise AssertionError("it waits")


class Checker:
    """The process that reads and checks files. One that takes too long or breaks is ended; the next call starts anew."""

    def __init__(self, world: World, errors: str | None = None) -> None:
        self.world, self.errors = world, errors
        self.child: Child | None = None
        self.stream: Stream | None = None

    def check(self, config: Path, given: Mapping[str, str], limit: Time) -> Coro[Bundle]:
        try:
            with self.world.limit(limit) as scope:
                if self.stream is None:
                    self.child, self.stream = self.world.spawn_piped([sys.executable, "-m", "stackpitch", "checker"],
                                                                     errors=self.errors)
                self.stream.write(msgspec.json.encode(Asked(str(config), dict(given))) + b"\n")
                lines = Lines(self.stream)
                bundle = msgspec.json.decode((yield from lines.next()), type=Bundle)
                entries: list[Entry] = []
                for _ in range(bundle.more):
                    yield from self.world.pause()  # a large list in many short steps
                    entries += msgspec.json.decode((yield from lines.next()), type=list[Entry])
                bundle.entries = tuple(entries)
                return bundle
            assert scope.expired
            why = f"the check took longer than {limit // 10} ms"
        except (Lost, OSError, msgspec.DecodeError) as wrong:
            why = f"the check broke: {wrong}"
        yield from self.end()
        return Bundle({str(config): ""}, [f"{config}: {why}"])

    def end(self) -> Coro[None]:
        child, self.child = self.child, None
        if self.stream is not None:
            self.stream.close()
            self.stream = None
        if child is not None:
            child.signal(9)
            with self.world.shield():
                yield from child.wait()


class Keeper:
    """One gateway's lists. `config` None: settings that stand in no file; lists are then read in this process."""

    def __init__(self, world: World, group: Group, log: Log, metrics: Metrics, host: Host, settings: Settings,
                 config: Path | None = None, given: Mapping[str, str] | None = None) -> None:
        self.world, self.group, self.log, self.metrics, self.host = world, group, log, metrics, host
        self.settings, self.config, self.given = settings, config, dict(given or {})
        self.registrar = Registrar(figures(settings), {name: role for name, (role, _) in kinds(settings).items()})
        self.store = Store(RealFiles(), settings.kept) if settings.kept else None
        self.checker = Checker(world)
        self.asked = False
        self.busy = False
        self.prints: dict[str, Any] = {}  # of the files as they were before they were read at start
        self.seen: dict[str, str] = {}  # digests of the files that were checked last
        self.bad: tuple[str, ...] = ()  # what was wrong with them, reported already
        self.restart_wanted: tuple[str, ...] = ()  # settings that differ in the file and need a restart
        self.last: tuple[str, tuple[str, ...]] = "", ()  # the last verdict's word and reasons
        self.new_settings: Callable[[Settings], None] | None = None
        self.version = -1
        self.applied: dict[str, Entry] = {}  # as the module has it
        host.list_wanted = self.ask

    # At start, before anything is served: in this process, at once.

    def begin(self) -> None:
        """Raises BadSettings if neither the files nor what was kept give a list to start with."""
        if self.store is not None:
            self.store.open()
            self._say_store()
        self.host.begin()
        self.prints = self._prints()  # before reading: what is written meanwhile is another state of the files
        bundle = read_set(self.config, self.given, self.settings)
        for _ in range(TRIES):
            if not bundle.unsettled:
                break
            self.prints = self._prints()
            bundle = read_set(self.config, self.given, self.settings)
        if bundle.unsettled:
            self.asked = True
            bundle.problems.append(UNSETTLED)
        last = self.store.last() if self.store is not None else None
        if last is not None:  # what was in force before; the files are then judged against it as at any other time
            proposal = Proposal("file", last.version, last.digest, last.entries)
            self._take(self.registrar.propose(self.world.now(), proposal, force=True), last.version, last.digest, kept=False)
        wrong = at_once(self._settle(bundle, force=False, slices=False))
        if last is None and wrong is not None:
            raise BadSettings(f"{wrong}\n{self.settings.roster}: no list to start with")
        if wrong is not None:
            self.log.warning("roster_kept", file=self.settings.kept, version=self.version)

    def reload_here(self, force: bool = False) -> str | None:
        """Reads and applies in this process; gives what is wrong. For callers that run no watch."""
        bundle = read_set(self.config, self.given, self.settings)
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
            self.log.warning("no_watch", why="this machine gives no inotify descriptor; files are looked at instead",
                             every_ms=membership.poll_ms)
        prints = self.prints
        try:
            while True:
                if watch is not None:
                    watch.aim(self._folders())
                yield from self._wait(watch)
                self._tick()
                now = self._prints() if self.settings.membership.watch else prints
                if now == prints and not self.asked:
                    continue
                if now != prints and not (yield from self._quiet(watch, now)):
                    self.log.debug("unsettled", ms=self.settings.membership.settle_most_ms)
                prints, self.asked = self._prints(), False
                yield from self.reload()
        finally:
            if watch is not None:
                watch.close()
            yield from self.checker.end()

    def _wait(self, watch: Watch | None) -> Coro[None]:
        due = self.registrar.due()
        limit = ticks(self.settings.membership.poll_ms)
        if due is not None:
            limit = max(1, min(limit, due - self.world.now()))
        with self.world.limit(limit):
            if watch is not None:
                yield from watch.happened()
            else:
                yield from self.world.sleep(limit)

    def _quiet(self, watch: Watch | None, prints: dict[str, Any]) -> Coro[bool]:
        """Until the files have not changed for `settle_ms`; False if they did not come to rest."""
        membership = self.settings.membership
        end = self.world.now() + ticks(membership.settle_most_ms)
        while self.world.now() < end:
            yield from self.world.sleep(ticks(membership.settle_ms))
            now = self._prints()
            if now == prints:
                return True
            prints = now
        return False

    def _paths(self) -> list[Path]:
        return files_of(self.config, self.settings)

    def _folders(self) -> list[str]:
        """The folders of all files and of all links on the way to them."""
        found: dict[str, None] = {}
        for path in self._paths():
            for _ in range(20):
                found[os.path.dirname(os.path.abspath(path))] = None
                try:
                    link = os.readlink(path)
                except OSError:
                    break
                path = path.parent / link
            found[os.path.dirname(os.path.realpath(path))] = None
        for one in self.settings.statements:
            if os.path.isdir(one):
                found[os.path.abspath(one)] = None
        return list(found)

    def _prints(self) -> dict[str, Any]:
        """What tells, without reading, that a file is another one or was written."""
        found: dict[str, Any] = {}
        for path in self._paths():
            try:
                about = os.stat(path)
                found[str(path)] = about.st_dev, about.st_ino, about.st_size, about.st_mtime_ns, about.st_mode
            except OSError as wrong:
                found[str(path)] = wrong.errno
        return found

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
            return read_set(None, self.given, self.settings)
        return (yield from self.checker.check(self.config, self.given, ticks(self.settings.membership.check_ms)))

    def _settle(self, bundle: Bundle, force: bool, slices: bool) -> Coro[str | None]:
        """With `slices` the loop's others get their turn between its parts; a list still comes into force whole."""
        same = bundle.seen == self.seen
        self.seen = bundle.seen
        if bundle.problems:
            if not same or tuple(bundle.problems) != self.bad:
                self._rejected(bundle.problems)
                self.host.list_failed()
                self._note("rejected", bundle.version, bundle.digest, tuple(bundle.problems))
            return "\n".join(bundle.problems)
        if self.config is not None:
            self._take_settings(check(Settings, msgspec.json.decode(bundle.settings), self.config))
        if slices:
            yield from self.world.pause()
        verdict = self._propose(bundle, force)
        if slices:
            yield from self.world.pause()
        if verdict.word == "rejected":
            if not same or verdict.reasons != self.bad:
                self._rejected(list(verdict.reasons))
                self._note(verdict.word, bundle.version, bundle.digest, verdict.reasons)
            return "\n".join(verdict.reasons)
        self.bad = ()
        if verdict.word == "held back":
            self.last = verdict.word, verdict.reasons
            self.metrics.lists.labels(verdict.word).inc()
            self.log.warning("list_held_back", version=bundle.version, digest=bundle.digest, why="; ".join(verdict.reasons))
            self._note(verdict.word, bundle.version, bundle.digest, verdict.reasons)
        if slices:
            yield from self.world.pause()
        if verdict.word == "repeated" and not verdict.reasons:  # the same servers, said by a later version
            self.last = verdict.word, ()
            self.version = self.host.roster.version = max(self.version, bundle.version)
        changed = self._changed(verdict)
        if slices:
            yield from self.world.pause()
        if verdict.entries is not None:  # a confirmation, rollback or step may have come between the parts
            verdict = Verdict(verdict.word, verdict.reasons, tuple(self.registrar.in_force.values()))
        self._take(verdict, bundle.version, bundle.digest, changed=changed)
        return None

    def _propose(self, bundle: Bundle, force: bool = False) -> Verdict:
        proposal = Proposal("file", bundle.version, bundle.digest, bundle.entries)
        return self.registrar.propose(self.world.now(), proposal, force)

    def _tick(self) -> None:
        held = [one.held.proposal for one in self.registrar.sources.values() if one.held is not None]
        verdict = self.registrar.tick(self.world.now())
        if verdict is not None:
            version, told = (held[0].version, held[0].digest) if held and not any(
                one.held for one in self.registrar.sources.values()) else (self.version, "")
            self._take(verdict, version, told)

    def _changed(self, verdict: Verdict) -> Change:
        return Change() if verdict.entries is None else change(self.applied, {one.name: one for one in verdict.entries})

    def _take(self, verdict: Verdict, version: int, told: str, kept: bool = True, changed: Change | None = None) -> None:
        """Applies what is in force now."""
        if verdict.entries is None:
            return
        changed = changed if changed is not None else self._changed(verdict)
        self.applied, self.version = {one.name: one for one in verdict.entries}, version
        self.last = verdict.word, verdict.reasons
        self.metrics.lists.labels(verdict.word).inc()
        self.log.info("list", word=verdict.word, version=version, digest=told, changed=changed.text(),
                      why="; ".join(verdict.reasons))
        self.host.take(version, verdict.entries)
        if kept and told:
            self._keep(version, told, verdict, changed)

    # What is kept.

    def _keep(self, version: int, told: str, verdict: Verdict, changed: Change) -> None:
        source = self.registrar.sources["file"]
        self._add(Kept(self.world.wall_ms(), "file", version, told, tuple(source.entries.values()),
                       "; ".join(verdict.reasons), changed.text()))

    def _note(self, word: str, version: int, told: str, reasons: tuple[str, ...]) -> None:
        self._add(Noted(self.world.wall_ms(), "file", version, told, word, reasons[:20]))

    def _add(self, record: Kept | Noted) -> None:
        store = self.store
        if store is None:
            return

        def write() -> Coro[None]:
            trouble = store.trouble
            yield from self.world.aside(lambda: store.add(record))
            if store.trouble != trouble:
                self._say_store()

        self.group.spawn(write(), "keep")

    def _say_store(self) -> None:
        store = self.store
        assert store is not None
        if store.found:
            self.log.warning("store_found", what=store.found)
            store.found = ""
        self.metrics.store_trouble.set(bool(store.trouble))
        if store.trouble:
            self.log.error("store_trouble", why=store.trouble, meaning="lists are not kept; serving goes on")
        else:
            self.log.info("store_good", file=store.path, lists=len(store.kept))

    def _rejected(self, problems: list[str]) -> None:
        """Once for each content."""
        self.bad = tuple(problems)
        self.last = "rejected", self.bad
        self.metrics.rejected.inc()
        self.log.error("roster_rejected", why="\n".join(problems), in_force=self.version)

    # Settings.

    def _take_settings(self, new: Settings) -> None:
        old = self.settings
        differ = {name for name in Settings.model_fields if getattr(old, name) != getattr(new, name)}
        live, rest = differ & LIVE, tuple(sorted(differ - LIVE))
        if rest != self.restart_wanted:
            self.restart_wanted = rest
            if rest:
                self.log.warning("restart_wanted", settings=rest)
        if live:
            self.settings = old.model_copy(update={name: getattr(new, name) for name in live})
            self.registrar.figures = figures(self.settings)
            self.log.info("settings", changed=sorted(live))
            if self.new_settings is not None:
                self.new_settings(self.settings)

    # What operators ask.

    def status(self) -> dict[str, Any]:
        held = [one.held for one in self.registrar.sources.values() if one.held is not None]
        word, reasons = self.last
        return {
            "version": self.version, "servers": len(self.registrar.in_force),
            "draining": sorted(one.name for one in self.registrar.in_force.values() if one.state == "draining"),
            "last": word, "reasons": list(reasons), "leaving": sorted(self.registrar.leaving),
            "held": [{"version": one.proposal.version, "digest": one.proposal.digest, "reasons": list(one.reasons),
                      "taken_in_ms": max(0, one.until - self.world.now()) // 10} for one in held],
            "flapping": sorted(name for name, one in self.registrar.flaps.items() if one.damped),
            "restart_wanted": list(self.restart_wanted), "files": self.seen,
            "store": None if self.store is None else self.store.trouble or "good",
        }

    def history(self) -> list[dict[str, Any]]:
        if self.store is None:
            return []
        lists = [{"at_unix_ms": one.at_unix_ms, "word": "in force", "version": one.version, "digest": one.digest,
                  "servers": len(one.entries), "changed": one.changed, "why": one.why} for one in self.store.kept]
        notes = [{"at_unix_ms": one.at_unix_ms, "word": one.word, "version": one.version, "digest": one.digest,
                  "why": "; ".join(one.reasons)} for one in self.store.noted]
        return sorted([*lists, *notes], key=lambda one: one["at_unix_ms"])

    def confirm(self, told: str) -> str | None:
        held = next((one.held.proposal for one in self.registrar.sources.values() if one.held is not None), None)
        verdict = self.registrar.confirm(self.world.now(), told)
        if verdict.word == "rejected" or held is None:
            return "; ".join(verdict.reasons)
        self._take(verdict, held.version, held.digest)
        return None

    def rollback(self, told: str) -> str | None:
        """To a list that was in force, whole and at once. It stays until the files change."""
        lists = self.store.kept if self.store is not None else []
        found = next((one for one in reversed(lists) if one.digest.startswith(told)), None) if told else (
            lists[-2] if len(lists) > 1 else None)
        if found is None:
            return f"no list {told!r} is kept; kept: {', '.join(one.digest for one in lists[-5:]) or 'none'}"
        proposal = Proposal("file", found.version, found.digest, found.entries)
        verdict = self.registrar.propose(self.world.now(), proposal, force=True)
        if verdict.word == "rejected":
            return "; ".join(verdict.reasons)
        self._take(Verdict(verdict.word, (*verdict.reasons, "rolled back"), verdict.entries), found.version, found.digest)
        return None

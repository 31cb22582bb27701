"""What a gateway does for the owner: accepts grants, fetches under them, and reports what it has.

All state belongs to this process. After a restart the disk is read again; the rest comes with the owner's next call.
"""

from collections.abc import Callable
from typing import Any, Protocol

from pydantic import ValidationError

from stackpitch.duties.calls import Stamp
from stackpitch.duties.weights import forms
from stackpitch.duties.weights.errors import DiskTrouble, VersionChanged, WeightsError
from stackpitch.duties.weights.grants.grant import Grant, Mark
from stackpitch.duties.weights.grants.grant_table import GrantTable
from stackpitch.duties.weights.manifest import Manifest
from stackpitch.duties.weights.placing.copy import Copy
from stackpitch.duties.weights.placing.disk import QUEUE
from stackpitch.duties.weights.placing.folder import Folder, Released
from stackpitch.duties.weights.receiving.fetch_tasks import Entry, FetchTasks
from stackpitch.duties.weights.receiving.opener import DISK_RETRY_TIME, Opener
from stackpitch.duties.weights.receiving.site_disk import SiteDisk
from stackpitch.duties.weights.receiving.sources import Sources
from stackpitch.duties.weights.receiving.states import count_states
from stackpitch.loop import SECOND, Coro, Group, Time, World

MAX_VERSIONS = 320  # known at once
# A version without a grant for this time is checked on the disk again before fetching goes on.
RECHECK_AFTER: Time = 5 * SECOND
# How often engines are notified again of released versions: some were unreachable, or have started since.
NOTIFY_PERIOD: Time = 30 * SECOND
CLEAR_PERIOD: Time = 5 * SECOND  # between searches for files that are no longer needed
Log = Callable[..., None]  # the event, and its fields by name


class Engines(Protocol):
    """The engines of the site."""

    def used(self, model: str, version: str) -> bool: ...  # an engine runs on it, or that can't be excluded
    def released(self, model: str, version: str) -> Coro[None]: ...  # tells them to load it; may be repeated


class Receiver:
    """One gateway's part in the distribution. `entries` go when their version is replaced or withdrawn."""

    def __init__(
        self,
        world: World,
        number: int,
        start: int,
        folder: Folder,
        engines: Engines,
        revenue: Callable[[], float],
        log: Log,
    ) -> None:
        self.world, self.folder, self.engines, self.revenue, self.log = world, folder, engines, revenue, log
        self.grants, self.sources, self.site = GrantTable(number, start), Sources(), ""
        self.entries: dict[tuple[str, str], Entry] = {}
        self.disk = SiteDisk(world, folder)
        # The stamp and serial of the last placement of each model; an entry goes when its model is withdrawn.
        self.placements: dict[str, tuple[Stamp, int]] = {}
        self.trouble: DiskTrouble | None = None
        self.trouble_until: Time = 0
        self.changed = True  # since the last report
        self.group: Group | None = None
        self.fetches, self.opener = FetchTasks(self), Opener(self)

    # Calls of the owner, whose stamps the caller has checked against older terms.

    def place(self, stamp: Stamp, request: forms.Place) -> str:
        """Starts to hold a version. Returns "yes", or the reason for the refusal."""
        version = request.model, request.version
        if not self.grants.fence(stamp) or self.group is None:
            return "not now"
        entry = self.entries.get(version)
        if entry is not None:
            if entry.manifest.whole != request.whole or entry.manifest.pieces != list(request.pieces):
                self.log_error(VersionChanged(*version))
                return "differs"
            return "yes"
        if (stamp, request.serial) < self.placements.get(request.model, (stamp, 0)):
            return "older"
        if len(self.entries) >= MAX_VERSIONS:
            return "too many versions"
        try:
            manifest = Manifest(
                size=request.size, piece=request.piece, whole=request.whole, pieces=list(request.pieces)
            )
        except ValidationError:
            return "malformed"
        self.placements[request.model] = stamp, request.serial
        for other in [
            key for key, old in self.entries.items() if key[0] == request.model and not old.copy.placed
        ]:
            self._drop(other)  # replaced before it was complete
        self.entries[version] = entry = Entry(Copy(self.folder, *version, manifest), manifest)
        self.group.spawn(self.opener.open(entry), f"weights {request.model}")
        return "yes"

    def grant(self, stamp: Stamp, grant: Grant) -> str:
        """Accepts a grant and fetches under it. Returns "yes", or the reason for the refusal."""
        entry = self.entries.get((grant.model, grant.version))
        if grant.rate and (entry is None or not entry.ready):
            return "not known"
        if grant.rate and self.trouble is not None:
            return "disk"
        now = self.world.now()
        if (
            grant.rate
            and entry is not None
            and now >= entry.used + RECHECK_AFTER
            and self.group is not None
            and (entry.pieces.have != entry.manifest.full)
        ):
            entry.ready, self.changed = False, True  # another gateway of the site may have fetched pieces
            self.group.spawn(self.opener.recheck(entry), f"weights {grant.model}")
            return "looks again"
        result = self.grants.accept(stamp, grant, now)
        if entry is not None and (held := self.grants.held.get(grant.lane)) is not None:
            entry.used = max(entry.used, held.ends)
        if result == "yes" and self.group is not None:
            self.fetches.run(self.group, grant.lane)
        return result

    def release(self, stamp: Stamp, request: forms.Release) -> Coro[str]:
        """Puts a placed version in service; withdraws the model if the version is empty."""
        entry, last = (
            self.entries.get((request.model, request.version)),
            self.disk.releases.get(request.model, Released()),
        )
        if not self.grants.fence(stamp) or (stamp, request.serial) < (last.stamp, last.serial):
            return "older"
        if request.version and (entry is None or not entry.copy.placed):
            return "not placed"
        released = Released(request.version, stamp, request.serial)
        if last.version != request.version or last.stamp != stamp:
            try:
                yield from self.world.run_blocking(
                    lambda: self.folder.release(request.model, released), QUEUE
                )
            except DiskTrouble as error:
                self.pause_for_disk(error)
                return "disk"
        self.disk.releases[request.model] = released
        # Not awaited: the owner's call has a short timeout, and engines may be slow.
        if request.version and self.group is not None:
            self.group.spawn(self.engines.released(request.model, request.version), "weights released")
        for version in [
            key
            for key, old in self.entries.items()
            if key[0] == request.model
            and key[1] != request.version
            and (old.copy.placed or not request.version)
        ]:
            self._drop(version)
        if not request.version:
            self.placements.pop(request.model, None)
        self.disk.mark_outdated(request.model, self.wanted_versions(request.model))
        yield from self._clear(request.model)
        return "yes"

    # Periodic work.

    def serve(self) -> Coro[None]:
        """Runs for as long as the gateway does."""

        def body(group: Group) -> Coro[None]:
            yield from self._scan_disk()
            self.group, notified_at = group, self.world.now()
            while True:
                delay = CLEAR_PERIOD if self.trouble is None else self.trouble_until - self.world.now()
                yield from self.world.sleep(max(0, min(CLEAR_PERIOD, delay)))
                if self.trouble is not None and self.world.now() >= self.trouble_until:
                    self.trouble, self.changed = None, True
                yield from self._scan_disk()
                for model in list(self.disk.placed):
                    yield from self._clear(model)
                if self.world.now() >= notified_at + NOTIFY_PERIOD:
                    notified_at = self.world.now()
                    for model, released in list(self.disk.releases.items()):
                        if released.version in self.disk.placed.get(model, ()):
                            yield from self.engines.released(model, released.version)

        try:
            yield from self.world.group(body)
        finally:
            self.group = None
            for entry in self.entries.values():
                entry.copy.close()

    def _scan_disk(self) -> Coro[None]:
        """Reads what is on the disk."""
        try:
            model_errors = yield from self.disk.scan()
        except DiskTrouble as error:
            self.pause_for_disk(error)
        else:
            for model_error in model_errors if self.group is None else ():  # logged once, at the start
                self.log_error(model_error)

    def wanted_versions(self, model: str) -> set[str]:
        """The versions of the model that the owner wants here."""
        return {version for name, version in self.entries if name == model}

    def _drop(self, version: tuple[str, str]) -> None:
        entry = self.entries.pop(version)
        self.changed = True
        if entry.ready and self.group is not None:
            # Queued behind the disk calls in progress.
            self.group.spawn(self.world.run_blocking(entry.copy.close, QUEUE), "weights close")

    def _clear(self, model: str) -> Coro[None]:
        """Removes what is not released, wanted or used by an engine; partial files of this gateway only."""
        try:
            removed = yield from self.disk.clear(
                model, self.wanted_versions(model), lambda version: self.engines.used(model, version)
            )
        except DiskTrouble as error:
            self.pause_for_disk(error)
            return
        for path in removed:
            self.log("weights_removed", path=path)

    # Logs and reports.

    def log_error(self, error: WeightsError, **fields: Any) -> None:
        """Logs an error under its kind."""
        self.log(f"weights_{error.word}", why=str(error), remedy=error.remedy, **fields)

    def pause_for_disk(self, error: DiskTrouble) -> None:
        """After a disk error: ends the active grants and refuses others for `DISK_RETRY_TIME`."""
        self.trouble, self.trouble_until, self.changed = error, self.world.now() + DISK_RETRY_TIME, True
        self.grants.held.clear()
        self.log_error(error)

    def states(self) -> dict[str, int]:
        """The number of versions by state, for metrics."""
        return count_states(self.entries.values(), self.disk.releases)

    def report(self) -> forms.Report:
        """The report to the owner; resets `changed`."""
        now = self.world.now()
        have = []
        for entry in self.entries.values():
            piece_bits = "" if entry.copy.placed else forms.bits(entry.pieces.have)
            have.append(
                forms.Have(
                    *entry.version,
                    entry.manifest.whole,
                    piece_bits,
                    entry.copy.placed,
                    self.disk.releases.get(entry.model, Released()).version == entry.version[1],
                    entry.ready,
                    entry.trouble.word if entry.trouble is not None else "",
                )
            )
        known = {entry.model for entry in self.entries.values()}
        have += [
            forms.Have(model, version, known=False)
            for model, versions in self.disk.placed.items()
            if model not in known
            for version in versions
        ]
        trouble = None if self.trouble is None else forms.Trouble(self.trouble.word, str(self.trouble))
        self.changed = False
        return forms.Report(
            self.site,
            self.grants.gateway,
            Mark(self.grants.start, now),
            self.revenue(),
            tuple(have[:1024]),
            self.fetches.ran(now),
            self.sources.ejected(now),
            trouble,
        )

"""What a gateway does for the owner: takes grants while they run, fetches by them, and says what it has.

All state is this process's own; the disk is asked anew after a restart, the rest by the owner's next call.
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
from stackpitch.duties.weights.receiving.fetch_tasks import Entry, Lanes
from stackpitch.duties.weights.receiving.opener import WAIT, Opening
from stackpitch.duties.weights.receiving.site_disk import SiteDisk
from stackpitch.duties.weights.receiving.sources import Sources
from stackpitch.duties.weights.receiving.states import counted
from stackpitch.loop import SECOND, Coro, Group, Time, World

MOST_COPIES = 320  # versions known at once
IDLE: Time = (
    5 * SECOND
)  # a version without a grant for so long is looked for on the disk before it is fetched on
TELL: Time = (
    30 * SECOND
)  # how often engines are told again what is released: some were away, or have started since
CLEAR: Time = 5 * SECOND  # how often what is not needed any more is looked for
Log = Callable[..., None]  # a word, and fields by name


class Engines(Protocol):
    """Those of the site."""

    def used(self, model: str, version: str) -> bool: ...  # one runs on it, or may, or nobody knows
    def released(self, model: str, version: str) -> Coro[None]: ...  # they shall load it; may be told again


class Receiver:
    """`entries` go when their version is replaced or withdrawn."""

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
        self.placings: dict[
            str, tuple[Stamp, int]
        ] = {}  # the last word on each model; emptied as its entries are
        self.trouble: DiskTrouble | None = None
        self.trouble_until: Time = 0
        self.changed = True  # since the last report
        self.group: Group | None = None
        self.lanes, self.opening = Lanes(self), Opening(self)

    # Calls of the owner, which have passed the fence.

    def place(self, stamp: Stamp, asked: forms.Place) -> str:
        version = asked.model, asked.version
        if not self.grants.fence(stamp) or self.group is None:
            return "not now"
        entry = self.entries.get(version)
        if entry is not None:
            if entry.manifest.whole != asked.whole or entry.manifest.pieces != list(asked.pieces):
                self.said(VersionChanged(*version))
                return "differs"
            return "yes"
        if (stamp, asked.serial) < self.placings.get(asked.model, (stamp, 0)):
            return "older"
        if len(self.entries) >= MOST_COPIES:
            return "too many versions"
        try:
            manifest = Manifest(
                size=asked.size, piece=asked.piece, whole=asked.whole, pieces=list(asked.pieces)
            )
        except ValidationError:
            return "malformed"
        self.placings[asked.model] = stamp, asked.serial
        for other in [
            one for one, old in self.entries.items() if one[0] == asked.model and not old.copy.placed
        ]:
            self._drop(other)  # replaced before it was whole
        self.entries[version] = entry = Entry(Copy(self.folder, *version, manifest), manifest)
        self.group.spawn(self.opening.open(entry), f"weights {asked.model}")
        return "yes"

    def grant(self, stamp: Stamp, grant: Grant) -> str:
        entry = self.entries.get((grant.model, grant.version))
        if grant.rate and (entry is None or not entry.ready):
            return "not known"
        if grant.rate and self.trouble is not None:
            return "disk"
        now = self.world.now()
        if (
            grant.rate
            and entry is not None
            and now >= entry.used + IDLE
            and self.group is not None
            and (entry.pieces.have != entry.manifest.full)
        ):
            entry.ready, self.changed = False, True  # another gateway of the site may have fetched meanwhile
            self.group.spawn(self.opening.again(entry), f"weights {grant.model}")
            return "looks again"
        word = self.grants.accept(stamp, grant, now)
        if entry is not None and (held := self.grants.held.get(grant.lane)) is not None:
            entry.used = max(entry.used, held.ends)
        if word == "yes" and self.group is not None:
            self.lanes.run(self.group, grant.lane)
        return word

    def release(self, stamp: Stamp, asked: forms.Release) -> Coro[str]:
        entry, last = (
            self.entries.get((asked.model, asked.version)),
            self.disk.releases.get(asked.model, Released()),
        )
        if not self.grants.fence(stamp) or (stamp, asked.serial) < (last.stamp, last.serial):
            return "older"
        if asked.version and (entry is None or not entry.copy.placed):
            return "not placed"
        released = Released(asked.version, stamp, asked.serial)
        if last.version != asked.version or last.stamp != stamp:
            try:
                yield from self.world.run_blocking(lambda: self.folder.release(asked.model, released), QUEUE)
            except DiskTrouble as wrong:
                self.failed(wrong)
                return "disk"
        self.disk.releases[asked.model] = released
        if (
            asked.version and self.group is not None
        ):  # not waited for: the owner's call is short, and engines may be slow
            self.group.spawn(self.engines.released(asked.model, asked.version), "weights released")
        for version in [
            one
            for one, old in self.entries.items()
            if one[0] == asked.model and one[1] != asked.version and (old.copy.placed or not asked.version)
        ]:
            self._drop(version)
        if not asked.version:
            self.placings.pop(asked.model, None)
        self.disk.outdate(asked.model, self.wanted(asked.model))
        yield from self._clear(asked.model)
        return "yes"

    # What it does by itself.

    def serve(self) -> Coro[None]:
        """As long as the gateway runs."""

        def body(group: Group) -> Coro[None]:
            yield from self._look()
            self.group, told = group, self.world.now()
            while True:
                waits = CLEAR if self.trouble is None else self.trouble_until - self.world.now()
                yield from self.world.sleep(max(0, min(CLEAR, waits)))
                if self.trouble is not None and self.world.now() >= self.trouble_until:
                    self.trouble, self.changed = None, True
                yield from self._look()
                for model in list(self.disk.lying):
                    yield from self._clear(model)
                if self.world.now() >= told + TELL:
                    told = self.world.now()
                    for model, released in list(self.disk.releases.items()):
                        if released.version in self.disk.lying.get(model, ()):
                            yield from self.engines.released(model, released.version)

        try:
            yield from self.world.group(body)
        finally:
            self.group = None
            for entry in self.entries.values():
                entry.copy.close()

    def _look(self) -> Coro[None]:
        """What lies on the disk."""
        try:
            wrong = yield from self.disk.look()
        except DiskTrouble as all_of_it:
            self.failed(all_of_it)
        else:
            for one in wrong if self.group is None else ():  # once, at the start
                self.said(one)

    def wanted(self, model: str) -> set[str]:
        return {version for name, version in self.entries if name == model}

    def _drop(self, version: tuple[str, str]) -> None:
        entry = self.entries.pop(version)
        self.changed = True
        if entry.ready and self.group is not None:
            self.group.spawn(
                self.world.run_blocking(entry.copy.close, QUEUE), "weights close"
            )  # after what is under way

    def _clear(self, model: str) -> Coro[None]:
        """Removes what is neither released nor wanted nor used by an engine; partial files of this gateway's own alone."""
        try:
            gone = yield from self.disk.clear(
                model, self.wanted(model), lambda version: self.engines.used(model, version)
            )
        except DiskTrouble as wrong:
            self.failed(wrong)
            return
        for path in gone:
            self.log("weights_removed", path=path)

    # What is said.

    def said(self, wrong: WeightsError, **more: Any) -> None:
        self.log(f"weights_{wrong.word}", why=str(wrong), remedy=wrong.remedy, **more)

    def failed(self, wrong: DiskTrouble) -> None:
        """Nothing more is fetched until the disk has had time; what runs ends."""
        self.trouble, self.trouble_until, self.changed = wrong, self.world.now() + WAIT, True
        self.grants.held.clear()
        self.said(wrong)

    def states(self) -> dict[str, int]:
        return counted(self.entries.values(), self.disk.releases)

    def report(self) -> forms.Report:
        now = self.world.now()
        have = []
        for entry in self.entries.values():
            found = "" if entry.copy.placed else forms.bits(entry.pieces.have)
            have.append(
                forms.Have(
                    *entry.version,
                    entry.manifest.whole,
                    found,
                    entry.copy.placed,
                    self.disk.releases.get(entry.model, Released()).version == entry.version[1],
                    entry.ready,
                    entry.trouble.word if entry.trouble is not None else "",
                )
            )
        known = {entry.model for entry in self.entries.values()}
        have += [
            forms.Have(model, version, known=False)
            for model, versions in self.disk.lying.items()
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
            self.lanes.ran(now),
            self.sources.closed(now),
            trouble,
        )

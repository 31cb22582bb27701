"""Follows the wanted file. The last valid version stays in force while a newer one is invalid, and over a restart."""

from functools import partial
from pathlib import Path

from stackpitch.duties.weights.errors import VersionChanged, WantedRejected
from stackpitch.duties.weights.lastgood import LastGood
from stackpitch.duties.weights.placing.disk import QUEUE
from stackpitch.duties.weights.wanted import Wanted, read
from stackpitch.loop import Coro, World


class WantedFile:
    """The wanted file. `kept`: stores the last valid version across restarts; read at the first `look`."""

    def __init__(self, world: World, path: Path, kept: LastGood) -> None:
        self.world, self.path, self.kept = world, path, kept
        self.loaded = False
        self.current: Wanted | None = None
        self.rejected: WantedRejected | None = None  # the errors of the file as it is now
        self.seen: tuple[int, ...] = ()  # modification time, size and inode of the file that was read last

    def look(self) -> Coro[bool]:
        """Reads the file if it has changed. Whether it was read, valid or not."""

        def read_if_changed() -> tuple[tuple[int, ...], Wanted | WantedRejected | None, Wanted | None]:
            last = self.current if self.loaded else self.kept.load()
            try:
                stat = self.path.stat()
                seen: tuple[int, ...] = stat.st_mtime_ns, stat.st_size, stat.st_ino
            except OSError:
                seen = (0,)
            if seen == self.seen:
                return seen, None, last
            try:
                return seen, read(self.path), last
            except WantedRejected as error:
                return seen, error, last

        before = self.current
        self.seen, found, self.current = yield from self.world.run_blocking(read_if_changed)
        self.loaded = True
        if isinstance(found, Wanted) and (rejection := self._changed(found)) is not None:
            found = rejection
        if isinstance(found, Wanted):
            self.current, self.rejected = found, None
        elif found is not None:
            self.rejected = found
        if self.current is not None and (self.current is not before or self.kept.again):
            yield from self.world.run_blocking(partial(self.kept.save, self.current), QUEUE)
        return found is not None

    def _changed(self, wanted: Wanted) -> WantedRejected | None:
        """The error if a version has another manifest than before."""
        lines = []
        for name, model in wanted.models.items():
            old = self.current.models.get(name) if self.current is not None else None
            if old is not None and old.version == model.version and old.manifest != model.manifest:
                lines.append(
                    f"{self.path}: models.{name}.manifest: found another one for version {model.version} "
                    f"(whole {model.manifest.whole[:16]}); allowed: the one it had (whole {old.manifest.whole[:16]}), "
                    f"or a new version. {VersionChanged.remedy}"
                )
        return WantedRejected(str(self.path), "\n".join(lines)) if lines else None

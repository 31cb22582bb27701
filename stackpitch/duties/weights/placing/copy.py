"""One version's bytes on this disk: from what is left of an earlier life to the whole in its place. Each call blocks for
`PART` bytes at most and raises DiskTrouble, or Gone once the copy was closed.

The file is renamed into place after every piece was checked on the way in, the whole was read back and checked, and the
file was synced; so whatever a crash leaves, what lies under `placed` is whole. It is checked again when a process starts
all the same, since a disk may spoil it later.
"""

from collections.abc import Generator, Iterator

from blake3 import blake3

from stackpitch.duties.weights.errors import DiskCorrupt, Gone, WholeDiffers
from stackpitch.duties.weights.manifest import Manifest
from stackpitch.duties.weights.placing.disk import trouble
from stackpitch.duties.weights.placing.folder import Folder, read_all, write_all

PART = 4 << 20  # bytes read, written and hashed in one step
SYNC = 64 << 20  # bytes written, after which they are synced, so that the last sync is short


class Copy:
    """`descriptor` stays valid through the rename, for neighbours that read meanwhile."""

    def __init__(self, folder: Folder, model: str, version: str, manifest: Manifest) -> None:
        self.folder, self.model, self.version, self.manifest = folder, model, version, manifest
        self.partial, self.place = folder.partial(model, version), folder.placed(model, version)
        self.descriptor: int | None = None
        self.placed = False
        self.have = 0  # pieces that are on the disk and checked
        self.unsynced = 0  # bytes

    def open(self) -> None:
        """The file in its place, or the partial one, made if there is none."""
        disk = self.folder.disk
        try:
            for path in (self.place, self.partial):
                disk.make_folder(path.rpartition("/")[0])
            disk.sync_folder(
                self.place.rpartition("/")[0]
            )  # a process that ended after its rename may have left this undone
            try:
                self.descriptor, self.placed = disk.open(self.place), True
            except FileNotFoundError:
                self.descriptor = disk.open(self.partial, create=True)
            if disk.size(self.descriptor) > self.manifest.size and not self.placed:
                disk.truncate(self.descriptor, self.manifest.size)
        except OSError as wrong:
            raise trouble(wrong, self.partial) from None

    def recheck(self) -> Iterator[None]:
        """Reads what is there; then what other gateways on this disk have of the rest."""
        for piece in range(self.manifest.count):
            if (yield from self._right(piece)):
                self.have |= 1 << piece
        if self.placed and (self.have != self.manifest.full or self._size() != self.manifest.size):
            self._out_of_place()
        if not self.placed:
            for path in self.folder.others(self.model, self.version):
                yield from self._adopt(path)

    def again(self, begun: int) -> Iterator[None]:
        """Some time later: another gateway on this disk may have put it in place, or come further. `have` goes on. `begun`:
        pieces of which a part is here; another's bytes must not come between."""
        disk, (folder, _, name) = self.folder.disk, self.place.rpartition("/")
        try:
            if not self.placed and name in disk.list_folder(folder):
                old, self.descriptor = self._file(), disk.open(self.place)
                disk.close(old)
                self.placed, self.have = True, 0
                yield from self.recheck()
                if self.placed:
                    self.folder.remove(self.partial)
            others = [] if self.placed else self.folder.others(self.model, self.version)
        except OSError as wrong:
            raise trouble(wrong, self.place) from None
        for path in others:
            yield from self._adopt(path, begun)

    def _out_of_place(self) -> None:
        """The disk has spoilt it: good pieces are kept, the rest is fetched anew."""
        disk, self.placed = self.folder.disk, False
        try:
            disk.rename(self.place, self.partial)
            disk.sync_folder(self.place.rpartition("/")[0])
            if self.descriptor is not None and disk.size(self.descriptor) > self.manifest.size:
                disk.truncate(self.descriptor, self.manifest.size)
        except OSError as wrong:
            raise trouble(wrong, self.place) from None

    def _adopt(self, path: str, but: int = 0) -> Iterator[None]:
        disk = self.folder.disk
        try:
            descriptor = disk.open(path)
        except OSError:
            return  # it went meanwhile
        try:
            for piece in range(self.manifest.count):
                if not (self.have | but) >> piece & 1:
                    found = blake3()
                    for at, size in self._parts(piece):
                        data = read_all(disk, descriptor, at, size)
                        if len(data) < size:
                            break  # it ends here
                        found.update(data)
                        self.write(at, data)
                        yield
                    if found.hexdigest() == self.manifest.pieces[piece]:
                        self.have |= 1 << piece
        except OSError as wrong:
            raise trouble(wrong, path) from None
        finally:
            disk.close(descriptor)

    def _parts(self, piece: int) -> Iterator[tuple[int, int]]:
        begin, size = self.manifest.span(piece)
        return ((at, min(PART, begin + size - at)) for at in range(begin, begin + size, PART))

    def _right(self, piece: int, whole: blake3 | None = None) -> Generator[None, None, bool]:
        """Whether it is as the manifest has it; adds it to the whole's digest."""
        found = blake3()
        for at, size in self._parts(piece):
            data = self.read(at, size)
            found.update(data)
            if whole is not None:
                whole.update(data)
            if len(data) < size:
                break
            yield
        return found.hexdigest() == self.manifest.pieces[piece]

    def _file(self) -> int:
        if self.descriptor is None:
            raise Gone(self.model, self.version)
        return self.descriptor

    def _size(self) -> int:
        file = self._file()
        try:
            return self.folder.disk.size(file)
        except OSError as wrong:
            raise trouble(wrong, self.partial) from None

    def read(self, at: int, size: int) -> bytes:
        """Less at the end of the file."""
        file = self._file()
        try:
            return read_all(self.folder.disk, file, at, size)
        except OSError as wrong:
            raise trouble(wrong, self.partial) from None

    def write(self, at: int, data: bytes) -> None:
        file = self._file()
        try:
            write_all(self.folder.disk, file, at, data)
            self.unsynced += len(data)
            if self.unsynced >= SYNC:
                self._sync(file)
        except OSError as wrong:
            raise trouble(wrong, self.partial) from None

    def _sync(self, file: int) -> None:
        """Guards against a second sync that says nothing of what the first one lost: after a failed one every piece is to
        be fetched again, also by a process that starts later."""
        try:
            self.folder.disk.sync(file)
        except OSError:
            self.have = 0
            self.folder.disk.truncate(file, 0)
            raise
        finally:
            self.unsynced = 0

    def finish(self) -> Iterator[None]:
        """Checks the whole, then syncs and renames. Raises WholeDiffers; DiskCorrupt if a piece that was right when it
        came is not any more: that one is to be fetched again."""
        disk, whole = self.folder.disk, blake3()
        for piece in range(self.manifest.count):
            if not (yield from self._right(piece, whole)):
                self.have &= ~(1 << piece)
                raise DiskCorrupt(
                    self.partial, f"piece {piece} was right when it was written and is not when it is read"
                )
        if whole.hexdigest() != self.manifest.whole:
            raise WholeDiffers(self.model, self.version, whole.hexdigest())
        try:
            self._sync(self._file())
            yield
            self._file()
            disk.rename(self.partial, self.place)
            disk.sync_folder(self.place.rpartition("/")[0])
        except OSError as wrong:
            raise trouble(wrong, self.partial) from None
        self.placed = True

    def close(self) -> None:
        if self.descriptor is not None:
            try:
                self.folder.disk.close(self.descriptor)
            except OSError:
                pass
            self.descriptor = None

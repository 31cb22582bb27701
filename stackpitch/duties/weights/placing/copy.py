"""One version's bytes on this disk: from what is left of an earlier life to the whole in its place. Each call blocks for
one piece at most and raises DiskTrouble, or Gone once the copy was closed.

The file is renamed into place after every piece was checked on the way in, the whole was read back and checked, and the
file was synced; so whatever a crash leaves, what lies under `placed` is whole. It is checked again when a process starts
all the same, since a disk may spoil it later.
"""

from collections.abc import Iterator

from blake3 import blake3

from stackpitch.duties.weights.errors import DiskCorrupt, Gone, WholeDiffers
from stackpitch.duties.weights.manifest import Manifest
from stackpitch.duties.weights.placing.disk import trouble
from stackpitch.duties.weights.placing.folder import Folder, write_all


class Copy:
    """`descriptor` stays valid through the rename, for neighbours that read meanwhile."""

    def __init__(self, folder: Folder, model: str, version: str, manifest: Manifest) -> None:
        self.folder, self.model, self.version, self.manifest = folder, model, version, manifest
        self.partial, self.place = folder.partial(model, version), folder.placed(model, version)
        self.descriptor: int | None = None
        self.placed = False
        self.have = 0  # pieces that are on the disk and checked

    def open(self) -> None:
        """The file in its place, or the partial one, made if there is none."""
        disk = self.folder.disk
        try:
            for path in (self.place, self.partial):
                disk.folder(path.rpartition("/")[0])
            disk.sync_folder(self.place.rpartition("/")[0])  # a process that ended after its rename may have left this undone
            try:
                self.descriptor, self.placed = disk.open(self.place), True
            except FileNotFoundError:
                self.descriptor = disk.open(self.partial, create=True)
            if disk.size(self.descriptor) > self.manifest.size and not self.placed:
                disk.truncate(self.descriptor, self.manifest.size)
        except OSError as wrong:
            raise trouble(wrong, self.partial) from None

    def recheck(self) -> Iterator[None]:
        """Reads what is there, a piece each step; then what other gateways on this disk have of the rest."""
        for piece in range(self.manifest.count):
            if self._good(self._read(piece), piece):
                self.have |= 1 << piece
            yield
        if self.placed and (self.have != self.manifest.full or self._size() != self.manifest.size):
            self._out_of_place()
        if not self.placed:
            for path in self.folder.others(self.model, self.version):
                yield from self._adopt(path)

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

    def _adopt(self, path: str) -> Iterator[None]:
        disk = self.folder.disk
        try:
            descriptor = disk.open(path)
        except OSError:
            return  # it went meanwhile
        try:
            for piece in range(self.manifest.count):
                if not self.have >> piece & 1:
                    at, size = self.manifest.span(piece)
                    data = disk.read(descriptor, at, size)
                    if self._good(data, piece):
                        self.write(at, data)
                        self.have |= 1 << piece
                    yield
        except OSError as wrong:
            raise trouble(wrong, path) from None
        finally:
            disk.close(descriptor)

    def _good(self, data: bytes, piece: int) -> bool:
        return len(data) == self.manifest.span(piece)[1] and blake3(data).hexdigest() == self.manifest.pieces[piece]

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

    def _read(self, piece: int) -> bytes:
        return self.read(*self.manifest.span(piece))

    def read(self, at: int, size: int) -> bytes:
        """Less at the end of the file."""
        file = self._file()
        try:
            parts, got = [], 0
            while got < size and (part := self.folder.disk.read(file, at + got, size - got)):
                parts.append(part)
                got += len(part)
            return b"".join(parts)
        except OSError as wrong:
            raise trouble(wrong, self.partial) from None

    def write(self, at: int, data: bytes) -> None:
        file = self._file()
        try:
            write_all(self.folder.disk, file, at, data)
        except OSError as wrong:
            raise trouble(wrong, self.partial) from None

    def finish(self) -> Iterator[None]:
        """Checks the whole, a piece each step, then syncs and renames. Raises WholeDiffers; DiskCorrupt if a piece that
        was right when it came is not any more: that one is to be fetched again."""
        disk, whole = self.folder.disk, blake3()
        for piece in range(self.manifest.count):
            data = self._read(piece)
            if not self._good(data, piece):
                self.have &= ~(1 << piece)
                raise DiskCorrupt(self.partial, f"piece {piece} was right when it was written and is not when it is read")
            whole.update(data)
            yield
        if whole.hexdigest() != self.manifest.whole:
            raise WholeDiffers(self.model, self.version, whole.hexdigest())
        try:
            disk.sync(self._file())
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

"""One version's file on this disk, from what an earlier process left to the complete file in its place.

Each step blocks for `MAX_STEP_BYTES` at most. Calls raise DiskTrouble, or Gone once the copy is closed.

The file is renamed into place after every piece was checked on arrival, the complete file was read back and checked, and
the file was synced. So whatever a crash leaves, a file under `placed` is complete. It is still checked again when a
process starts, since the disk may corrupt it later.
"""

from collections.abc import Generator, Iterator

from blake3 import blake3

from stackpitch.duties.weights.errors import DiskCorrupt, Gone, WholeDiffers
from stackpitch.duties.weights.manifest import Manifest
from stackpitch.duties.weights.placing.disk import disk_error
from stackpitch.duties.weights.placing.folder import Folder, read_all, write_all

MAX_STEP_BYTES = 4 << 20  # read, written and hashed in one step
SYNC_BYTES = 64 << 20  # synced after so many bytes are written, so that the last sync is short


class Copy:
    """The file of one version. `descriptor` stays valid through the rename, for neighbours that read meanwhile."""

    def __init__(self, folder: Folder, model: str, version: str, manifest: Manifest) -> None:
        self.folder, self.model, self.version, self.manifest = folder, model, version, manifest
        self.partial_path, self.placed_path = folder.partial(model, version), folder.placed(model, version)
        self.descriptor: int | None = None
        self.placed = False
        self.have = 0  # bit set of pieces that are on the disk and checked
        self.unsynced = 0  # bytes

    def open(self) -> None:
        """Opens the placed file, or the partial one, which is created if it does not exist."""
        disk = self.folder.disk
        try:
            for path in (self.placed_path, self.partial_path):
                disk.make_folder(path.rpartition("/")[0])
            # A process that ended after its rename may not have synced the folder.
            disk.sync_folder(self.placed_path.rpartition("/")[0])
            try:
                self.descriptor, self.placed = disk.open(self.placed_path), True
            except FileNotFoundError:
                self.descriptor = disk.open(self.partial_path, create=True)
            if disk.size(self.descriptor) > self.manifest.size and not self.placed:
                disk.truncate(self.descriptor, self.manifest.size)
        except OSError as error:
            raise disk_error(error, self.partial_path) from None

    def recheck(self) -> Iterator[None]:
        """Checks the pieces in the file, then copies missing ones from other gateways on this disk."""
        for piece in range(self.manifest.count):
            if (yield from self._is_right(piece)):
                self.have |= 1 << piece
        if self.placed and (self.have != self.manifest.full or self._size() != self.manifest.size):
            self._move_back()
        if not self.placed:
            for path in self.folder.other_partials(self.model, self.version):
                yield from self._copy_pieces(path)

    def rescan(self, partial_pieces: int) -> Iterator[None]:
        """Looks again for what other gateways on this disk have placed or fetched by now. Keeps `have`.

        `partial_pieces`: bit set of pieces of which a part is here. They are not copied, so that the bytes of two transfers
        don't mix.
        """
        disk, (folder, _, name) = self.folder.disk, self.placed_path.rpartition("/")
        try:
            if not self.placed and name in disk.list_folder(folder):
                old, self.descriptor = self._file(), disk.open(self.placed_path)
                disk.close(old)
                self.placed, self.have = True, 0
                yield from self.recheck()
                if self.placed:
                    self.folder.remove(self.partial_path)
            other_paths = [] if self.placed else self.folder.other_partials(self.model, self.version)
        except OSError as error:
            raise disk_error(error, self.placed_path) from None
        for path in other_paths:
            yield from self._copy_pieces(path, partial_pieces)

    def _move_back(self) -> None:
        """Moves a corrupted placed file back to the partial one: its good pieces are kept, the rest is fetched again."""
        disk, self.placed = self.folder.disk, False
        try:
            disk.rename(self.placed_path, self.partial_path)
            disk.sync_folder(self.placed_path.rpartition("/")[0])
            if self.descriptor is not None and disk.size(self.descriptor) > self.manifest.size:
                disk.truncate(self.descriptor, self.manifest.size)
        except OSError as error:
            raise disk_error(error, self.placed_path) from None

    def _copy_pieces(self, path: str, excluded: int = 0) -> Iterator[None]:
        """Copies the right pieces that are missing here from another gateway's partial file."""
        disk = self.folder.disk
        try:
            descriptor = disk.open(path)
        except OSError:
            return  # the file was removed meanwhile
        try:
            for piece in range(self.manifest.count):
                if not (self.have | excluded) >> piece & 1:
                    piece_hash = blake3()
                    for at, size in self._steps(piece):
                        data = read_all(disk, descriptor, at, size)
                        if len(data) < size:
                            break  # the file ends here
                        piece_hash.update(data)
                        self.write(at, data)
                        yield
                    if piece_hash.hexdigest() == self.manifest.pieces[piece]:
                        self.have |= 1 << piece
        except OSError as error:
            raise disk_error(error, path) from None
        finally:
            disk.close(descriptor)

    def _steps(self, piece: int) -> Iterator[tuple[int, int]]:
        begin, size = self.manifest.span(piece)
        return (
            (at, min(MAX_STEP_BYTES, begin + size - at)) for at in range(begin, begin + size, MAX_STEP_BYTES)
        )

    def _is_right(self, piece: int, whole: blake3 | None = None) -> Generator[None, None, bool]:
        """Whether the piece has the manifest's digest. Adds its bytes to `whole`, the digest of the file."""
        piece_hash = blake3()
        for at, size in self._steps(piece):
            data = self.read(at, size)
            piece_hash.update(data)
            if whole is not None:
                whole.update(data)
            if len(data) < size:
                break
            yield
        return piece_hash.hexdigest() == self.manifest.pieces[piece]

    def _file(self) -> int:
        if self.descriptor is None:
            raise Gone(self.model, self.version)
        return self.descriptor

    def _size(self) -> int:
        file = self._file()
        try:
            return self.folder.disk.size(file)
        except OSError as error:
            raise disk_error(error, self.partial_path) from None

    def read(self, at: int, size: int) -> bytes:
        """Fewer than `size` bytes at the end of the file."""
        file = self._file()
        try:
            return read_all(self.folder.disk, file, at, size)
        except OSError as error:
            raise disk_error(error, self.partial_path) from None

    def write(self, at: int, data: bytes) -> None:
        file = self._file()
        try:
            write_all(self.folder.disk, file, at, data)
            self.unsynced += len(data)
            if self.unsynced >= SYNC_BYTES:
                self._sync(file)
        except OSError as error:
            raise disk_error(error, self.partial_path) from None

    def _sync(self, file: int) -> None:
        """Syncs the file. After a failure every piece is fetched again, also by a process that starts later.

        A second sync could succeed without reporting the data that the first one lost.
        """
        try:
            self.folder.disk.sync(file)
        except OSError:
            self.have = 0
            self.folder.disk.truncate(file, 0)
            raise
        finally:
            self.unsynced = 0

    def finish(self) -> Iterator[None]:
        """Checks the complete file, then syncs it and renames it into place.

        Raises WholeDiffers. Raises DiskCorrupt if a piece that was right on arrival no longer is; it is fetched again.
        """
        disk, whole = self.folder.disk, blake3()
        for piece in range(self.manifest.count):
            if not (yield from self._is_right(piece, whole)):
                self.have &= ~(1 << piece)
                raise DiskCorrupt(
                    self.partial_path,
                    f"piece {piece} was right when it was written, but its digest differs when it is read back",
                )
        if whole.hexdigest() != self.manifest.whole:
            raise WholeDiffers(self.model, self.version, whole.hexdigest())
        try:
            self._sync(self._file())
            yield
            self._file()
            disk.rename(self.partial_path, self.placed_path)
            disk.sync_folder(self.placed_path.rpartition("/")[0])
        except OSError as error:
            raise disk_error(error, self.partial_path) from None
        self.placed = True

    def close(self) -> None:
        """Closes the file; later calls raise Gone."""
        if self.descriptor is not None:
            try:
                self.folder.disk.close(self.descriptor)
            except OSError:
                pass
            self.descriptor = None

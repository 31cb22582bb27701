"""The file of a voting replica: its identity and promises, in a log that survives a crash at any byte.

Calls block: run them on a worker thread. A lock file keeps a second process out. `serial` counts the
promises written over the file's life; the other voting replicas store the highest serial that they know of
it, and so detect an older copy of the file, even after all of them have restarted.
"""

import msgspec

from stackpitch.durable.log import Log
from stackpitch.duties.ownership.errors import FileOfAnother, FileTaken, FileUnreadable
from stackpitch.duties.ownership.voter import Promise
from stackpitch.loop import Files

MAGIC, FORMAT = b"stackpitch voter\n", 1


class Identity(msgspec.Struct, frozen=True, tag="voter"):
    """Whose file it is.

    `generation`: the one in which its promises are valid; promises of an older one are only reported to
    others. `seen`: the highest known serials of the other voting replicas. It is a field of this entry so
    that versions without it can still read the file.
    """

    fleet: str
    number: int
    generation: int
    seen: dict[int, int] = {}


class Saved(msgspec.Struct, frozen=True, tag="saved"):
    """The latest promise of one duty, with the serial of its write."""

    serial: int
    duty: str
    promise: Promise


ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Identity | Saved)


class PromiseStore:
    """One voting replica's file. `promises` has one entry per duty ever granted; entries are never removed.

    The file may be one write ahead of what was answered.
    """

    def __init__(self, files: Files, path: str, identity: Identity, compact_bytes: int = 4 << 20) -> None:
        self.files, self.path, self.identity = files, path, identity
        self.file_identity: Identity | None = None  # as read from the file; None: the file was new
        self.serial = self.durable_serial = 0  # `durable_serial` is on disk and may be sent
        self.seen: dict[int, int] = {}
        self.promises: dict[str, Promise] = {}
        self.lock: int | None = None
        self.log = Log(files, path, MAGIC, FORMAT, "voter's file", self._all_entries, compact_bytes)

    @property
    def empty(self) -> bool:
        """Whether there was no file of this generation."""
        return self.file_identity is None or self.file_identity.generation != self.identity.generation

    def open(self) -> None:
        """Locks and reads the file. Raises FileTaken, FileOfAnother, FileUnreadable, and closes it then."""
        try:
            self._open()
        except BaseException:
            self.close()
            raise

    def _open(self) -> None:
        try:
            self.lock = self.files.open(f"{self.path}.lock", create=True)
            locked = self.files.lock(self.lock)
        except OSError as error:
            raise FileUnreadable(self.path, error.strerror or str(error)) from None
        if not locked:
            raise FileTaken(self.path, "another process holds its lock")
        self.log.open(self._load_entry)
        if self.log.error:
            raise FileUnreadable(self.path, self.log.error)
        identity = self.file_identity
        if identity is not None and (identity.fleet, identity.number) != (
            self.identity.fleet,
            self.identity.number,
        ):
            raise FileOfAnother(
                self.path,
                f"it is that of voter {identity.number} of fleet {identity.fleet!r}, this is voter "
                f"{self.identity.number} of {self.identity.fleet!r}",
            )

    def _load_entry(self, body: bytes) -> bool:
        try:
            record = DECODER.decode(body)
        except msgspec.DecodeError:
            return False
        if isinstance(record, Identity):
            self.file_identity, self.seen = record, record.seen
        else:
            self.serial = self.durable_serial = record.serial
            self.promises[record.duty] = record.promise
        return True

    def _all_entries(self) -> list[bytes]:
        saved = [Saved(self.serial, duty, promise) for duty, promise in self.promises.items()]
        return [ENCODER.encode(entry) for entry in [self._identity_entry(), *saved]]

    def _identity_entry(self) -> Identity:
        return msgspec.structs.replace(self.identity, seen=self.seen)

    def initialize(self, promises: dict[str, Promise], serial: int = 0) -> bool:
        """Writes this replica's identity and the promises it starts from; returns whether they are on disk.

        Serials continue from `serial` if that is higher than the file's.
        """
        self.promises, self.serial = promises, max(self.serial, serial)
        if not self.log.add(ENCODER.encode(self._identity_entry())):
            return False
        return all([self.save(duty, promise) for duty, promise in promises.items()])

    def save(self, duty: str, promise: Promise) -> bool:
        """Writes one promise; returns whether it is on disk."""
        self.serial += 1
        self.promises[duty] = promise
        return self._mark_durable(self.log.add(ENCODER.encode(Saved(self.serial, duty, promise))))

    def save_seen(self, seen: dict[int, int]) -> bool:
        """Writes the other voting replicas' serials; returns whether they are on disk.

        This doesn't raise `serial`: otherwise replicas that report their writes to each other would never
        stop.
        """
        self.seen = seen
        return self._mark_durable(self.log.add(ENCODER.encode(self._identity_entry())))

    def _mark_durable(self, written: bool) -> bool:
        # After a failed write the log rewrites the whole file, so one success makes every promise durable.
        self.durable_serial = self.serial if written else self.durable_serial
        return written

    def close(self) -> None:
        """Closes the file and releases its lock."""
        self.log.close()
        if self.lock is not None:
            self.files.close(self.lock)
            self.lock = None

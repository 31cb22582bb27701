"""A voter's file: whose it is, and each promise, in a log that survives a crash at any byte. Calls block: run them aside.

A lock beside it keeps a second process out. `serial` counts the promises written in the file's life; other voters keep the
highest that they have heard of in their own files, and so know an older copy when they see one, also if all have restarted.
"""

import msgspec

from stackpitch.durable.log import Log
from stackpitch.duties.ownership.errors import FileOfAnother, FileTaken, FileUnreadable
from stackpitch.duties.ownership.voting_replica import Promise
from stackpitch.loop import Files

MAGIC, FORMAT = b"stackpitch voter\n", 1


class Identity(msgspec.Struct, frozen=True, tag="voter"):
    """`generation`: the one that its promises are good for; an older one's are kept as what was found. `seen`: the other
    voters' serials as this one heard them; in here, so that versions that don't know it read the file all the same."""

    fleet: str
    number: int
    generation: int
    seen: dict[int, int] = {}


class Saved(msgspec.Struct, frozen=True, tag="saved"):
    serial: int
    duty: str
    promise: Promise


ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Identity | Saved)


class PromiseStore:
    """One file. One entry a duty that was ever named; what is on disk may be one write ahead of what was answered."""

    def __init__(self, files: Files, path: str, identity: Identity, compact_bytes: int = 4 << 20) -> None:
        self.files, self.path, self.identity = files, path, identity
        self.file_identity: Identity | None = None  # whose file it was at opening; None: there was none
        self.serial = self.durable_serial = 0  # `told`: what of it is on disk, and may be told to others
        self.seen: dict[int, int] = {}
        self.promises: dict[str, Promise] = {}
        self.lock: int | None = None
        self.log = Log(files, path, MAGIC, FORMAT, "voter's file", self._all_entries, compact_bytes)

    @property
    def empty(self) -> bool:
        """No file of this generation."""
        return self.file_identity is None or self.file_identity.generation != self.identity.generation

    def open(self) -> None:
        """Raises FileTaken, FileOfAnother, FileUnreadable; then it is not open."""
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
        found = self.file_identity
        if found is not None and (found.fleet, found.number) != (self.identity.fleet, self.identity.number):
            raise FileOfAnother(
                self.path,
                f"it is that of voter {found.number} of fleet {found.fleet!r}, this is voter "
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
        return [ENCODER.encode(one) for one in [self._identity_entry(), *saved]]

    def _identity_entry(self) -> Identity:
        return msgspec.structs.replace(self.identity, seen=self.seen)

    def initialize(self, promises: dict[str, Promise], serial: int = 0) -> bool:
        """Takes the file as ours from now on, with what it holds and what was learned; whether it is on disk. `serial`: to
        count on from, if it is higher."""
        self.promises, self.serial = promises, max(self.serial, serial)
        if not self.log.add(ENCODER.encode(self._identity_entry())):
            return False
        return all([self.save(duty, promise) for duty, promise in promises.items()])

    def save(self, duty: str, promise: Promise) -> bool:
        """Whether it is on disk."""
        self.serial += 1
        self.promises[duty] = promise
        return self._mark_durable(self.log.add(ENCODER.encode(Saved(self.serial, duty, promise))))

    def save_seen(self, seen: dict[int, int]) -> bool:
        """Keeps what others' serials are; whether it is on disk. It counts as no write: voters that tell each other of
        their writes would never come to an end."""
        self.seen = seen
        return self._mark_durable(self.log.add(ENCODER.encode(self._identity_entry())))

    def _mark_durable(self, good: bool) -> bool:
        self.durable_serial = (
            self.serial if good else self.durable_serial
        )  # after trouble the file is written anew, whole
        return good

    def close(self) -> None:
        self.log.close()
        if self.lock is not None:
            self.files.close(self.lock)
            self.lock = None

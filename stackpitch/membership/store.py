"""The server lists that took effect and their history, in a crash-safe log file (`durable.log`)."""

import msgspec

from stackpitch.durable import log
from stackpitch.loop import Files
from stackpitch.membership.entries import Entry

MAGIC, FORMAT = b"stackpitch store\n", 1
# Total over all stored lists, so that rewriting the file stays fast.
MAX_ENTRIES = 20_000


class AppliedList(msgspec.Struct, frozen=True, tag="kept"):
    """A list that took effect."""

    at_unix_ms: int
    source: str
    version: int
    digest: str
    entries: tuple[Entry, ...]
    why: str = ""
    changed: str = ""


class UnappliedList(msgspec.Struct, frozen=True, tag="noted"):
    """A list that did not take effect, or not yet. `word` is the outcome."""

    at_unix_ms: int
    source: str
    version: int
    digest: str
    word: str
    reasons: tuple[str, ...]


class SavedState(msgspec.Struct, frozen=True, tag="state"):
    """Other state for the next start of the gateway, which `warmstart` validates."""

    at_unix_ms: int
    data: bytes


Record = AppliedList | UnappliedList | SavedState
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Record)


def header() -> bytes:
    """The start of a store's file."""
    return log.header(MAGIC, FORMAT)


def frame(record: Record) -> bytes:
    """A record as stored."""
    return log.frame(ENCODER.encode(record))


class Store:
    """One store file. Keeps the last `lists` applied and `notes` unapplied lists; older ones are dropped."""

    def __init__(
        self, files: Files, path: str, lists: int = 20, notes: int = 200, most_bytes: int = 8 << 20
    ) -> None:
        self.lists, self.notes = lists, notes
        self.applied: list[AppliedList] = []
        self.unapplied: list[UnappliedList] = []
        self.state: SavedState | None = None
        self.log = log.Log(files, path, MAGIC, FORMAT, "store", self._snapshot, most_bytes)

    @property
    def path(self) -> str:
        return self.log.path

    @property
    def error(self) -> str:
        """The current disk error; empty if there is none."""
        return self.log.error

    @property
    def recovery_note(self) -> str:
        """What was dropped or set aside when the file was opened, for the log."""
        return self.log.recovery_note

    @recovery_note.setter
    def recovery_note(self, text: str) -> None:
        self.log.recovery_note = text

    def open(self) -> None:
        """Reads the file. An unreadable one is renamed, never overwritten."""
        self.log.open(self._on_record)

    def _on_record(self, body: bytes) -> bool:
        try:
            self._remember(DECODER.decode(body))
        except msgspec.DecodeError:
            return False
        return True

    def _snapshot(self) -> list[bytes]:
        records: list[Record] = [
            *self.unapplied,
            *self.applied,
            *([self.state] if self.state is not None else []),
        ]
        return [ENCODER.encode(record) for record in records]

    def _remember(self, record: Record) -> None:
        if isinstance(record, AppliedList):
            self.applied = [*self.applied[1 - self.lists :], record] if self.lists > 1 else [record]
            while (
                len(self.applied) > 2 and sum(len(applied.entries) for applied in self.applied) > MAX_ENTRIES
            ):
                del self.applied[0]
        elif isinstance(record, UnappliedList):
            self.unapplied = [*self.unapplied[1 - self.notes :], record]
        else:
            self.state = record

    def add(self, record: Record, sync: bool = True) -> bool:
        """Stores a record and returns whether it is on disk. One that could not be written stays in memory
        and is part of the next rewrite.

        Raises OverflowError on a number that the store's format doesn't have; the record is then dropped.
        """
        encoded = ENCODER.encode(record)  # first: one that can't be encoded must not be part of any rewrite
        if not self.log.loaded:
            self._reopen()
        self._remember(record)
        return self.log.add(encoded, sync)

    def _reopen(self) -> None:
        """Reads the file after an earlier read error; its records go before those added since."""
        since: list[Record] = [
            *self.unapplied,
            *self.applied,
            *([self.state] if self.state is not None else []),
        ]
        self.applied, self.unapplied = [], []
        self.log.open(self._on_record)
        for record in since:
            self._remember(record)

    def close(self) -> None:
        """Closes the file."""
        self.log.close()

    def last(self) -> AppliedList | None:
        """The list that took effect last."""
        return self.applied[-1] if self.applied else None

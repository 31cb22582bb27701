"""The last good lists and their history in one file that a crash at any byte leaves whole (`durable.log`)."""

import msgspec

from stackpitch.durable import log
from stackpitch.loop import Files
from stackpitch.membership.entries import Entry

MAGIC, FORMAT = b"stackpitch store\n", 1
MOST_ENTRIES = 20_000  # over all lists kept: writing them anew must stay short


class AppliedList(msgspec.Struct, frozen=True, tag="kept"):
    """A list that came into force."""

    at_unix_ms: int
    source: str
    version: int
    digest: str
    entries: tuple[Entry, ...]
    why: str = ""
    changed: str = ""


class UnappliedList(msgspec.Struct, frozen=True, tag="noted"):
    """A list that did not, or not yet: what became of it and why."""

    at_unix_ms: int
    source: str
    version: int
    digest: str
    word: str
    reasons: tuple[str, ...]


class SavedState(msgspec.Struct, frozen=True, tag="state"):
    """What else a gateway that starts again may use, as `warmstart` judges it."""

    at_unix_ms: int
    data: bytes


Record = AppliedList | UnappliedList | SavedState
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Record)


def header() -> bytes:
    return log.header(MAGIC, FORMAT)


def frame(record: Record) -> bytes:
    return log.frame(ENCODER.encode(record))


class Store:
    """One file. Holds `lists` lists and `notes` notes."""

    def __init__(
        self, files: Files, path: str, lists: int = 20, notes: int = 200, most_bytes: int = 8 << 20
    ) -> None:
        self.lists, self.notes = lists, notes
        self.applied: list[AppliedList] = []
        self.unapplied: list[UnappliedList] = []
        self.state: SavedState | None = None
        self.log = log.Log(files, path, MAGIC, FORMAT, "store", self._whole, most_bytes)

    @property
    def path(self) -> str:
        return self.log.path

    @property
    def error(self) -> str:
        """What is wrong with the file now; else empty."""
        return self.log.error

    @property
    def recovery_note(self) -> str:
        """What was met at opening, for the log."""
        return self.log.recovery_note

    @recovery_note.setter
    def recovery_note(self, text: str) -> None:
        self.log.recovery_note = text

    def open(self) -> None:
        """Reads what is there. What can't be read is set aside under another name, never overwritten."""
        self.log.open(self._take)

    def _take(self, body: bytes) -> bool:
        try:
            self._remember(DECODER.decode(body))
        except msgspec.DecodeError:
            return False
        return True

    def _whole(self) -> list[bytes]:
        records: list[Record] = [
            *self.unapplied,
            *self.applied,
            *([self.state] if self.state is not None else []),
        ]
        return [ENCODER.encode(one) for one in records]

    def _remember(self, record: Record) -> None:
        if isinstance(record, AppliedList):
            self.applied = [*self.applied[1 - self.lists :], record] if self.lists > 1 else [record]
            while len(self.applied) > 2 and sum(len(one.entries) for one in self.applied) > MOST_ENTRIES:
                del self.applied[0]
        elif isinstance(record, UnappliedList):
            self.unapplied = [*self.unapplied[1 - self.notes :], record]
        else:
            self.state = record

    def add(self, record: Record, sync: bool = True) -> bool:
        """Whether it is on disk now. What could not be written is still remembered, and so is part of the next
        rewriting."""
        if not self.log.loaded:
            self._read_again()
        self._remember(record)
        return self.log.add(ENCODER.encode(record), sync)

    def _read_again(self) -> None:
        """Guards what the file holds against a fault of the disk at its opening: it comes before what was added since."""
        since: list[Record] = [
            *self.unapplied,
            *self.applied,
            *([self.state] if self.state is not None else []),
        ]
        self.applied, self.unapplied = [], []
        self.log.open(self._take)
        for record in since:
            self._remember(record)

    def close(self) -> None:
        self.log.close()

    def last(self) -> AppliedList | None:
        return self.applied[-1] if self.applied else None

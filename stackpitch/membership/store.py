"""The last good lists and their history in one file that a crash at any byte leaves whole.

An append-only log of records, each with its length and a checksum; what follows the first record that is cut or wrong
is dropped at the next opening. When it has grown too large it is written anew beside itself and renamed. All trouble
with the disk is met: the store says what is wrong, keeps nothing for as long, and tries again.
"""

import os
import struct
from collections.abc import Iterator
from zlib import crc32

import msgspec

from stackpitch.loop import Files
from stackpitch.membership.entries import Entry

MAGIC, FORMAT = b"stackpitch store\n", 1
HEAD = struct.Struct("<HI")  # format, checksum of the magic and the format
FRAME = struct.Struct("<II")  # length and checksum of what follows
LARGEST = 64 << 20
MOST_ENTRIES = 20_000  # over all lists kept: writing them anew must stay short


class Kept(msgspec.Struct, frozen=True, tag="kept"):
    """A list that came into force."""

    at_unix_ms: int
    source: str
    version: int
    digest: str
    entries: tuple[Entry, ...]
    why: str = ""
    changed: str = ""


class Noted(msgspec.Struct, frozen=True, tag="noted"):
    """A list that did not, or not yet: what became of it and why."""

    at_unix_ms: int
    source: str
    version: int
    digest: str
    word: str
    reasons: tuple[str, ...]


class State(msgspec.Struct, frozen=True, tag="state"):
    """What else a gateway that starts again may use, as `warmstart` judges it."""

    at_unix_ms: int
    data: bytes


Record = Kept | Noted | State
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Record)


def header() -> bytes:
    return MAGIC + HEAD.pack(FORMAT, crc32(MAGIC + struct.pack("<H", FORMAT)))


def framed(record: Record) -> bytes:
    body = ENCODER.encode(record)
    return FRAME.pack(len(body), crc32(body)) + body


def records(raw: bytes, at: int) -> Iterator[tuple[Record, int]]:
    """Whole records with the place after each; ends at the first that is not."""
    while at + FRAME.size <= len(raw):
        size, checksum = FRAME.unpack_from(raw, at)
        body = raw[at + FRAME.size:at + FRAME.size + size]
        if size > LARGEST or len(body) < size or crc32(body) != checksum:
            return
        try:
            record = DECODER.decode(body)
        except msgspec.DecodeError:
            return  # whole, but not of this format's kinds
        at += FRAME.size + size
        yield record, at


class Store:
    """One file. `trouble` says what is wrong with it now, else it is empty. Holds `lists` lists and `notes` notes."""

    def __init__(self, files: Files, path: str, lists: int = 20, notes: int = 200, most_bytes: int = 8 << 20) -> None:
        self.files, self.path, self.lists, self.notes, self.most = files, path, lists, notes, most_bytes
        self.trouble, self.found = "", ""  # `found`: what was met at opening, for the log
        self.kept: list[Kept] = []
        self.noted: list[Noted] = []
        self.state: State | None = None
        self.descriptor: int | None = None
        self.good = 0  # bytes that are known to be whole
        self.rewritten = 0  # bytes right after the last rewriting

    def open(self) -> None:
        """Reads what is there. What can't be read is set aside under another name, never overwritten."""
        try:
            self._open()
        except OSError as wrong:
            self._fail(wrong)

    def _open(self) -> None:
        descriptor = self.files.open(self.path, create=True)
        try:
            raw = self._read_all(descriptor)
            if raw and raw != header()[:len(raw)] and not raw.startswith(header()):
                self.files.close(descriptor)
                aside = f"{self.path}.unread"
                self.files.rename(self.path, aside)
                known = raw.startswith(MAGIC) and len(raw) >= len(MAGIC) + 2
                form = struct.unpack_from("<H", raw, len(MAGIC))[0] if known else 0
                what = f"of format {form}, not {FORMAT}" if known and form != FORMAT else "no store, or its head is damaged"
                self.found = f"{self.path} was {what}; it is now {aside}"
                descriptor, raw = self.files.open(self.path, create=True), b""
            if len(raw) < len(header()):
                self.files.truncate(descriptor, 0)
                self._write(descriptor, header())
                self.files.sync(descriptor)
                raw = header()
            self.good = len(header())
            for record, after in records(raw, self.good):
                self._remember(record)
                self.good = after
            if self.good < len(raw):
                self.found = f"{self.path}: {len(raw) - self.good} bytes at its end were not whole and are dropped"
                self.files.truncate(descriptor, self.good)
            self.descriptor = descriptor
        except BaseException:
            if self.descriptor is None:
                try:
                    self.files.close(descriptor)
                except OSError:
                    pass
            raise

    def _read_all(self, descriptor: int) -> bytes:
        parts, at, size = [], 0, self.files.size(descriptor)
        while at < size:
            part = self.files.read(descriptor, at, size - at)
            if not part:
                break
            parts.append(part)
            at += len(part)
        return b"".join(parts)

    def _remember(self, record: Record) -> None:
        if isinstance(record, Kept):
            self.kept = [*self.kept[1 - self.lists:], record] if self.lists > 1 else [record]
            while len(self.kept) > 2 and sum(len(one.entries) for one in self.kept) > MOST_ENTRIES:
                del self.kept[0]
        elif isinstance(record, Noted):
            self.noted = [*self.noted[1 - self.notes:], record]
        else:
            self.state = record

    def _write(self, descriptor: int, data: bytes) -> None:
        while data:
            data = data[self.files.write(descriptor, data):]

    def _fail(self, wrong: OSError) -> None:
        self.trouble = f"{self.path}: {wrong.strerror or wrong}"

    def add(self, record: Record, sync: bool = True) -> bool:
        """Whether it is on disk now. What could not be written is still remembered, and so is part of the next
        rewriting."""
        self._remember(record)
        try:
            if self.descriptor is None or self.trouble:
                self._rewrite()  # the file may hold half a record, or none of the last ones
            elif self.good > max(self.most, 2 * self.rewritten):
                self._rewrite()
            else:
                data = framed(record)
                self._write(self.descriptor, data)
                if sync:
                    self.files.sync(self.descriptor)
                self.good += len(data)
        except OSError as wrong:
            self._fail(wrong)
            return False
        self.trouble = ""
        return True

    def _rewrite(self) -> None:
        beside = f"{self.path}.new"
        fresh = self.files.open(beside, create=True, empty=True)
        try:
            all_of_it: list[Record] = [*self.noted, *self.kept, *([self.state] if self.state is not None else [])]
            parts = [header(), *map(framed, all_of_it)]
            self._write(fresh, b"".join(parts))
            self.files.sync(fresh)
            self.files.rename(beside, self.path)
            self.files.sync_folder(os.path.dirname(os.path.abspath(self.path)))
        except BaseException:
            try:
                self.files.close(fresh)
            except OSError:
                pass
            raise
        old, self.descriptor, self.good = self.descriptor, fresh, sum(map(len, parts))
        self.rewritten = self.good
        if old is not None:
            self.files.close(old)

    def close(self) -> None:
        if self.descriptor is not None:
            self.files.close(self.descriptor)
            self.descriptor = None

    def last(self) -> Kept | None:
        return self.kept[-1] if self.kept else None

"""An append-only log of records, each with its length and a checksum, in one file.

What follows the first record that is cut or wrong is dropped at the next opening. When it has grown too large it is written
anew beside itself and renamed. All trouble with the disk is met: the log says what is wrong, keeps nothing for as long, and
writes itself anew once it can.
"""

import os
import struct
from collections.abc import Callable, Iterable, Iterator
from zlib import crc32

from stackpitch.loop import Files

HEAD = struct.Struct("<HI")  # format, checksum of the magic and the format
FRAME = struct.Struct("<II")  # length and checksum of what follows
MAX_RECORD_BYTES = 64 << 20


def header(magic: bytes, form: int) -> bytes:
    return magic + HEAD.pack(form, crc32(magic + struct.pack("<H", form)))


def frame(body: bytes) -> bytes:
    return FRAME.pack(len(body), crc32(body)) + body


def bodies(raw: bytes, at: int) -> Iterator[tuple[bytes, int]]:
    """Whole records with the place after each; ends at the first that is not."""
    while at + FRAME.size <= len(raw):
        size, checksum = FRAME.unpack_from(raw, at)
        body = raw[at + FRAME.size : at + FRAME.size + size]
        if size > MAX_RECORD_BYTES or len(body) < size or crc32(body) != checksum:
            return
        at += FRAME.size + size
        yield body, at


class Log:
    """One file. `trouble` says what is wrong with it now, else it is empty; `found` what was met at opening.

    `whole` gives all that is to be kept, for writing the file anew once it is over `most` bytes and twice what it was
    after the last time. `what` names the kind of file in complaints.
    """

    def __init__(
        self,
        files: Files,
        path: str,
        magic: bytes,
        form: int,
        what: str,
        snapshot: Callable[[], Iterable[bytes]],
        max_bytes: int = 8 << 20,
    ) -> None:
        self.files, self.path, self.magic, self.form, self.what = files, path, magic, form, what
        self.snapshot, self.max_bytes = snapshot, max_bytes
        self.error, self.recovery_note = "", ""
        self.loaded = False  # what the file holds is known; until then it is not written
        self.descriptor: int | None = None
        self.valid_size = 0  # bytes that are known to be whole
        self.rewritten = 0  # bytes right after the last rewriting

    def open(self, take: Callable[[bytes], bool]) -> None:
        """Reads what is there; `take` is given each record, and says whether it is of a known kind. What is no such log
        is set aside under another name, never overwritten. A file that could not be read for now may be opened again."""
        try:
            descriptor = self.files.open(self.path, create=True)
        except OSError as wrong:
            self._fail(wrong)
            return
        try:
            raw = self._read_all(descriptor)
            if self._is_ours(raw):
                self.descriptor = descriptor
            else:
                self._set_aside(raw)
                self.files.close(descriptor)
                raw = b""
        except OSError as wrong:
            self._fail(wrong)
            self._close(descriptor)
            return
        self.loaded, self.error = True, ""
        self.valid_size = self._take_all(raw, take)
        self._mend(raw)

    def _is_ours(self, raw: bytes) -> bool:
        head = header(self.magic, self.form)
        return raw.startswith(head[: len(raw)])

    def _set_aside(self, raw: bytes) -> None:
        aside = f"{self.path}.unread"
        self.files.rename(self.path, aside)
        known = raw.startswith(self.magic) and len(raw) >= len(self.magic) + 2
        form = struct.unpack_from("<H", raw, len(self.magic))[0] if known else 0
        what = (
            f"of format {form}, not {self.form}"
            if known and form != self.form
            else f"no {self.what}, or its head is damaged"
        )
        self.recovery_note = f"{self.path} was {what}; it is now {aside}"

    def _take_all(self, raw: bytes, take: Callable[[bytes], bool]) -> int:
        """Bytes up to the first record that is not whole, or not of this format's kinds."""
        good = min(len(raw), len(header(self.magic, self.form)))
        for body, after in bodies(raw, good):
            if not take(body):
                break
            good = after
        return good

    def _mend(self, raw: bytes) -> None:
        """Makes the file one that can be added to. Where that fails, the next record writes it anew."""
        head = header(self.magic, self.form)
        try:
            if self.descriptor is None:
                self.descriptor = self.files.open(self.path, create=True)
            if len(raw) < len(head):
                self.files.truncate(self.descriptor, 0)
                self._write(self.descriptor, head)
                self.files.sync(self.descriptor)
                self.files.sync_folder(os.path.dirname(os.path.abspath(self.path)))  # or the name may be lost
                self.valid_size = len(head)
            elif self.valid_size < len(raw):
                self.recovery_note = f"{self.path}: dropped {len(raw) - self.valid_size} bytes of incomplete records at the end"
                self.files.truncate(self.descriptor, self.valid_size)
        except OSError as wrong:
            self._fail(wrong)

    def _read_all(self, descriptor: int) -> bytes:
        parts, at, size = [], 0, self.files.size(descriptor)
        while at < size:
            part = self.files.read(descriptor, at, size - at)
            if not part:
                break
            parts.append(part)
            at += len(part)
        return b"".join(parts)

    def _write(self, descriptor: int, data: bytes) -> None:
        while data:
            data = data[self.files.write(descriptor, data) :]

    def _fail(self, wrong: OSError) -> None:
        self.error = f"{self.path}: {wrong.strerror or wrong}"

    def add(self, body: bytes, sync: bool = True) -> bool:
        """Whether it is on disk now. After trouble the file is written anew from `whole`, which has to hold what could
        not be written. A file that could not be read is never replaced: `open` it again first."""
        if not self.loaded:
            return False
        try:
            if self.descriptor is None or self.error:
                self._rewrite()  # the file may hold half a record, or none of the last ones
            elif self.valid_size > max(self.max_bytes, 2 * self.rewritten):
                self._rewrite()
            else:
                data = frame(body)
                self._write(self.descriptor, data)
                if sync:
                    self.files.sync(self.descriptor)
                self.valid_size += len(data)
        except OSError as wrong:
            self._fail(wrong)
            return False
        self.error = ""
        return True

    def _rewrite(self) -> None:
        beside = f"{self.path}.new"
        fresh = self.files.open(beside, create=True, empty=True)
        try:
            parts = [header(self.magic, self.form), *map(frame, self.snapshot())]
            self._write(fresh, b"".join(parts))
            self.files.sync(fresh)
            self.files.rename(beside, self.path)
            self.files.sync_folder(os.path.dirname(os.path.abspath(self.path)))
        except BaseException:
            self._close(fresh)
            raise
        old, self.descriptor, self.valid_size = self.descriptor, fresh, sum(map(len, parts))
        self.rewritten = self.valid_size
        if old is not None:
            self._close(old)

    def _close(self, descriptor: int) -> None:
        try:
            self.files.close(descriptor)
        except OSError:  # it is closed all the same, and nothing on disk depends on it
            pass

    def close(self) -> None:
        if self.descriptor is not None:
            self._close(self.descriptor)
            self.descriptor = None

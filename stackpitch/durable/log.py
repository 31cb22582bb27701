"""An append-only log in one file; each record is stored with its length and a checksum.

Everything from the first incomplete or damaged record on is dropped when the log is opened. A log that has
grown too large is rewritten to a temporary file, which then replaces it. Disk errors are not raised: the log
reports them in `error`, stores nothing while they last, and rewrites itself once the disk works again.
"""

import os
import struct
from collections.abc import Callable, Iterable, Iterator
from zlib import crc32

from stackpitch.loop import Files

HEAD = struct.Struct("<HI")  # format version, checksum of the magic bytes and the version
FRAME = struct.Struct("<II")  # length and checksum of the record that follows
MAX_RECORD_BYTES = 64 << 20


def header(magic: bytes, version: int) -> bytes:
    """The start of a file: magic bytes, format version, checksum."""
    return magic + HEAD.pack(version, crc32(magic + struct.pack("<H", version)))


def frame(body: bytes) -> bytes:
    """A record as stored: length, checksum, body."""
    return FRAME.pack(len(body), crc32(body)) + body


def read_records(raw: bytes, offset: int) -> Iterator[tuple[bytes, int]]:
    """Yields each complete record and the offset after it; stops at the first incomplete or damaged one."""
    while offset + FRAME.size <= len(raw):
        size, checksum = FRAME.unpack_from(raw, offset)
        body = raw[offset + FRAME.size : offset + FRAME.size + size]
        if size > MAX_RECORD_BYTES or len(body) < size or crc32(body) != checksum:
            return
        offset += FRAME.size + size
        yield body, offset


class Log:
    """One log file. `error` is the current disk error, empty if there is none; `recovery_note` says what was
    dropped or set aside when the file was opened.

    `snapshot` returns the records that must survive. The file is rewritten from them once it is larger than
    `max_bytes` and than twice its size after the previous rewrite. `kind` names the kind of file in messages.
    """

    def __init__(
        self,
        files: Files,
        path: str,
        magic: bytes,
        version: int,
        kind: str,
        snapshot: Callable[[], Iterable[bytes]],
        max_bytes: int = 8 << 20,
    ) -> None:
        self.files, self.path, self.magic, self.version, self.kind = files, path, magic, version, kind
        self.snapshot, self.max_bytes = snapshot, max_bytes
        self.error, self.recovery_note = "", ""
        self.loaded = False  # the file has been read; until then it is not written
        self.descriptor: int | None = None
        self.valid_size = 0  # bytes of the header and of complete records
        self.rewritten_size = 0  # bytes right after the last rewrite

    def open(self, on_record: Callable[[bytes], bool]) -> None:
        """Reads the file. `on_record` gets each record and returns whether it is of a known kind.

        A file that is not a log of this kind is renamed, never overwritten. After a read error the file may
        be opened again.
        """
        try:
            descriptor = self.files.open(self.path, create=True)
        except OSError as error:
            self._fail(error)
            return
        try:
            raw = self._read_all(descriptor)
            if self._is_this_log(raw):
                self.descriptor = descriptor
            else:
                self._set_aside(raw)
                self.files.close(descriptor)
                raw = b""
        except OSError as error:
            self._fail(error)
            self._close(descriptor)
            return
        self.loaded, self.error = True, ""
        self.valid_size = self._read_valid(raw, on_record)
        self._repair(raw)

    def _is_this_log(self, raw: bytes) -> bool:
        head = header(self.magic, self.version)
        return raw.startswith(head[: len(raw)])

    def _set_aside(self, raw: bytes) -> None:
        unread = f"{self.path}.unread"
        self.files.rename(self.path, unread)
        known = raw.startswith(self.magic) and len(raw) >= len(self.magic) + 2
        version = struct.unpack_from("<H", raw, len(self.magic))[0] if known else 0
        description = (
            f"of format {version}, not {self.version}"
            if known and version != self.version
            else f"no {self.kind}, or its header is damaged"
        )
        self.recovery_note = f"{self.path} was {description}; it is now {unread}"

    def _read_valid(self, raw: bytes, on_record: Callable[[bytes], bool]) -> int:
        """Returns the size of the valid part, which ends at the first damaged or unknown record."""
        valid_size = min(len(raw), len(header(self.magic, self.version)))
        for body, after in read_records(raw, valid_size):
            if not on_record(body):
                break
            valid_size = after
        return valid_size

    def _repair(self, raw: bytes) -> None:
        """Prepares the file for appending. If that fails, the next record rewrites it."""
        head = header(self.magic, self.version)
        try:
            if self.descriptor is None:
                self.descriptor = self.files.open(self.path, create=True)
            if len(raw) < len(head):
                self.files.truncate(self.descriptor, 0)
                self._write(self.descriptor, head)
                self.files.sync(self.descriptor)
                # Without this a crash may lose the file's name.
                self.files.sync_folder(os.path.dirname(os.path.abspath(self.path)))
                self.valid_size = len(head)
            elif self.valid_size < len(raw):
                self.recovery_note = (
                    f"{self.path}: dropped {len(raw) - self.valid_size} incomplete bytes at the end"
                )
                self.files.truncate(self.descriptor, self.valid_size)
        except OSError as error:
            self._fail(error)

    def _read_all(self, descriptor: int) -> bytes:
        parts, offset, size = [], 0, self.files.size(descriptor)
        while offset < size:
            part = self.files.read(descriptor, offset, size - offset)
            if not part:
                break
            parts.append(part)
            offset += len(part)
        return b"".join(parts)

    def _write(self, descriptor: int, data: bytes) -> None:
        while data:
            data = data[self.files.write(descriptor, data) :]

    def _fail(self, error: OSError) -> None:
        self.error = f"{self.path}: {error.strerror or error}"

    def add(self, body: bytes, sync: bool = True) -> bool:
        """Appends a record and returns whether it is on disk.

        After an error the file is rewritten from `snapshot`, which must include the records that could not be
        written. A file that could not be read is never replaced: `open` it again first.
        """
        if not self.loaded:
            return False
        try:
            if self.descriptor is None or self.error:
                self._rewrite()  # its end may be incomplete, or the last records may be missing
            elif self.valid_size > max(self.max_bytes, 2 * self.rewritten_size):
                self._rewrite()
            else:
                data = frame(body)
                self._write(self.descriptor, data)
                if sync:
                    self.files.sync(self.descriptor)
                self.valid_size += len(data)
        except OSError as error:
            self._fail(error)
            return False
        self.error = ""
        return True

    def _rewrite(self) -> None:
        temporary = f"{self.path}.new"
        descriptor = self.files.open(temporary, create=True, empty=True)
        try:
            parts = [header(self.magic, self.version), *map(frame, self.snapshot())]
            self._write(descriptor, b"".join(parts))
            self.files.sync(descriptor)
            self.files.rename(temporary, self.path)
            self.files.sync_folder(os.path.dirname(os.path.abspath(self.path)))
        except BaseException:
            self._close(descriptor)
            raise
        old, self.descriptor, self.valid_size = self.descriptor, descriptor, sum(map(len, parts))
        self.rewritten_size = self.valid_size
        if old is not None:
            self._close(old)

    def _close(self, descriptor: int) -> None:
        try:
            self.files.close(descriptor)
        except OSError:  # the descriptor is released all the same, and nothing on disk depends on it
            pass

    def close(self) -> None:
        """Closes the file."""
        if self.descriptor is not None:
            self._close(self.descriptor)
            self.descriptor = None

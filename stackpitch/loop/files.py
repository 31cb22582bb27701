"""Files for append-only logs: one method per system call, so that tests can inject a crash after any."""

import fcntl
import os
from typing import Protocol


class Files(Protocol):
    """All methods raise OSError."""

    def open(self, path: str, create: bool = False, empty: bool = False) -> int:
        """Opens for reading and appending and returns a descriptor. `empty` truncates the file."""
        ...

    def size(self, descriptor: int) -> int:
        """Size in bytes."""
        ...

    def read(self, descriptor: int, at: int, most: int) -> bytes:
        """Reads up to `most` bytes from offset `at`."""
        ...

    def write(self, descriptor: int, data: bytes) -> int:
        """Appends and returns the number of bytes written, which may be less than all, as with write(2)."""
        ...

    def sync(self, descriptor: int) -> None:
        """Flushes the file's data to disk."""
        ...

    def truncate(self, descriptor: int, size: int) -> None:
        """Sets the size."""
        ...

    def close(self, descriptor: int) -> None:
        """Closes the descriptor and releases its lock."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames atomically, replacing `new`."""
        ...

    def sync_folder(self, path: str) -> None:
        """Flushes the folder's entries to disk, so that created and renamed files survive a crash."""
        ...

    def lock(self, descriptor: int) -> bool:
        """Takes an exclusive lock until the descriptor is closed; False if another process holds it."""
        ...


class RealFiles:
    """Files of the operating system."""

    def open(self, path: str, create: bool = False, empty: bool = False) -> int:
        flags = (
            os.O_RDWR
            | os.O_APPEND
            | os.O_CLOEXEC
            | (os.O_CREAT if create else 0)
            | (os.O_TRUNC if empty else 0)
        )
        return os.open(path, flags, 0o644)

    def size(self, descriptor: int) -> int:
        return os.fstat(descriptor).st_size

    def read(self, descriptor: int, at: int, most: int) -> bytes:
        return os.pread(descriptor, most, at)

    def write(self, descriptor: int, data: bytes) -> int:
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        os.fdatasync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        os.ftruncate(descriptor, size)

    def close(self, descriptor: int) -> None:
        os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        os.replace(old, new)

    def sync_folder(self, path: str) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, descriptor: int) -> bool:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

"""Files as a store needs them, a method for each system call, so that tests can cut off after any of them."""

import fcntl
import os
from typing import Protocol


class Files(Protocol):
    """All raise OSError."""

    def open(self, path: str, create: bool = False, empty: bool = False) -> int: ...  # to read and append
    def size(self, descriptor: int) -> int: ...
    def read(self, descriptor: int, at: int, most: int) -> bytes: ...
    def write(
        self, descriptor: int, data: bytes
    ) -> int: ...  # appends; how much of it, as a system call does
    def sync(self, descriptor: int) -> None: ...
    def truncate(self, descriptor: int, size: int) -> None: ...
    def close(self, descriptor: int) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def sync_folder(self, path: str) -> None: ...
    def lock(self, descriptor: int) -> bool: ...  # for as long as it is open; False: another process has it


class RealFiles:
    """This machine's."""

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

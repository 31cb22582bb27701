"""File system for large files: one method per system call.

All of them block, so call them through `World.run_blocking`.
"""

import os
from typing import Protocol


class FileSystem(Protocol):
    """All methods raise OSError."""

    def open(self, path: str, create: bool = False) -> int:
        """Opens for random-access reading and writing and returns a descriptor."""
        ...

    def size(self, descriptor: int) -> int:
        """Size in bytes."""
        ...

    def read(self, descriptor: int, at: int, most: int) -> bytes:
        """Reads up to `most` bytes from offset `at`."""
        ...

    def write(self, descriptor: int, at: int, data: bytes) -> int:
        """Writes at offset `at` and returns the number of bytes written, which may be less than all."""
        ...

    def truncate(self, descriptor: int, size: int) -> None:
        """Sets the size."""
        ...

    def sync(self, descriptor: int) -> None:
        """Flushes the file to disk."""
        ...

    def close(self, descriptor: int) -> None:
        """Closes the descriptor."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames atomically, replacing `new`."""
        ...

    def remove(self, path: str) -> None:
        """Deletes a file."""
        ...

    def make_folder(self, path: str) -> None:
        """Creates the folder and any missing parents, and flushes them to disk."""
        ...

    def list_folder(self, path: str) -> list[str]:
        """Sorted names of the entries; empty if there is no such folder."""
        ...

    def sync_folder(self, path: str) -> None:
        """Flushes the folder's entries to disk."""
        ...


class RealFileSystem:
    """File system of the operating system."""

    def open(self, path: str, create: bool = False) -> int:
        return os.open(path, os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT if create else 0), 0o644)

    def size(self, descriptor: int) -> int:
        return os.fstat(descriptor).st_size

    def read(self, descriptor: int, at: int, most: int) -> bytes:
        return os.pread(descriptor, most, at)

    def write(self, descriptor: int, at: int, data: bytes) -> int:
        return os.pwrite(descriptor, data, at)

    def truncate(self, descriptor: int, size: int) -> None:
        os.ftruncate(descriptor, size)

    def sync(self, descriptor: int) -> None:
        os.fsync(descriptor)

    def close(self, descriptor: int) -> None:
        os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        os.replace(old, new)

    def remove(self, path: str) -> None:
        os.unlink(path)

    def make_folder(self, path: str) -> None:
        missing, folder = [], os.path.abspath(path)
        while not os.path.isdir(folder):
            missing.append(folder)
            folder = os.path.dirname(folder)
        os.makedirs(path, exist_ok=True)
        for created in missing:
            self.sync_folder(os.path.dirname(created))

    def list_folder(self, path: str) -> list[str]:
        try:
            return sorted(os.listdir(path))
        except (FileNotFoundError, NotADirectoryError):
            return []

    def sync_folder(self, path: str) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

"""A disk for large files, a method for each system call. All calls block: run them aside."""

import os
from typing import Protocol


class FileSystem(Protocol):
    """All raise OSError."""

    def open(self, path: str, create: bool = False) -> int: ...  # to read and write, anywhere in it
    def size(self, descriptor: int) -> int: ...
    def read(self, descriptor: int, at: int, most: int) -> bytes: ...
    def write(
        self, descriptor: int, at: int, data: bytes
    ) -> int: ...  # how much of it, as a system call does
    def truncate(self, descriptor: int, size: int) -> None: ...
    def sync(self, descriptor: int) -> None: ...
    def close(self, descriptor: int) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, path: str) -> None: ...
    def make_folder(self, path: str) -> None: ...  # makes it and those above it, where missing, durably
    def list_folder(self, path: str) -> list[str]: ...  # in order; none if there is no such folder
    def sync_folder(self, path: str) -> None: ...


class RealFileSystem:
    """This machine's."""

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
        made, here = [], os.path.abspath(path)
        while not os.path.isdir(here):
            made.append(here)
            here = os.path.dirname(here)
        os.makedirs(path, exist_ok=True)
        for one in made:
            self.sync_folder(os.path.dirname(one))

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

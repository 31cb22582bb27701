"""Log files on a disk with transient errors: a record that `add` reported as stored is never lost."""

import errno
import os
from pathlib import Path

import pytest

from stackpitch.durable.log import Log
from stackpitch.loop import RealFiles
from stackpitch.membership.store import Store, UnappliedList

CALLS = ["open", "size", "read", "write", "sync", "truncate", "rename", "sync_folder"]


class FailingFiles(RealFiles):
    """Named calls fail a given number of times; `short`: reads and writes transfer only a few bytes."""

    def __init__(self) -> None:
        self.fail: dict[str, int] = {}
        self.short = False

    def _may_fail(self, call: str) -> None:
        if self.fail.get(call, 0) > 0:
            self.fail[call] -= 1
            raise OSError(errno.EIO, os.strerror(errno.EIO))

    def open(self, path: str, create: bool = False, empty: bool = False) -> int:
        self._may_fail("open")
        return super().open(path, create, empty)

    def size(self, descriptor: int) -> int:
        self._may_fail("size")
        return super().size(descriptor)

    def read(self, descriptor: int, at: int, most: int) -> bytes:
        self._may_fail("read")
        return super().read(descriptor, at, min(most, 7) if self.short else most)

    def write(self, descriptor: int, data: bytes) -> int:
        self._may_fail("write")
        return super().write(descriptor, data[:5] if self.short else data)

    def sync(self, descriptor: int) -> None:
        self._may_fail("sync")
        super().sync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        self._may_fail("truncate")
        super().truncate(descriptor, size)

    def rename(self, old: str, new: str) -> None:
        self._may_fail("rename")
        super().rename(old, new)

    def sync_folder(self, path: str) -> None:
        self._may_fail("sync_folder")
        super().sync_folder(path)


def note(version: int) -> UnappliedList:
    return UnappliedList(0, "file", version, "", "rejected", ())


def versions(path: Path) -> list[int]:
    """Versions in the file, as read by a newly started process."""
    store = Store(RealFiles(), str(path))
    store.open()
    store.close()
    return [record.version for record in store.unapplied]


def store_versions(path: Path, call: str, times: int, torn: bool, short: bool) -> list[int]:
    """Adds a version, reopens the store while `call` fails, adds more; returns those reported as stored.

    `torn` appends an incomplete record before the store is opened again.
    """
    files = FailingFiles()
    before = Store(files, str(path))
    before.open()
    stored = [1] if before.add(note(1)) else []
    before.close()
    if torn:
        with open(path, "ab") as file:
            file.write(b"half a record")
    files.fail[call], files.short = times, short
    store = Store(files, str(path))
    store.open()
    stored += [version for version in range(2, 6) if store.add(note(version))]
    store.close()
    return stored


@pytest.mark.parametrize("call", CALLS)
def test_a_disk_error_loses_no_stored_record(tmp_path: Path, call: str) -> None:
    for times in (1, 2, 3, 9):
        for torn in (False, True):
            for short in (False, True):
                path = tmp_path / f"{times}{torn}{short}"
                stored = store_versions(path, call, times, torn, short)
                read_back = versions(path)
                case = f"{call} fails {times} times, torn: {torn}, short: {short}"
                assert set(stored) <= set(read_back), (
                    f"{case}: {stored} were stored, {read_back} were read back"
                )
                assert read_back == sorted(set(read_back)), f"{case}: reordered or duplicated: {read_back}"
                assert times > 3 or 5 in stored, f"{case}: nothing is stored after the errors"


def test_after_a_failed_sync_the_file_is_rewritten(tmp_path: Path) -> None:
    """After a failed fsync the kernel may have dropped the dirty pages, even if the next fsync succeeds."""
    files, path = FailingFiles(), str(tmp_path / "log")
    bodies: list[bytes] = []
    log = Log(files, path, b"magic", 1, "log", lambda: bodies)
    log.open(lambda body: True)
    before = os.stat(path).st_ino
    files.fail["sync"] = 1
    bodies.append(b"one")
    assert not log.add(b"one")
    bodies.append(b"two")
    assert log.add(b"two")
    assert os.stat(path).st_ino != before

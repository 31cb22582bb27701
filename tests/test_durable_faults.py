"""Kept files under a disk that fails for a moment: what was kept stays, and what could not be written isn't said to be."""

import errno
import os
from pathlib import Path

import pytest

from stackpitch.durable.log import Log
from stackpitch.loop import RealFiles
from stackpitch.membership.store import Store, UnappliedList

CALLS = ["open", "size", "read", "write", "sync", "truncate", "rename", "sync_folder"]


class FailingFiles(RealFiles):
    """The calls that are named fail so many times; writes take a part only if they are `short`."""

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
    """As a process that starts now finds them."""
    store = Store(RealFiles(), str(path))
    store.open()
    store.close()
    return [one.version for one in store.unapplied]


def play(path: Path, call: str, times: int, torn: bool, short: bool) -> list[int]:
    """Versions that were said to be on disk: one from before, some added while and after `call` fails, at the
    opening or later."""
    files = FailingFiles()
    before = Store(files, str(path))
    before.open()
    taken = [1] if before.add(note(1)) else []
    before.close()
    if torn:
        with open(path, "ab") as file:
            file.write(b"half a record")
    files.fail[call], files.short = times, short
    store = Store(files, str(path))
    store.open()
    taken += [version for version in range(2, 6) if store.add(note(version))]
    store.close()
    return taken


@pytest.mark.parametrize("call", CALLS)
def test_a_fault_of_the_disk_loses_nothing_that_was_kept(tmp_path: Path, call: str) -> None:
    for times in (1, 2, 3, 9):
        for torn in (False, True):
            for short in (False, True):
                path = tmp_path / f"{times}{torn}{short}"
                taken = play(path, call, times, torn, short)
                found = versions(path)
                case = f"{call} fails {times} times, torn: {torn}, short: {short}"
                assert set(taken) <= set(found), f"{case}: {taken} were taken on, {found} are there"
                assert found == sorted(set(found)), f"{case}: in another order, or twice: {found}"
                assert times > 3 or 5 in taken, f"{case}: nothing is kept after it"


def test_after_a_failed_sync_the_file_is_written_anew(tmp_path: Path) -> None:
    """What the failed sync covered may be gone from the system's buffers, whatever the next one says."""
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

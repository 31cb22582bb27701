"""Builds the preloaded library of faults (`faults.c`) and steers it while a process runs."""

import mmap
import os
import shutil
import struct
import subprocess
from collections.abc import Mapping
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
HEAD = struct.Struct("<Qq")  # seed, milliseconds added to the wall clock
RATE = struct.Struct("<I")


class NoCompiler(Exception):
    """There is no C compiler, so no fault of a system call can be injected."""

    remedy = "install a C compiler (cc or gcc); without one the faults of system calls are not run"


class Kind(IntEnum):
    """What can be made to fail; the order is that of `enum kind` in `faults.c`."""

    SHORT_IO = 0
    ACCEPT = 1
    SOCKET = 2
    CONNECT = 3
    WAIT = 4
    OPEN = 5
    READ = 6
    WRITE = 7
    SYNC = 8
    HALF_WRITE = 9
    BROKEN_IO = 10


SIZE = HEAD.size + 2 * RATE.size * len(Kind)


def build(folder: Path) -> Path:
    """The library, built into `folder` unless it is there already and newer than its source. Raises NoCompiler."""
    library = folder / "faults.so"
    if library.exists() and library.stat().st_mtime > SOURCE.stat().st_mtime:
        return library
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompiler(NoCompiler.remedy)
    beside = folder / f"faults.{os.getpid()}.so"
    subprocess.run(
        [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-o", str(beside), str(SOURCE), "-ldl"], check=True
    )
    beside.rename(library)
    return library


class Shim:
    """The faults of one process, or of several that share them. Rates may change while the process runs."""

    def __init__(self, folder: Path, library: Path, seed: int = 1) -> None:
        self.library, self.path = library, folder / "faults.control"
        self.path.write_bytes(HEAD.pack(seed, 0) + bytes(SIZE - HEAD.size))
        with open(self.path, "r+b") as file:
            self.control = mmap.mmap(file.fileno(), SIZE)

    def environment(self) -> dict[str, str]:
        """What the process is to be started with, beside its own environment."""
        return {"LD_PRELOAD": str(self.library), "FAULTS_CONTROL": str(self.path)}

    def step_wall_clock(self, milliseconds: int) -> None:
        """Sets the wall clock ahead of this machine's, or behind if negative."""
        self.control[8:16] = struct.pack("<q", milliseconds)

    def set(self, rates: Mapping[Kind, int]) -> None:
        """So many calls of a thousand fail from now on; kinds that are not named don't."""
        for kind in Kind:
            at = HEAD.size + RATE.size * kind
            self.control[at : at + RATE.size] = RATE.pack(rates.get(kind, 0))

    def injected(self) -> dict[Kind, int]:
        """How many faults of each kind there were."""
        first = HEAD.size + RATE.size * len(Kind)
        return {kind: RATE.unpack_from(self.control, first + RATE.size * kind)[0] for kind in Kind}

    def close(self) -> None:
        """Leaves the rates as they are."""
        self.control.close()

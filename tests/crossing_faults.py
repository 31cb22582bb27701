"""Failing system calls for the gateway processes of the crossings' tests: the option --faults."""

import tempfile
from pathlib import Path

import platform_process
import pytest

from soak.shim import Kind, NoCompiler, Shim, build

FAULTS = {
    "short-io": {Kind.SHORT_IO: 200},
    "local": {Kind.CONNECT: 50, Kind.SOCKET: 20, Kind.ACCEPT: 200, Kind.WAIT: 50},
}  # so many of a thousand calls


def preload_faults(named: str) -> None:
    """From now on each gateway process starts with these faults."""
    if named not in FAULTS:
        raise pytest.UsageError(f"--faults: found {named!r}; allowed: {', '.join(FAULTS)}")
    folder = Path(tempfile.mkdtemp())
    try:
        shim = Shim(folder, build(folder))
    except NoCompiler as wrong:
        pytest.exit(f"not run: {wrong}", 2)
    shim.set(FAULTS[named])
    platform_process.FAULTS.update(shim.environment())
    platform_process.FAILING.update(kind.name for kind in FAULTS[named])

"""A real gateway whose system hands over and takes a few bytes at a time: a read or write that was short says
nothing of what is left in the socket."""

from pathlib import Path

import pytest
from crossing_gateway import RunningGateway, side_by_side
from crossing_workers import fleet

from soak.shim import Kind, NoCompiler, Shim, build

REQUESTS = 12


def requests_are_served(folder: Path, per_mille: int) -> None:
    folder.mkdir()
    shim = Shim(folder, build(folder.parent))
    shim.set({Kind.SHORT_IO: per_mille})
    workers = fleet("r1", "w1")
    with RunningGateway(folder, workers, environment=shim.environment()) as gateway:
        clients = [gateway.ask() for _ in range(REQUESTS)]
        answers = [client.answer() for client in clients]
    assert [(one.status, one.whole) for one in answers] == [(200, True)] * REQUESTS
    assert shim.injected()[Kind.SHORT_IO] > REQUESTS


def test_requests_are_served_with_short_reads_and_writes(tmp_path: Path) -> None:
    """Also where each call is short."""
    try:
        build(tmp_path)
    except NoCompiler as wrong:
        pytest.skip(f"not run: {wrong}")
    side_by_side(requests_are_served, tmp_path, [200, 1000])

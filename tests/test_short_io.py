"""A gateway process whose system calls read and write only a few bytes at a time.

Guards against taking a short read or write as a sign that the socket is empty or full.
"""

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
    assert [(answer.status, answer.whole) for answer in answers] == [(200, True)] * REQUESTS
    assert shim.injected()[Kind.SHORT_IO] > REQUESTS


def test_requests_are_served_with_short_reads_and_writes(tmp_path: Path) -> None:
    """With some of the calls short, and with all of them."""
    try:
        build(tmp_path)
    except NoCompiler as error:
        pytest.skip(f"not run: {error}")
    side_by_side(requests_are_served, tmp_path, [200, 1000])

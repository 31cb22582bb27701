"""A server that reads a large request slowly costs its own attempt; the client has its answer in time."""

import itertools
import socket
import time
from contextlib import suppress
from pathlib import Path

from crossing_gateway import RunningGateway, side_by_side
from crossing_workers import Worker

LARGE = b'{"stream":true,"text":"' + b"x" * 250_000 + b'"}'
LIMIT_MS, ANSWER_LATE = 1500, 0.5
PART, PAUSE = (
    4096,
    0.1,
)  # bytes that a slow server reads, and seconds between two reads: six seconds for a request


class SlowReader(Worker):
    """Reads what comes in small parts, and answers nothing before its end."""

    def accept(self) -> None:
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PART)
        super().accept()

    def _connection(self, stream: socket.socket, number: int) -> None:
        with suppress(OSError):
            while stream.recv(PART):
                time.sleep(PAUSE)


def reads_slowly(folder: Path, case: tuple[str, str]) -> None:
    product, slow = case
    workers = [SlowReader(name) if name == slow else Worker(name) for name in ("r1", "w1")]
    with RunningGateway(folder, workers) as gateway:
        client = gateway.ask(product, LIMIT_MS, body=LARGE)
        answer = client.answer(LIMIT_MS / 1000 + ANSWER_LATE)
        assert answer.whole and answer.status in (429, 502)


def test_a_large_request_that_its_server_reads_slowly_is_answered_in_time(tmp_path: Path) -> None:
    """Guards against an answer that waits until the request has been written."""
    side_by_side(reads_slowly, tmp_path, list(itertools.product(("chat", "pay", "order"), ("r1", "w1"))))

"""A real gateway process among the stand-ins. While it is stopped, events are put into its sockets: one turn
of its loop finds all of them."""

import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from crossing_clients import Client
from crossing_discovery import ListDiscovery
from crossing_sockets import GRACE, PATIENCE, listening_port, wait_for
from crossing_workers import Attempt, Worker
from platform_process import FAULTS, Gateway

LEAST_DESCRIPTORS = 64  # that the process may hold, whatever its configuration says of them


class RunningGateway(Gateway):
    """A gateway that has taken up the list of its workers and serves."""

    def __init__(
        self,
        folder: Path,
        workers: Sequence[Worker],
        sockets: int = 256,
        discovery: ListDiscovery | None = None,
        wait: bool = True,
        **settings: object,
    ) -> None:
        folder.mkdir(exist_ok=True)
        self.workers, self.folder = workers, folder
        self.discovery = discovery if discovery is not None else ListDiscovery(workers)
        most = max(sockets, LEAST_DESCRIPTORS)
        super().__init__(folder, self.discovery, sockets, most, listening_port(), **settings)
        if wait:
            self.discovery.taken()

    def replace(self) -> None:
        """Kills the process; another one, of the same configuration, takes up the list and serves."""
        self.process.kill()
        self.process.wait()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stackpitch.platform"],
            stderr=subprocess.DEVNULL,
            env={**os.environ, **FAULTS, "RELAY_CONFIG": str(self.folder / "c")},
        )
        wait_for(self._is_ready, "the successor is not ready")

    def _is_ready(self) -> bool:
        try:
            one = self.client()
        except ConnectionRefusedError:
            return False
        one.send(b"GET /-/ready HTTP/1.1\r\nhost: a\r\n\r\n")
        status = one.answer().status
        one.close()
        return status == 200

    def client(self, small: bool = False) -> Client:
        return Client(self.port, small)

    def ask(self, product: str = "chat", limit_ms: int = 8000, **fields: Any) -> Client:
        return self.client().ask(product, limit_ms, **fields)

    def served(self) -> None:
        """One request of somebody else's is answered: whatever reached the gateway before it has been looked
        at."""
        one = self.ask()
        answer = one.answer()
        one.close()
        assert (answer.status, answer.whole) == (200, True), f"another client's request got {answer}"

    def looked(self) -> None:
        """It has answered a call that came after whatever was in its sockets; no worker is asked for it."""
        one = self.client()
        one.send(b"GET /-/healthy HTTP/1.1\r\nhost: a\r\n\r\n")
        answer = one.answer()
        one.close()
        assert answer.whole, f"the gateway's health got {answer}"

    def signal(self, number: int) -> None:
        os.kill(self.process.pid, number)

    def _is_stopped(self) -> bool:
        return Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"

    @contextmanager
    def stopped(self, at_least: float = 0.0) -> Iterator[None]:
        """What is put into its sockets meanwhile is found in one turn of its loop; it stays so for a time
        after the last."""
        self.signal(signal.SIGSTOP)
        try:
            wait_for(self._is_stopped, "the process does not stop")
            yield
            time.sleep(at_least)
        finally:
            self.signal(signal.SIGCONT)

    def exit_code(self, limit: float = PATIENCE) -> int:
        wait_for(lambda: self.process.poll() is not None, "the gateway does not end", limit)
        return int(self.process.returncode)

    def no_attempt_since(self, name: str, since: float, watched: float = 0.25) -> None:
        """No attempt of that request has begun over `GRACE` after `since`, nor does one for a while longer,
        though whatever was in the gateway's sockets has been looked at."""
        self.looked()
        until = time.monotonic() + watched
        while True:
            late = [
                (one.worker.name, round(one.began - since, 3))
                for worker in self.workers
                for one in worker.attempts(name)
                if one.began > since + GRACE
            ]
            assert not late, f"attempts began so many seconds later: {late}"
            if time.monotonic() > until:
                return
            time.sleep(0.02)


@contextmanager
def flooded(port: int, kind: str) -> Iterator[None]:
    """By another process, from when it has come through to the gateway's port; see `crossing_flood.py`."""
    flood = subprocess.Popen(
        [sys.executable, str(Path(__file__).with_name("crossing_flood.py")), str(port), kind],
        stdin=subprocess.PIPE,
    )
    try:
        yield
        assert flood.poll() is None, "the flood has ended by itself"
    finally:
        assert flood.stdin is not None
        flood.stdin.close()
        flood.wait(PATIENCE)


def side_by_side(case: Callable[[Path, Any], None], folder: Path, cases: Sequence[Any]) -> None:
    """Plays `case(folder, one)` for all of them at once, each with a folder of its own; fails with all that
    failed."""
    failed: dict[str, str] = {}

    def play(number: int, one: Any) -> None:
        try:
            case(folder / str(number), one)
        except Exception as wrong:
            failed[str(one)] = f"{type(wrong).__name__}: {wrong}"

    threads = [threading.Thread(target=play, args=given, daemon=True) for given in enumerate(cases)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(8 * PATIENCE)
        assert not thread.is_alive(), "a case does not end"
    assert not failed, "\n".join(f"{name}: {wrong}" for name, wrong in failed.items())


def fill_the_budget(gateway: RunningGateway, reader: Worker) -> list[Attempt]:
    """Of a gateway of 32 descriptors, four of them for attempts: attempts whose clients have left."""
    attempts = []
    for _ in range(4):
        client = gateway.ask("order", 8000)
        attempts.append(reader.next(client.name))
        client.close()
        gateway.looked()
    return attempts

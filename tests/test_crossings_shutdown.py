"""Requests that arrive late in a shutdown, on connections that stay open: each is refused at once, and no worker hears
of it. The kill may come the longest deadline and 0.7 s after SIGTERM; nothing would be left to serve them in."""

import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

from crossing_clients import Client, chat_request, in_body
from crossing_gateway import RunningGateway, side_by_side
from crossing_sockets import PATIENCE, fresh_id
from crossing_workers import STREAM_END, STREAM_HEAD, fleet
from platform_script import READ, SETTINGS, STREAM, event

WINDOW = 0.7  # seconds after SIGTERM in which a request is still taken
LATE = 0.15  # seconds beyond it, so that there is no doubt
AT_ONCE = 0.3  # seconds within which a refusal is there
SIGTERM, SIGHUP = signal.SIGTERM, signal.SIGHUP


@dataclass
class Late:
    """Clients that complete a request after the window, by what they had done before it."""

    gateway: RunningGateway
    clients: dict[str, Client] = field(default_factory=dict)
    rest: dict[str, bytes] = field(default_factory=dict)

    def connect(self, what: str, sent: int = 0) -> None:
        """`sent`: so many bytes of its request go out now."""
        one = self.clients[what] = self.gateway.client()
        one.name = fresh_id()
        request = chat_request(one.name, "order")
        one.send(request[:sent])
        self.rest[what] = request[sent:]

    def complete(self) -> None:
        for what, one in self.clients.items():
            one.send(self.rest[what])
            one.asked = time.monotonic()

    def are_refused(self) -> None:
        for what, one in self.clients.items():
            answer = one.answer(AT_ONCE)
            assert answer.whole and answer.status in (429, 503), f"{what}: {answer}"
            assert one.ended() == ("end", b""), f"{what}: after its answer"
            self.reached_nobody(what, one)

    def reached_nobody(self, what: str, one: Client) -> None:
        reached = [worker.name for worker in self.gateway.workers if worker.attempts(one.name)]
        assert not reached, f"{what}: forwarded to {reached}"


def sleep_until(when: float) -> None:
    time.sleep(max(0.0, when - time.monotonic()))


CASES = [
    (limit, signals)
    for limit in (400, 1500, 9000)
    for signals in ([SIGTERM], [SIGHUP, SIGTERM, SIGTERM, SIGHUP])
]


def test_requests_late_in_a_shutdown_are_refused_at_once(tmp_path: Path) -> None:
    """On new connections, half sent before, and behind a stream; with signals in series; with short deadlines and long
    ones. One that comes within the window is served."""
    side_by_side(late_in_a_shutdown, tmp_path, CASES)


def late_in_a_shutdown(folder: Path, case: tuple[int, list[signal.Signals]]) -> None:
    limit_ms, signals = case
    workers = fleet("r1*", "w1*")
    reader, writer = workers
    classes = [one | {"deadlineMs": limit_ms} for one in SETTINGS["classes"]]
    with RunningGateway(folder, workers, classes=classes) as gateway:
        streaming = gateway.ask("order", limit_ms)
        reader.next(streaming.name).answer(READ)
        stream = writer.next(streaming.name)
        stream.send(STREAM_HEAD + event("first"))
        assert streaming.answer(until=in_body(b"first")).status == 200
        late, early = Late(gateway), gateway.client()
        for number in range(5):
            late.connect(f"new connection {number}")
        gateway.looked()
        told = time.monotonic()
        for one in signals:
            gateway.signal(one)
        sleep_until(told + 0.3)
        early.ask("order", limit_ms)
        reader.next(early.name).answer(READ)
        writer.next(early.name).answer(STREAM)
        assert early.answer().status == 200, "within the window"
        late.connect("connected within the window")
        sleep_until(told + 0.5)
        late.connect("mid-head", 60)
        late.connect("mid-body", -4)
        sleep_until(told + WINDOW + LATE)
        late.complete()
        late.are_refused()
        stream.answer(event("last") + STREAM_END)
        assert streaming.rest_of_answer().endswith(b"0\r\n\r\n"), "a stream from before"
        streaming.ask("order", limit_ms)
        assert streaming.ended() == ("end", b""), "behind a stream"
        late.reached_nobody("behind a stream", streaming)
        assert gateway.exit_code() == 0


def test_a_process_that_did_not_run_through_its_window_takes_nothing(tmp_path: Path) -> None:
    """It finds SIGTERM and requests in one turn of its loop, and can't tell how long ago the signal was sent."""
    workers = fleet("r1", "w1")
    with RunningGateway(tmp_path, workers) as gateway:
        late = Late(gateway)
        for number in range(5):
            late.connect(f"new connection {number}")
        gateway.looked()
        with gateway.stopped():
            told = time.monotonic()
            gateway.signal(SIGTERM)
            sleep_until(told + WINDOW + LATE)
            late.complete()
        late.are_refused()
        assert gateway.exit_code(PATIENCE) == 0

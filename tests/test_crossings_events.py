"""An event is passed on within 0.3 s of when its worker wrote it, and events written apart aren't merged into
lumps.

The stand-in decode worker writes events one at a time and notes when. What the client gets is judged by its
chunks: the gateway makes one of whatever it passes on at once, however the client's own system joins its
reads. Floods come from a process of their own, much streaming from other stand-ins.
"""

import threading
import time
from contextlib import ExitStack
from pathlib import Path

import pytest
from crossing_clients import Client
from crossing_gateway import RunningGateway, flooded
from crossing_sockets import wait_for
from crossing_workers import STREAM_END, STREAM_HEAD, Attempt, Worker, fleet
from platform_script import READ, SETTINGS, event

WITHIN = 0.3  # seconds from the worker's write to the client's read
APART = 0.12  # seconds between two events
COUNT = 6
STREAM_SILENCE = 4.5  # seconds after which a stream that brings nothing is ended
LONG = SETTINGS["extra"] | {"kvTokens": [10**7] * 2}


def chunks(data: bytes) -> list[bytes]:
    """Of an answer's body, as far as they are whole."""
    _, _, rest = data.partition(b"\r\n\r\n")
    found = []
    while b"\r\n" in rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        if len(rest) < length + 2:
            break
        found.append(rest[:length])
        rest = rest[length + 2 :]
    return found


def gather(client: Client) -> threading.Thread:
    """Reads all that comes, until the answer is whole, and notes when."""

    def work() -> None:
        got = b""
        while not got.endswith(b"0\r\n\r\n"):
            data = client.socket.recv(65536)
            client.pieces.append((time.monotonic(), data))
            if not data:
                return
            got = (got + data)[-5:]

    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    return thread


def spoken(attempt: Attempt, client: Client) -> None:
    """Events one at a time, some in two halves; each is read in time, and is a chunk of its own."""
    thread = gather(client)
    attempt.send(STREAM_HEAD)
    written: list[float] = []
    for number in range(COUNT):
        one = event(f"event {number}.")
        half = len(one) // 2 if number % 3 == 2 else 0
        attempt.send(one[:half])
        if half:
            time.sleep(0.01)
        attempt.send(one[half:])
        written.append(time.monotonic())
        time.sleep(APART)
    attempt.answer(STREAM_END)
    thread.join(8)
    assert not thread.is_alive(), "the stream does not end"
    came, late = b"", dict[int, float]()
    for at, data in client.pieces:
        came += data
        for number in range(COUNT):
            if number not in late and f"event {number}.".encode() in came:
                late[number] = round(at - written[number], 3)
    assert len(late) == COUNT and max(late.values()) <= WITHIN, f"seconds from write to read: {late}"
    merged = [one for one in chunks(came) if one.count(b"event ") > 1]
    assert not merged, f"{len(merged)} chunks hold events that were written {APART} s apart"


def begun(gateway: RunningGateway, reader: Worker, writer: Worker, **fields: str) -> tuple[Client, Attempt]:
    client = gateway.ask("order", **fields)
    reader.next(client.name).answer(READ)
    return client, writer.next(client.name)


@pytest.mark.parametrize("others", ["none", "bad", "heads", "idle"])
def test_while_others_flood_the_door(tmp_path: Path, others: str) -> None:
    workers = fleet("r1*", "w1*")
    with RunningGateway(tmp_path, workers) as gateway, ExitStack() as stack:
        client, attempt = begun(gateway, *workers)
        if others != "none":
            before = gateway.held()
            stack.enter_context(flooded(gateway.port, others))
            wait_for(lambda: gateway.held() > before + 8, "the flood does not come through")
        spoken(attempt, client)


@pytest.mark.parametrize("reads", [True, False], ids=["taken", "not taken"])
def test_while_another_stream_sends_much(tmp_path: Path, reads: bool) -> None:
    """As quickly as it is taken, or to a client that takes nothing of it."""
    workers = fleet("r1*", "w1*")
    wide = event("w" * 16_000) * 4
    over = threading.Event()
    with RunningGateway(tmp_path, workers, extra=LONG) as gateway:
        client, attempt = begun(gateway, *workers)
        other, much = begun(gateway, *workers, extra="prompt_len=500,max_out=1000000")

        def pump() -> None:
            much.send(STREAM_HEAD + event("w"))
            try:
                while not over.is_set():
                    much.stream.sendall(wide)
            except OSError:
                pass

        def drink() -> None:
            while reads and not over.is_set() and other.socket.recv(1 << 20):
                pass

        threads = [threading.Thread(target=one, daemon=True) for one in (pump, drink)]
        for one in threads:
            one.start()
        spoken(attempt, client)
        over.set()
        other.close()
        much.close()


def test_events_that_were_written_while_the_process_was_stopped(tmp_path: Path) -> None:
    """They come as soon as it goes on, none is lost, and what is written later is apart from them."""
    workers = fleet("r1*", "w1*")
    with RunningGateway(tmp_path, workers) as gateway:
        client, attempt = begun(gateway, *workers)
        with gateway.stopped(0.2):
            attempt.send(STREAM_HEAD)
            for number in range(3):
                attempt.send(event(f"before {number}."))
        spoken_later = client.answer(1.0, until=lambda body: b"before 2." in body)
        assert spoken_later.body.count(b"before ") == 3
        attempt.send(event("after."))
        went = time.monotonic()
        client.pieces.clear()
        thread = gather(client)
        wait_for(
            lambda: any(b"after." in data for _, data in client.pieces),
            "the next event does not come",
            WITHIN,
        )
        assert client.pieces[0][0] - went <= WITHIN
        attempt.answer(STREAM_END)
        thread.join(8)
        assert not thread.is_alive()


def test_a_stream_whose_events_came_while_the_process_did_not_run_is_not_cut(tmp_path: Path) -> None:
    """The process is stopped as its last look at a silent stream is due; the events lie in its socket by then."""
    workers = fleet("r1", "w1*")
    with RunningGateway(tmp_path, workers) as gateway:
        client = gateway.ask()
        attempt = workers[1].next(client.name)
        attempt.send(STREAM_HEAD + event("w"))
        time.sleep(STREAM_SILENCE - 0.7)
        with gateway.stopped(1.2):
            attempt.send(event("w"))
        attempt.answer(STREAM_END)
        answer = client.answer()
        assert (answer.status, answer.whole, answer.ending) == (200, True, "open")

"""A connection closes without a reset that destroys what was written: the client reads its whole answer, then
a clean end.

Clients send on behind their request, at the barrier that a stand-in worker holds, in the turn in which the
answer ends, or while they take it slowly through a small window; others send what is refused, more of it than
is read.
"""

import signal
import threading
import time
from contextlib import suppress
from functools import partial
from pathlib import Path

import pytest
from crossing_clients import Client, chat_request, in_body
from crossing_gateway import RunningGateway, side_by_side
from crossing_sockets import PATIENCE, fresh_id
from crossing_workers import STREAM_END, STREAM_HEAD, fleet
from platform_script import READ, event

WIDE = event("w" * 4000)
READ_TO_THE_END = 256 << 10  # bytes behind a last answer that the gateway reads before it closes


def sending(client: Client, data: bytes) -> threading.Thread:
    """It may be refused to send all of it."""

    def work() -> None:
        with suppress(OSError):
            client.send(data)

    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    return thread


@pytest.mark.parametrize("when", ["with it", "during prefill", "mid-stream", "same turn as the end"])
@pytest.mark.parametrize("size", [5, 200_000, 2_000_000])
def test_bytes_behind_a_request(tmp_path: Path, size: int, when: str) -> None:
    """Up to 512 KiB of them the answer is whole; over that the client may be refused, with an answer, unless
    its stream has begun. Whatever it is, it is read whole, and then comes a clean end."""
    workers = fleet("r1*", "w1*")
    more = b"x" * size
    with RunningGateway(tmp_path, workers) as gateway:
        client = gateway.client()
        client.name = fresh_id()
        client.send(chat_request(client.name, "order"))
        thread = sending(client, more) if when == "with it" else None
        workers[0].script = workers[1].script = lambda attempt: None
        read = workers[0].next(client.name) if when != "with it" or size < 512 << 10 else None
        if read is None:
            answer = client.answer()
            assert answer.whole and answer.status == 400, f"{answer}"
        else:
            if when == "during prefill":
                thread = sending(client, more)
                gateway.looked()
            read.answer(READ)
            if when == "during prefill" and size > 512 << 10:
                answer = client.answer()
                assert answer.whole and answer.status in (200, 400), f"{answer}"
            else:
                write = workers[1].next(client.name)
                write.send(STREAM_HEAD + event("first"))
                assert client.answer(until=in_body(b"first")).status == 200
                if when == "mid-stream":
                    thread = sending(client, more)
                    gateway.looked()
                if when == "same turn as the end":
                    with gateway.stopped():
                        thread = sending(client, more)
                        write.answer(event("last") + STREAM_END)
                else:
                    write.answer(event("last") + STREAM_END)
                got = b"".join(data for _, data in client.pieces)
                ending, rest = client.ended()
                got += rest
                assert ending == "end" and b"last" in got and b"0\r\n\r\n" in got, (
                    f"{ending} after {got[-200:]!r}"
                )
                assert size > READ_TO_THE_END or not client.reset_follows(), "a reset behind the end"
                return
        ending, rest = client.ended()
        assert ending == "end", f"{ending} after {rest[-200:]!r}"
        assert size > READ_TO_THE_END or not client.reset_follows(), "a reset behind the end"
        if thread is not None:
            thread.join(PATIENCE)


@pytest.mark.parametrize("sends_on", [False, True], ids=["silent", "sends on"])
def test_an_answer_that_is_taken_slowly(tmp_path: Path, sends_on: bool) -> None:
    """Through a window of 4 KiB, 40 KB of it after a first pause of 1.2 s, in which a byte is sent on each
    0.1 s or nothing."""
    side_by_side(
        partial(taken_slowly, sends_on),
        tmp_path,
        ["Connection: close", "SIGTERM", "SIGTERM in the same turn"],
    )


def taken_slowly(sends_on: bool, folder: Path, last: str) -> None:
    """`last`: why this answer is its connection's last."""
    workers = fleet("r1*", "w1*")
    with RunningGateway(folder, workers) as gateway:
        client = gateway.client(small=True)
        client.name = fresh_id()
        request = chat_request(client.name, "order")
        client.send(
            request.replace(b"req-id", b"connection: close\r\nreq-id", 1) if "close" in last else request
        )
        workers[0].next(client.name).answer(READ)
        write = workers[1].next(client.name)
        write.send(STREAM_HEAD + event("first"))
        assert client.answer(until=in_body(b"first")).status == 200
        body = WIDE * 10 + event("last") + STREAM_END
        if last == "SIGTERM":
            gateway.signal(signal.SIGTERM)
            gateway.looked()
        if last == "SIGTERM in the same turn":
            with gateway.stopped():
                write.answer(body)
                gateway.signal(signal.SIGTERM)
        else:
            write.answer(body)
        for _ in range(12):
            time.sleep(0.1)
            if sends_on:
                with suppress(OSError):  # a reset, which shows below as a part of the answer
                    client.send(b"x")
        got = b"".join(data for _, data in client.pieces)
        ending, rest = client.ended()
        got += rest
        assert b"last" in got and b"0\r\n\r\n" in got, f"{ending} after {len(got)} of {len(body)} bytes"
        assert ending == "end", f"{ending} behind a whole answer"


HEAD = (
    b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
    b"req-id: %b\r\nreq-kind: chat\r\nreq-deadline-ms: 900\r\n"
)
BAD: dict[str, tuple[bytes, int]] = {
    "no request": (b"\x00\x01\x02 noise\r\n\r\n", 400),
    "no request, and more": (b"\x00\x01\x02 noise\r\n\r\n" + b"x" * 100_000, 400),
    "no request, and much more": (b"\x00\x01\x02 noise\r\n\r\n" + b"x" * 2_000_000, 400),
    "a bad id": (HEAD % b"x" + b"content-length: 2\r\n\r\n{}", 400),
    "a large body": (HEAD % b"%016x" + b"content-length: 300000\r\n\r\n" + b"x" * 300_000, 413),
    "a huge body": (HEAD % b"%016x" + b"content-length: 3000000\r\n\r\n" + b"x" * 3_000_000, 413),
    "a large head": (HEAD % b"%016x" + b"a: " + b"x" * 70_000 + b"\r\n\r\n", 431),
    "a huge head": (HEAD % b"%016x" + b"a: " + b"x" * 1_000_000 + b"\r\n\r\n", 431),
    "half a head": (b"POST /v1/chat", 408),
    "half a body": (HEAD % b"%016x" + b"content-length: 300\r\n\r\n" + b"x" * 200, 408),
    "half a chunk": (HEAD % b"%016x" + b"transfer-encoding: chunked\r\n\r\n5\r\nab", 408),
}


def test_what_is_refused_gets_its_answer_and_a_clean_end(tmp_path: Path) -> None:
    """All at once, each on a connection of its own; what is over the bound is sent on while the answer
    comes."""
    with RunningGateway(tmp_path, fleet("r1", "w1")) as gateway:
        clients: dict[str, Client] = {}
        for what, (data, _) in BAD.items():
            clients[what] = gateway.client()
            sending(clients[what], data.replace(b"%016x", fresh_id().encode()))
        found: dict[str, str] = {}
        for what, client in clients.items():
            answer = client.answer()
            ending, rest = client.ended() if answer.whole else (answer.ending, b"")
            if len(BAD[what][0]) <= READ_TO_THE_END and client.reset_follows():
                ending += ", then a reset"
            if not (answer.whole and answer.status == BAD[what][1] and ending == "end" and not rest):
                found[what] = f"{answer.status}, whole: {answer.whole}, {ending}"
        assert not found, f"{found}"
        gateway.served()

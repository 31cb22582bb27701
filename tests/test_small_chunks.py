"""Bodies in small chunks: they cost no more memory than their bytes."""

import gc
import tracemalloc
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
from test_door import AnsweringHost, answer, run_with_listener

from stackpitch.exchange import read_body
from stackpitch.gateway.leg import LegRunner
from stackpitch.loop import SECOND, Coro, Group, Stream
from stackpitch.loop.real import RealWorld
from stackpitch.platform.listener import PlatformListener
from stackpitch.wire import http

BODY = 250 * 1024  # bytes
READ = 64 * 1024  # bytes at a time
# The buffer grows ahead of the body, and the chunks of one read are objects for a moment.
MAX_MEMORY = 2 * BODY + 1024 * 1024
REQUEST_HEAD = b"POST /v1/chat/completions HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


def reads(head: bytes, chunk_size: int) -> Iterator[bytes]:
    """A message with a body of `BODY` bytes, in parts as they are read."""
    data = head + http.chunk(b"x" * chunk_size) * (BODY // chunk_size) + http.LAST_CHUNK
    return (data[start : start + READ] for start in range(0, len(data), READ))


class PeakMemory:
    """The most memory in bytes that was allocated at once inside the block, beyond what was before."""

    def __enter__(self) -> "PeakMemory":
        gc.collect()
        gc.disable()
        tracemalloc.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        gc.enable()


@pytest.mark.parametrize("chunk_size", [1, 4])
def test_a_request_body_in_small_chunks_does_not_take_many_times_its_size(chunk_size: int) -> None:
    """Guards against an object per chunk: 100 such bodies took a gateway over its memory limit."""
    parser, message = http.RequestParser(1 << 14, 1 << 18), reads(REQUEST_HEAD, chunk_size)
    with PeakMemory() as peak:
        for data in message:
            parser.feed(data)
    assert parser.complete and parser.body() == b"x" * BODY
    assert peak.bytes < MAX_MEMORY


def read_as_call(data: Iterator[bytes]) -> Coro[bytes | None]:
    stream: Any = SimpleNamespace(recv=lambda: received(data))
    return read_body(stream, http.ResponseParser(1 << 14, 1 << 18))


def read_as_leg(data: Iterator[bytes]) -> Coro[bytes | None]:
    reader: Any = http.ResponseParser(1 << 14, 1 << 18)

    def read_more(_: Stream) -> Coro[None]:
        reader.feed((yield from received(data)))

    leg: Any = SimpleNamespace(reader=reader, _read_more=read_more)
    return LegRunner._read_body(leg, leg, 1 << 18)


def received(data: Iterator[bytes]) -> Coro[bytes]:
    yield from ()
    return next(data, b"")


@pytest.mark.parametrize("chunk_size", [1, 4])
@pytest.mark.parametrize("read", [read_as_call, read_as_leg])
def test_a_response_body_in_small_chunks_does_not_take_many_times_its_size(
    read: Any, chunk_size: int
) -> None:
    """Guards against the same in answers of servers, of discovery and of other gateways."""
    message = reads(RESPONSE_HEAD, chunk_size)
    with PeakMemory() as peak, pytest.raises(StopIteration) as ended:
        next(read(message))
    assert ended.value.value == b"x" * BODY
    assert peak.bytes < MAX_MEMORY


def test_the_body_of_a_refused_request_is_freed_when_it_stops_counting() -> None:
    """Guards against bodies that no longer count as held but stay in memory until the garbage collector runs."""
    refused = 40
    head = REQUEST_HEAD.replace(
        b"\r\n\r\n", b"\r\nreq-id: 7\r\nreq-kind: none\r\nreq-deadline-ms: 900\r\n\r\n"
    )

    def body(
        world: RealWorld, group: Group, client_listener: PlatformListener, host: AnsweringHost, address: Any
    ) -> Coro[int]:
        for _ in range(refused):
            stream = yield from world.connect(address, SECOND)
            for data in reads(head, BODY):
                stream.write(data)
            response = yield from answer(stream)
            assert response is not None and response.status == 400
            stream.close()
        assert not client_listener.body_bytes
        return tracemalloc.get_traced_memory()[0]

    with PeakMemory():
        left = run_with_listener(body)
    assert left < refused * BODY / 4


MAX_LEFT = 4096  # bytes of a refused head
SHORT_FIELDS = b"a:b\r\n" * 3000
LONG_FIELD = b"req-extra: " + b"x=1," * 4200 + b"\r\n"


@pytest.mark.parametrize("fields, status", [(SHORT_FIELDS, 431), (LONG_FIELD, 431), (b"a\r\n", 400)])
def test_a_refused_head_is_freed_at_once(fields: bytes, status: int) -> None:
    """Guards against refused heads that stay in memory until the garbage collector runs, at full speed by the second."""
    refused = 100
    message = b"POST /v1/chat/completions HTTP/1.1\r\n" + fields

    def body(
        world: RealWorld, group: Group, client_listener: PlatformListener, host: AnsweringHost, address: Any
    ) -> Coro[int]:
        for _ in range(refused):
            stream = yield from world.connect(address, SECOND)
            stream.write(message)
            response = yield from answer(stream)
            assert response is not None and response.status == status
            stream.close()
        return tracemalloc.get_traced_memory()[0]

    with PeakMemory():
        left = run_with_listener(body)
    print(f"{left / refused:.0f} bytes a refused head")
    assert left < refused * MAX_LEFT


def test_a_refused_client_that_goes_on_sending_takes_no_memory() -> None:
    """Guards against the last bytes read of each refused connection being kept while it waits for the client's end."""
    refused = 20

    def body(
        world: RealWorld, group: Group, client_listener: PlatformListener, host: AnsweringHost, address: Any
    ) -> Coro[int]:
        streams = []
        for _ in range(refused):
            stream = yield from world.connect(address, SECOND)
            stream.write(b"a\r\n" + b"x" * (128 * 1024))
            streams.append(stream)
        yield from world.sleep(SECOND // 5)
        assert len([one for one in streams if not one.buffered]) == refused, "what was sent was not read"
        left: int = tracemalloc.get_traced_memory()[0]
        for stream in streams:
            stream.close()
        return left

    with PeakMemory():
        left = run_with_listener(body, max_connections=refused)
    assert left < refused * 16 * 1024, f"{left / refused:.0f} bytes a connection"

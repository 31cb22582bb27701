"""A source that takes longer for its first byte than it is given at first is heard in the end, and called less often."""

import pytest

from stackpitch.duties.weights.errors import SourceSilent
from stackpitch.duties.weights.receiving.fetch import SourceConnection
from stackpitch.duties.weights.receiving.sources import MAX_READ_TIMEOUT, MIN_READ_TIMEOUT, Sources
from stackpitch.loop import SECOND, ConnectionLost
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.wire import http

ADDRESS = ("127.0.0.1", 9000)
DATA = b"weights!"


def slow_source(world, delay, called):
    """Answers each call, and works on what its caller gave up on."""

    def serve(stream):
        try:
            while (yield from stream.recv()):
                called.append(world.now())
                yield from world.sleep(delay)
                stream.write(
                    http.head(206, [("content-range", "bytes 0-7/8"), ("content-length", "8")]) + DATA
                )
        except ConnectionLost:
            pass

    def body(group):
        listener = world.listen(ADDRESS)
        while True:
            group.spawn(serve((yield from listener.accept())), "serve")

    yield from world.group(body)


@pytest.mark.parametrize("seconds", [1, 3, 5, 7])
def test_a_slow_source_is_heard(seconds):
    world, sources, called, got = VirtualWorld(1), Sources(), [], []

    def body(group):
        group.spawn(slow_source(world, seconds * SECOND, called), "source")
        yield from world.sleep(1)
        while len(got) < 20 and len(called) < 40:
            connection = SourceConnection(world, "origin", "127.0.0.1:9000", 0)
            try:
                got.append((yield from connection.fetch("/w", 0, 8, 8, sources.read_timeout("origin"))))
                sources.good_piece("origin")
            except SourceSilent:
                sources.no_answer("origin", world.now(), silent=True)
            connection.close()
        group.cancel()

    world.run(world.group(body))
    assert got == [DATA] * 20
    assert len(called) <= 20 + (0 if seconds * SECOND < MIN_READ_TIMEOUT else 10)


def test_the_longer_timeout_ends_with_right_pieces():
    sources = Sources()
    for _ in range(5):
        sources.no_answer("origin", 0, silent=True)
    assert (
        sources.read_timeout("origin") == MAX_READ_TIMEOUT
        and sources.read_timeout("other") == MIN_READ_TIMEOUT
    )
    for _ in range(22):
        sources.good_piece("origin")
    assert sources.read_timeout("origin") == MIN_READ_TIMEOUT and not sources.read_timeouts
    sources.no_answer("origin", 0, silent=False)
    assert not sources.read_timeouts

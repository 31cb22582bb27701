"""One small HTTP request and its whole answer over the loop: what gateways say to each other and to engines."""

from stackpitch.loop import ConnectFailed, ConnectionLost, Coro, Stream, Time, World
from stackpitch.loop.world import Address
from stackpitch.wire import http


def round_trip(
    stream: Stream, request: bytes, max_head: int, max_body: int
) -> Coro[http.ResponseParser | None]:
    """Writes the request and reads the answer, its body in `pieces`; None if the connection ends before. Raises ConnectionLost,
    http.BadMessage."""
    reader = http.ResponseParser(max_head, max_body)
    stream.write(request)
    pieces: list[bytes] = []
    while not reader.complete:
        data = yield from stream.recv()
        if not data:
            return None
        reader.feed(data)
        pieces += reader.pieces
    reader.pieces = pieces
    return reader


def request_once(
    world: World, address: Address, limit: Time, request: bytes, max_body: int = 1 << 16
) -> Coro[http.ResponseParser | None]:
    """The same on a connection of its own, connecting included in the limit; None if no whole answer came."""
    try:
        with world.limit(limit):
            stream = yield from world.connect(address, limit)
            try:
                return (yield from round_trip(stream, request, 1 << 15, max_body))
            finally:
                stream.close()
    except (ConnectionLost, ConnectFailed, http.BadMessage):
        pass
    return None

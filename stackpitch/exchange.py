"""Small HTTP requests with buffered responses, between gateways and to engines."""

from stackpitch.loop import ConnectFailed, ConnectionLost, Coro, Stream, Time, World
from stackpitch.loop.world import Address
from stackpitch.wire import http


def round_trip(
    stream: Stream, request: bytes, max_head: int, max_body: int
) -> Coro[http.ResponseParser | None]:
    """Writes the request and reads the whole response, its body as the only one of `pieces`.

    None if the connection ends first. Raises ConnectionLost, http.BadMessage.
    """
    response = http.ResponseParser(max_head, max_body)
    stream.write(request)
    body = yield from read_body(stream, response)
    if body is None:
        return None
    response.pieces = [body]
    return response


def read_body(stream: Stream, response: http.ResponseParser) -> Coro[bytes | None]:
    """Reads the whole response and returns its body; None if the connection ends first.

    The body is collected in one buffer, so that it takes no more memory in small chunks than in large ones.
    Raises ConnectionLost, http.BadMessage.
    """
    body = bytearray()
    while not response.complete:
        data = yield from stream.recv()
        if not data:
            return None
        response.feed(data)
        body += b"".join(response.pieces)
    return bytes(body)


def request_once(
    world: World, address: Address, limit: Time, request: bytes, max_body: int = 1 << 16
) -> Coro[http.ResponseParser | None]:
    """Sends one request on a new connection; the limit includes connecting.

    None unless a whole response came.
    """
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

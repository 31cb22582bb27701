"""The admin port: metrics, the server list in force, and requests to reload it. On loopback by default."""

from collections.abc import Callable, Mapping
from urllib.parse import parse_qsl

import msgspec

from stackpitch.loop import SECOND, ConnectionLost, Coro, Group, Listener, Stream, World
from stackpitch.wire import http

# From the query's parameters to status and body.
RouteHandler = Callable[[Mapping[str, str]], Coro[tuple[int, bytes]]]
# From the request's body to status and body.
BodyHandler = Callable[[bytes], Coro[tuple[int, bytes]]]
# Writes a long answer; returns whether the connection stays open.
StreamHandler = Callable[[http.RequestParser, Stream], Coro[bool]]


class Admin:
    """Serves short answers, one a connection, and long ones, whose `StreamHandler` bounds its own waits."""

    REQUEST_TIMEOUT = 5 * SECOND

    def __init__(
        self,
        world: World,
        routes: dict[tuple[str, str], RouteHandler],
        body_handlers: dict[str, BodyHandler] | None = None,
        max_body: int = 8192,
    ) -> None:
        """`routes`: by method and path.

        `body_handlers`: by path, for POST requests with a body of at most `max_body` bytes.
        `stream_handlers`: by path prefix.
        """
        self.world, self.routes, self.body_handlers, self.max_body = (
            world,
            routes,
            body_handlers or {},
            max_body,
        )
        self.stream_handlers: dict[str, StreamHandler] = {}

    def serve(self, group: Group, listener: Listener) -> Coro[None]:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                stream = yield from listener.accept()
            except ConnectionLost:
                return
            group.spawn(self._connection(stream), "admin")

    def _connection(self, stream: Stream) -> Coro[None]:
        try:
            while (yield from self._request(stream)):
                pass
        except ConnectionLost:
            pass
        except http.BadMessage as error:
            try:
                stream.write(
                    http.response(error.status, str(error).encode(), [("connection", "close")], "text/plain")
                )
            except ConnectionLost:
                pass
        finally:
            stream.close()

    def _request(self, stream: Stream) -> Coro[bool]:
        """Reads and answers one request; returns whether another may follow."""
        reader, handler = http.RequestParser(8192, self.max_body), None
        with self.world.limit(self.REQUEST_TIMEOUT) as scope:
            while not reader.complete:
                data = yield from stream.recv()
                if not data:
                    return False
                reader.feed(data)
            handler = next(
                (
                    candidate
                    for prefix, candidate in self.stream_handlers.items()
                    if reader.path.startswith(prefix)
                ),
                None,
            )
            if handler is None:
                yield from self._answer(stream, reader)
        if scope.expired or handler is None:
            return False
        return (yield from handler(reader, stream)) and not reader.extra_bytes

    def _answer(self, stream: Stream, reader: http.RequestParser) -> Coro[None]:
        route = self.routes.get((reader.method, reader.path))
        body_handler = self.body_handlers.get(reader.path) if reader.method == "POST" else None
        if body_handler is not None:
            status, body = yield from body_handler(reader.body())
        elif route is None:
            allowed = ", ".join(f"{method} {path}" for method, path in self.routes)
            status, body = 404, msgspec.json.encode({"error": f"allowed: {allowed}"})
        else:
            status, body = yield from route(dict(parse_qsl(reader.query)))
        content_type = "text/plain; version=0.0.4" if reader.path == "/metrics" else "application/json"
        stream.write(http.response(status, body, [("connection", "close")], content_type))
        yield from stream.drain()

"""The admin port: metrics, the list in force, and the call to read the list anew. Loopback by default."""

from collections.abc import Callable, Mapping
from urllib.parse import parse_qsl

import msgspec

from stackpitch.loop import SECOND, ConnectionLost, Coro, Group, Listener, Stream, World
from stackpitch.wire import http

RouteHandler = Callable[
    [Mapping[str, str]], Coro[tuple[int, bytes]]
]  # what stood after the ?, to status and body
BodyHandler = Callable[[bytes], Coro[tuple[int, bytes]]]  # the request's body, to status and body
StreamHandler = Callable[
    [http.RequestParser, Stream], Coro[bool]
]  # writes a long answer; whether the connection is kept


class Admin:
    """A few small answers, one connection each; and long ones, whose `Streamer` bounds its own waits."""

    REQUEST_TIMEOUT = 5 * SECOND

    def __init__(
        self,
        world: World,
        routes: dict[tuple[str, str], RouteHandler],
        body_handlers: dict[str, BodyHandler] | None = None,
        max_body: int = 8192,
    ) -> None:
        """`takers`: by path, what is posted with a body. `streams`: by the beginning of the path."""
        self.world, self.routes, self.body_handlers, self.max_body = (
            world,
            routes,
            body_handlers or {},
            max_body,
        )
        self.stream_handlers: dict[str, StreamHandler] = {}

    def serve(self, group: Group, listener: Listener) -> Coro[None]:
        while True:
            try:
                stream = yield from listener.accept()
            except ConnectionLost:
                return
            group.spawn(self._one(stream), "admin")

    def _one(self, stream: Stream) -> Coro[None]:
        try:
            while (yield from self._answered(stream)):
                pass
        except ConnectionLost:
            pass
        except http.BadMessage as wrong:
            try:
                stream.write(
                    http.response(wrong.status, str(wrong).encode(), [("connection", "close")], "text/plain")
                )
            except ConnectionLost:
                pass
        finally:
            stream.close()

    def _answered(self, stream: Stream) -> Coro[bool]:
        """One request; whether another may follow."""
        reader, streamer = http.RequestParser(8192, self.max_body), None
        with self.world.limit(self.REQUEST_TIMEOUT) as scope:
            while not reader.complete:
                data = yield from stream.recv()
                if not data:
                    return False
                reader.feed(data)
            streamer = next(
                (one for start, one in self.stream_handlers.items() if reader.path.startswith(start)), None
            )
            if streamer is None:
                yield from self._short(stream, reader)
        if scope.expired or streamer is None:
            return False
        return (yield from streamer(reader, stream)) and not reader.extra_bytes

    def _short(self, stream: Stream, reader: http.RequestParser) -> Coro[None]:
        route = self.routes.get((reader.method, reader.path))
        taker = self.body_handlers.get(reader.path) if reader.method == "POST" else None
        if taker is not None:
            status, body = yield from taker(reader.body())
        elif route is None:
            known = ", ".join(f"{method} {path}" for method, path in self.routes)
            status, body = 404, msgspec.json.encode({"error": f"allowed: {known}"})
        else:
            status, body = yield from route(dict(parse_qsl(reader.query)))
        kind = "text/plain; version=0.0.4" if reader.path == "/metrics" else "application/json"
        stream.write(http.response(status, body, [("connection", "close")], kind))
        yield from stream.drain()

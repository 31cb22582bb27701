"""Reads requests from client connections, bounded in time and size."""

from typing import TYPE_CHECKING

from stackpitch.gateway.connection_closing import ConnectionCloser, IdleConnection
from stackpitch.gateway.host import Host
from stackpitch.gateway.trace import Closing
from stackpitch.interface import Time
from stackpitch.loop import Coro, Stream, World
from stackpitch.wire import http

if TYPE_CHECKING:
    from stackpitch.gateway.metrics import Metrics


class RequestReceiver(ConnectionCloser):
    """The part of the client listener that reads requests.

    `body_bytes`: size of the request bodies held now, over all connections.
    """

    def __init__(
        self,
        world: World,
        host: Host,
        metrics: "Metrics",
        stall: Time,
        max_bodies: int,
        max_body: int,
        max_head: int,
        head: Time,
        body: Time,
        idle: Time,
        fresh: Time | None,
    ) -> None:
        """Sizes are in bytes; `max_bodies` bounds all bodies together.

        `head`, `body`: time limit for each part of a request. `idle`: for the next request on a reused
        connection. `fresh`: for the first byte on a new one, None: as `idle`. `stall`: for a client that
        stops reading.
        """
        super().__init__(world, host, metrics, max_body, stall)
        self.max_bodies, self.max_head = max_bodies, max_head
        self.head, self.body, self.idle = head, body, idle
        self.fresh = idle if fresh is None else fresh
        self.body_bytes = 0

    def _reason_without_request(self, stream: Stream) -> Closing:
        """Why a connection ends on which no further request came."""
        if stream in self.lingering:
            return Closing.EVICTED
        return Closing.CLIENT_ENDED if stream.eof else Closing.IDLE

    def _read_first(self, stream: Stream, reused: bool) -> Coro[bytes]:
        """The first bytes of the next request; empty if none came in time or the connection ends."""
        with self.world.limit(self.idle if reused else self.fresh) as scope:
            idle = self.idle_connections[stream] = IdleConnection(reused, scope)
            try:
                idle.first += yield from stream.recv()  # after what `_end_idle` found, if it ran
            finally:
                self.idle_connections.pop(stream, None)
        if stream in self.lingering:
            return b""  # half-closed in the same turn of the loop: nothing can be answered any more
        if scope.expired and not scope.cancel_called and not idle.first:
            idle.first = stream.recv_now(force=True) or b""  # bytes may have arrived as the time ran out
        return idle.first

    def _read_rest(self, stream: Stream, reader: http.RequestParser, held: int) -> Coro[int]:
        """Reads until the request is complete or the client has left.

        Returns the body bytes that now count as held. Raises http.BadMessage if it takes too long or too
        much is held.
        """
        continued = False
        try:
            for limit, part in ((self.head, "head"), (self.body, "body")):
                with self.world.limit(limit) as scope:
                    while not (reader.complete or (part == "head" and reader.head_done)):
                        if (
                            reader.head_done
                            and not continued
                            and "100-continue" in reader.headers.get("expect", "")
                        ):
                            stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                            continued = True
                        data = yield from stream.recv()
                        if not data:
                            return held
                        reader.feed(data)
                        self.body_bytes += reader.body_size - held
                        held = reader.body_size
                        if self.body_bytes > self.max_bodies:
                            raise http.BadMessage(503, "too much is held here; try again")
                if scope.expired and not (reader.complete or (part == "head" and reader.head_done)):
                    raise http.BadMessage(408, f"{part} was not whole after {limit // 10} ms")
                self.body_bytes += reader.body_size - held
                held = reader.body_size
        except BaseException:
            self.body_bytes -= held
            raise
        return held

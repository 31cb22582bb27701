"""Reads requests from client connections, bounded in time and size."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from stackpitch.gateway.connection_closing import ConnectionCloser, IdleConnection
from stackpitch.gateway.host import Host
from stackpitch.gateway.trace import Closing
from stackpitch.interface import Time
from stackpitch.loop import Coro, Stream, TurnLimiter, World
from stackpitch.wire import http

if TYPE_CHECKING:
    from stackpitch.gateway.metrics import Metrics


READ_SIZE = 16 << 10  # bytes of a request that are read at once
# Bytes of requests that are parsed in one turn of the event loop, over all connections.
PARSED_PER_TURN = 64 << 10


@dataclass(eq=False, slots=True)
class IncomingRequest:
    """A request that is being received.

    `unparsed`: its first bytes, until they are parsed. `received`: its bytes so far. `held`: those that count
    against the bound on all bodies.
    """

    reader: http.RequestParser
    unparsed: bytes = b""
    received: int = 0
    held: int = 0


class RequestReceiver(ConnectionCloser):
    """The part of the client listener that reads requests.

    `body_bytes`: held now over all connections, of request bodies and of bytes that wait to be parsed.
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
        self.parsing = TurnLimiter(world, PARSED_PER_TURN)

    def _reason_without_request(self, stream: Stream) -> Closing:
        """Why a connection ends on which no further request came."""
        if stream in self.lingering:
            return Closing.EVICTED
        return Closing.CLIENT_ENDED if stream.eof else Closing.IDLE

    def _read_first(self, stream: Stream, incoming: IncomingRequest, reused: bool) -> Coro[bool]:
        """Reads the first bytes of the next request; False if none came in time or the connection ends."""
        with self.world.limit(self.idle if reused else self.fresh) as scope:
            idle = self.idle_connections[stream] = IdleConnection(reused, scope)
            try:
                idle.first += yield from stream.recv(READ_SIZE)  # after what `_end_idle` found, if it ran
            finally:
                self.idle_connections.pop(stream, None)
        if stream in self.lingering:
            return False  # half-closed in the same turn of the loop: nothing can be answered any more
        if scope.expired and not scope.cancel_called and not idle.first:
            idle.first = stream.recv_now(force=True) or b""  # bytes may have arrived as the time ran out
        incoming.unparsed = idle.first
        return bool(idle.first)

    def _read_rest(self, stream: Stream, incoming: IncomingRequest) -> Coro[None]:
        """Parses what has arrived first, then reads until the request is complete or the client has left.

        Raises http.BadMessage if it takes too long or too much is held.
        """
        reader, continued = incoming.reader, False
        data, incoming.unparsed = incoming.unparsed, b""
        self._hold(incoming, len(data))
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
                    if not data:
                        data = yield from stream.recv(READ_SIZE)
                        if not data:
                            return
                        self._hold(incoming, reader.body_size + len(data))
                        if self.body_bytes > self.max_bodies:
                            raise http.BadMessage(503, "too much is held here; try again")
                    yield from self._parse(incoming, data)
                    data = b""
            if scope.expired and not (reader.complete or (part == "head" and reader.head_done)):
                raise http.BadMessage(408, f"{part} was not whole after {limit // 10} ms")

    def _parse(self, incoming: IncomingRequest, data: bytes) -> Coro[None]:
        """Parses received bytes as soon as a turn of the loop has room for it.

        The requests of which least has arrived go first, so that small ones hardly wait for large ones.
        """
        incoming.received += len(data)
        yield from self.parsing.admit(len(data), incoming.received)
        incoming.reader.feed(data)
        self._hold(incoming, incoming.reader.body_size)

    def _hold(self, incoming: IncomingRequest, size: int) -> None:
        """Counts `size` bytes as held for this request, in place of what counted before."""
        self.body_bytes += size - incoming.held
        incoming.held = size

    def _discard(self, incoming: IncomingRequest) -> None:
        """Frees what was received of the request, which no longer counts as held."""
        incoming.reader.close()
        self._hold(incoming, 0)

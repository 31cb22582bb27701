"""How client connections end.

Idle connections are evicted or half-closed, a response is drained first, and no connection is reset while its
last response may still be on the way to the client.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from stackpitch.gateway.client_drain import drain_client
from stackpitch.gateway.host import Host
from stackpitch.gateway.permission import Act, ConnectionState, Reason, accept_denial, end_denial
from stackpitch.interface import SECOND, Time
from stackpitch.loop import ConnectionLost, Coro, Scope, Stream, World
from stackpitch.wire import http
from stackpitch.wire.engine import error_body

if TYPE_CHECKING:
    from stackpitch.gateway.metrics import Metrics

# From the half-close to the close: time for the client to receive the last response and close its side.
LINGER_TIME = SECOND // 2


@dataclass(eq=False, slots=True)
class IdleConnection:
    """A connection without a request.

    `reused`: it has carried one. `first`: bytes that had come as it was to end.
    """

    reused: bool
    scope: Scope
    first: bytes = b""


class ConnectionCloser:
    """The part of the client listener that ends connections.

    Its tables have an entry per open connection at most.
    """

    # How many connections beyond the bound may be open: those that receive a 503 (further ones are closed
    # without a response), and those half-closed to make room for others.
    max_over_limit = 16

    def __init__(self, world: World, host: Host, metrics: "Metrics", max_body: int, stall: Time) -> None:
        self.world, self.host, self.metrics, self.max_body, self.stall = world, host, metrics, max_body, stall
        self.rejecting = 0  # connections that are being sent a 503 because too many are open
        # Connections without a request, longest idle first; emptied by a request or by the end.
        self.idle_connections: dict[Stream, IdleConnection] = {}
        self.lingering: dict[Stream, None] = {}  # half-closed or about to be; emptied by their close
        self.stopping = False

    def _evict_idle(self) -> bool:
        """Ends the connection that has been idle for the longest time; False if all have a request."""
        return any(self._end_idle(stream) for stream in list(self.idle_connections))

    def _trim_lingering(self) -> None:
        """Closes the oldest lingering connections beyond the descriptors that are reserved for them.

        A lingering connection no longer counts against the connection bound, but still holds a descriptor.
        """
        while len(self.lingering) > max(0, self.max_over_limit - self.rejecting):
            stream = next(iter(self.lingering))
            del self.lingering[stream]
            stream.close()

    def _end_idle(self, stream: Stream) -> bool:
        """Half-closes an idle connection; False if a request has arrived on it, which is then served.

        What arrives from now on is read, so that the close causes no reset, and is discarded.
        """
        idle = self.idle_connections.pop(stream)
        try:
            idle.first = stream.recv_now(force=True) or b""
        except ConnectionLost:
            pass
        reason = end_denial(ConnectionState(unread=bool(idle.first)))
        if reason is None:
            self.lingering[stream] = None
            if not idle.reused:
                self._answer_no_request(stream)
            stream.finish()
        else:
            self.host.denials.record(Act.END, reason)
        idle.scope.cancel()
        return reason is None

    def close_idle(self) -> None:
        """Called when the gateway stops: ends idle connections, and the others after their response.

        Responses whose head is still to be written announce the close. A new connection may have a
        request on its way, so it stays open until requests are no longer accepted.
        """
        self.stopping = True
        for request in self.host.requests.values():
            request.close_after = True
        accepts = self._accept_denial() is None
        for stream in [
            candidate for candidate, idle in self.idle_connections.items() if idle.reused or not accepts
        ]:
            self._end_idle(stream)

    def _accept_denial(self) -> Reason | None:
        """Why a request that is complete now may not be accepted; None: it may."""
        return accept_denial(self.world.now(), self._accepts_until())

    def _accepts_until(self) -> Time | None:
        """Until when requests are accepted; None while the gateway is not stopping."""
        return 0 if self.stopping else None

    def _answer_no_request(self, stream: Stream) -> None:
        """Writes a 503 on a new connection that ends before its first request.

        A request that crosses the close is read and discarded, and its client would be left without a
        response. On a reused connection clients retry such a request by themselves.
        """
        body = error_body("no request came in time; try again", "no_request", "server_error")
        headers = [("x-should-retry", "true"), ("connection", "close")]
        try:
            stream.write(http.response(503, body, headers))
        except ConnectionLost:
            pass  # the client is gone

    def _reject_connection(self, stream: Stream) -> Coro[None]:
        try:
            yield from self._send_error(
                stream, 503, "overfull", "no connection is free here; try again", again=True
            )
        finally:
            self.rejecting -= 1
            stream.close()

    def _send_error(
        self, stream: Stream, status: int, code: str, text: str, again: bool, retry_after: Time = 0
    ) -> Coro[None]:
        """Writes an error response, then closes without a reset that could destroy it."""
        kind = "invalid_request_error" if 400 <= status < 500 else "server_error"
        headers = [("x-should-retry", "true" if again else "false"), ("connection", "close")]
        if retry_after:
            headers.append(("retry-after", f"{retry_after / SECOND:.3f}"))
        try:
            stream.write(http.response(status, error_body(text, code, kind), headers))
            yield from self._linger(stream)
        except ConnectionLost:
            pass  # the client did not wait for the response
        finally:
            stream.close()

    def _linger(self, stream: Stream) -> Coro[None]:
        """Lingering close: half-closes after pending writes, then reads until the client closes its side.

        A close with unread bytes, or bytes that arrive after it, cause a reset, which destroys what the
        client's system has not received yet. So the close waits while that system goes on acknowledging,
        or for `stall`.
        """
        left = self.max_body  # bytes: a client that sends at full speed must not take the time of the others
        pending, rounds = 0, max(1, self.stall // LINGER_TIME)
        for _ in range(2 * rounds):
            with self.world.limit(LINGER_TIME) as scope:
                yield from stream.drain()
                stream.finish()
                while left > 0 and (received := len((yield from stream.recv()))):  # no byte is kept
                    left -= received
            before, pending = pending, stream.unacknowledged()
            rounds = rounds - 1 if pending == before else rounds
            if not scope.expired or not pending or not rounds:
                return

    def _drain_answer(self, stream: Stream, time_limit: Time | None = None) -> Coro[bool]:
        """Whether the client has read its response. One that never reads, or a byte now and then, is cut off.

        `time_limit`: for all of it, if that is longer than `stall`.
        """
        return (yield from drain_client(self.world, stream, 0, self.stall, time_limit or self.stall))

    def _refuse_pipelining(self, stream: Stream) -> Coro[None]:
        yield from self._send_error(
            stream, 400, "pipelining_refused", "ask again once the answer is whole", again=False
        )

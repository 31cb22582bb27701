"""How a door's connections end: resting ones make way or are half-closed, answers are taken first, nothing is reset that may
hold an answer."""

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

FAREWELL = (
    SECOND // 2
)  # from the half-close to the close, for a client to take the last answer and to end its side


@dataclass(eq=False, slots=True)
class IdleConnection:
    """A connection without a request. `reused`: it had one before. `first`: what had come when it was to end."""

    reused: bool
    scope: Scope
    first: bytes = b""


class ConnectionCloser:
    """A door's part that ends connections. Tables: none beyond the connections that are open."""

    max_over_limit = (
        16  # connections beyond the bound: those that are told why, others being closed without a word, and
    )
    # those half-closed for others to have their place

    def __init__(self, world: World, host: Host, metrics: "Metrics", max_body: int, stall: Time) -> None:
        self.world, self.host, self.metrics, self.max_body, self.stall = world, host, metrics, max_body, stall
        self.rejecting = 0  # connections that are being turned away
        self.idle_connections: dict[
            Stream, IdleConnection
        ] = {}  # connections without a request; emptied by one, or by ending
        self.lingering: dict[Stream, None] = {}  # half-closed or about to be; emptied by their close
        self.stopping = False

    def _evict_idle(self) -> bool:
        """Ends the connection that has been without a request for the longest time; False if all have one."""
        return any(self._end_idle(stream) for stream in list(self.idle_connections))

    def _trim_lingering(self) -> None:
        """Those that linger have given up their place, but hold a descriptor: as many as are kept back for it may."""
        while len(self.lingering) > max(0, self.max_over_limit - self.rejecting):
            stream = next(iter(self.lingering))
            del self.lingering[stream]
            stream.close()

    def _end_idle(self, stream: Stream) -> bool:
        """Half-closes a resting connection; False if a request had come on it, which is served then. What comes from now
        on is read, so that the close is no reset, and goes nowhere."""
        rest = self.idle_connections.pop(stream)
        try:
            rest.first = stream.recv_now(force=True) or b""
        except ConnectionLost:
            pass
        reason = end_denial(ConnectionState(unread=bool(rest.first)))
        if reason is None:
            self.lingering[stream] = None
            if not rest.reused:
                self._answer_no_request(stream)
            stream.finish()
        else:
            self.host.denials.note(Act.END, reason)
        rest.scope.cancel()
        return reason is None

    def close_idle(self) -> None:
        """On stopping: connections with no request end, and answers whose head is still to come say that they are their
        connection's last. New connections may have a request on its way, and end once it would not be taken."""
        self.stopping = True
        for ask in self.host.requests.values():
            ask.close_after = True
        takes = self._accept_denial() is None
        for stream in [one for one, rest in self.idle_connections.items() if rest.reused or not takes]:
            self._end_idle(stream)

    def _accept_denial(self) -> Reason | None:
        """Why a request that is complete now may not be taken."""
        return accept_denial(self.world.now(), self._accepts_until())

    def _accepts_until(self) -> Time | None:
        """When the last request may be taken; None while the gateway doesn't stop."""
        return 0 if self.stopping else None

    def _answer_no_request(self, stream: Stream) -> None:
        """On a new connection that ends before its request came. Guards against a request that crosses the end: it is read
        and dropped, and its client would be left without an answer; on a kept connection it is sent anew."""
        body = error_body("no request came in time; try again", "no_request", "server_error")
        headers = [("x-should-retry", "true"), ("connection", "close")]
        try:
            stream.write(http.response(503, body, headers))
        except ConnectionLost:
            pass  # it has gone

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
        """Answers what is not taken, then closes so that the answer is not lost to a reset."""
        kind = "invalid_request_error" if 400 <= status < 500 else "server_error"
        headers = [("x-should-retry", "true" if again else "false"), ("connection", "close")]
        if retry_after:
            headers.append(("retry-after", f"{retry_after / SECOND:.3f}"))
        try:
            stream.write(http.response(status, error_body(text, code, kind), headers))
            yield from self._linger(stream)
        except ConnectionLost:
            pass  # it did not wait for the answer
        finally:
            stream.close()

    def _linger(self, stream: Stream) -> Coro[None]:
        """Half-closes behind what is written, then reads until the client ends its side. A close with bytes unread, or bytes
        that come after it, make a reset, which destroys what the client's system has not taken yet: as long as that goes
        on taking, or for `stall`, the close waits."""
        left = self.max_body  # bytes: what a stranger sends at full speed must not take the time of others
        pending, rounds = 0, max(1, self.stall // FAREWELL)
        for _ in range(2 * rounds):
            with self.world.limit(FAREWELL) as scope:
                yield from stream.drain()
                stream.finish()
                while left > 0 and (data := (yield from stream.recv())):
                    left -= len(data)
            before, pending = pending, stream.unacknowledged()
            rounds = rounds - 1 if pending == before else rounds
            if not scope.expired or not pending or not rounds:
                return

    def _drain_answer(self, stream: Stream, most: Time | None = None) -> Coro[bool]:
        """Whether the client took its answer. One that asks and never reads, or reads a byte now and then, would keep its
        place for good. `most`: that it may take altogether, if that is longer than `stall`."""
        return (yield from drain_client(self.world, stream, 0, self.stall, most or self.stall))

    def _refuse_pipelining(self, stream: Stream) -> Coro[None]:
        yield from self._send_error(
            stream, 400, "pipelining_refused", "ask again once the answer is whole", again=False
        )

"""Accepts client connections and serves their HTTP/1.1 requests, one at a time per connection.

Connections, heads, bodies and times are all bounded.

A request that can't be accepted is refused at once with a clear response. An accepted one belongs to the
host until its final response.
"""

from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

from stackpitch.gateway.client_request import DEPARTED, ClientRequest
from stackpitch.gateway.facts import BadRequest
from stackpitch.gateway.host import Host
from stackpitch.gateway.permission import Act, ConnectionState, Reason, end_denial
from stackpitch.gateway.request_receiving import IncomingRequest, RequestReceiver
from stackpitch.gateway.trace import Closing
from stackpitch.interface import Time
from stackpitch.loop import ConnectionLost, Coro, Group, Listener, Stream, World
from stackpitch.wire import http
from stackpitch.wire.engine import error_body

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.metrics import Metrics


REQUEST_ID_FIELDS = ("req-id", "x-request-id")  # headers that may hold a request's id, for the log


class ClientListener(RequestReceiver, ABC):
    """Accepts client connections. Its tables have an entry per open connection at most.

    Each protocol's listener adds its paths and how it reads a request.
    """

    retry_after: Time = 0  # sent with refusals while the gateway stops; 0: none is sent

    def __init__(
        self,
        world: World,
        host: Host,
        log: "Log",
        metrics: "Metrics",
        *,
        max_connections: int,
        max_bodies: int,
        max_body: int,
        max_head: int,
        head: Time,
        body: Time,
        idle: Time,
        stall: Time,
        margin: Time,
        fresh: Time | None = None,
    ) -> None:
        """`margin`: how long before the client's time limit a response must be ready.

        The rest as for `RequestReceiver`.
        """
        super().__init__(world, host, metrics, stall, max_bodies, max_body, max_head, head, body, idle, fresh)
        self.log = log
        self.max_connections, self.margin = max_connections, margin
        self.connections = 0
        # Why connections ended, counted since the last `take_close_reasons`; one entry per reason.
        self.close_reasons: Counter[Closing] = Counter()
        # Why a connection will end after its response, where known; emptied as the connections end.
        self._close_reason: dict[Stream, Closing] = {}
        self.accepting = True  # until the listener is closed

    def serve(self, group: Group, listener: Listener) -> Coro[None]:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                stream = yield from listener.accept()
            except ConnectionLost:
                self.accepting = False
                return  # the listener is closed: the gateway stops
            if self.connections - len(self.lingering) >= self.max_connections and not self._evict_idle():
                self.metrics.refused.labels("connections").inc()
                self.close_reasons[Closing.OVER_LIMIT] += 1
                if self.rejecting < self.max_over_limit:
                    self.rejecting += 1
                    group.spawn(self._reject_connection(stream), "turn away")
                else:
                    # At once: a full accept queue is accepted in one go, and must not use up all descriptors.
                    stream.close()
                self._trim_lingering()
                continue
            self._trim_lingering()
            self.connections += 1
            self.metrics.connections.labels("clients").set(self.connections)
            group.spawn(self._serve_connection(stream), "client")

    def take_close_reasons(self) -> dict[str, int]:
        """How many connections ended, by reason, since the last call."""
        counts = {str(reason): count for reason, count in sorted(self.close_reasons.items())}
        self.close_reasons.clear()
        return counts

    def _serve_connection(self, stream: Stream) -> Coro[None]:
        reused = False
        try:
            while (yield from self._serve_one(stream, reused)):
                reused = True
            self.lingering[stream] = None
            yield from self._linger(stream)
        except (
            ConnectionLost
        ):  # broken by the client; the host has been told that the client of its request departed
            self.close_reasons[Closing.BROKEN] += 1
        except Exception as error:  # a fault on one connection ends that connection alone
            self.close_reasons[Closing.INTERNAL_ERROR] += 1
            self.log.exception("door_raised", why=str(error))
        finally:
            stream.close()
            self.lingering.pop(stream, None)
            self._close_reason.pop(stream, None)
            self.connections -= 1
            self.metrics.connections.labels("clients").set(self.connections)

    def _serve_one(self, stream: Stream, reused: bool) -> Coro[bool]:
        """Reads and answers one request; True if the connection may carry another.

        The request's time limit counts from when its first byte may have arrived: the bytes may have been
        in the socket buffer, unread, while this process was busy or not scheduled.
        """
        incoming = IncomingRequest(http.RequestParser(self.max_head, self.max_body))
        try:
            return (yield from self._receive_and_route(stream, incoming, reused))
        except http.BadMessage as error:
            status, text = error.status, str(error)
        finally:
            self._discard(incoming)
        # Only now, with nothing received in memory: the client may take its time to read the answer.
        self.close_reasons[Closing.BAD_REQUEST] += 1
        self.metrics.refused.labels(f"status {status}").inc()
        yield from self._send_error(stream, status, "bad_message", text, again=status in (408, 503))
        return False

    def _receive_and_route(self, stream: Stream, incoming: IncomingRequest, reused: bool) -> Coro[bool]:
        """Raises http.BadMessage."""
        if not (yield from self._read_first(stream, incoming, reused)):
            self.close_reasons[self._reason_without_request(stream)] += 1
            if not (reused or stream.eof or stream in self.lingering):
                self._answer_no_request(stream)
            return False
        began = stream.arrived_at
        yield from self._read_rest(stream, incoming)
        if not incoming.reader.complete:
            self.close_reasons[Closing.CLIENT_ENDED] += 1
            return False
        if (yield from self._route(stream, incoming.reader, began)):
            return True
        self.close_reasons[self._close_reason.pop(stream, Closing.LAST_RESPONSE)] += 1
        return False

    def _close_header(self, reader: http.RequestParser) -> list[tuple[str, str]]:
        """The header that a response carries if it is the last on its connection."""
        return (
            []
            if reader.keep_alive and not reader.extra_bytes and not self.stopping
            else [("connection", "close")]
        )

    @abstractmethod
    def _route(self, stream: Stream, reader: http.RequestParser, began: Time) -> Coro[bool]:
        """Handles a complete request by its path; True if the connection may carry another.

        `began`: when its first byte arrived. Raises BadMessage, after which the connection ends.
        """

    @abstractmethod
    def _parse_request(self, stream: Stream, reader: http.RequestParser, began: Time) -> ClientRequest:
        """Builds the request from a complete message.

        Raises BadRequest, or BadMessage, after which the connection ends as well.
        """

    def _may_continue(self, stream: Stream, reader: http.RequestParser) -> Coro[bool]:
        """Waits until a small answer has been read; True if the connection may carry another request."""
        return (
            (yield from self._drain_answer(stream))
            and reader.keep_alive
            and not reader.extra_bytes
            and not self.stopping
        )

    def _handle_generation(self, stream: Stream, reader: http.RequestParser, began: Time) -> Coro[bool]:
        if (reason := self._accept_denial()) is not None:
            self._record_denied(stream, reader, reason)
            yield from self._send_error(
                stream, 503, "stopping", "the gateway stops; try another", True, self.retry_after
            )
            return False
        try:
            request = self._parse_request(stream, reader, began)
        except BadRequest as error:
            self.metrics.refused.labels("request").inc()
            body = error_body(str(error), "bad_request", "invalid_request_error")
            stream.write(http.response(400, body, [("x-should-retry", "false"), *self._close_header(reader)]))
            return (yield from self._may_continue(stream, reader))
        except http.BadMessage:
            raise
        except Exception as error:  # a request that was read is owed a response, whatever is unusual about it
            self.log.exception("request_raised", why=str(error))
            raise http.BadMessage(500, "this request could not be worked with") from None
        reader.discard_body()
        if (yield from self._serve_request(stream, reader, request)):
            return True
        self._check_end(request)
        return False

    def _check_end(self, request: ClientRequest) -> None:
        """Reports a broken invariant if the connection ends while its accepted request has no response."""
        left = not request.answered and request.client_left()
        ending = ConnectionState(accepted=True, answered=request.answered, client_left=left)
        if (reason := end_denial(ending)) is not None and self.host.denials.record(Act.END, reason):
            self.log.error("invariant_broken", act=Act.END, reason=reason, generation=request.gen.name)

    def _record_denied(self, stream: Stream, reader: http.RequestParser, reason: Reason) -> None:
        self.host.denials.record(Act.ACCEPT, reason)
        self._close_reason[stream] = Closing.STOPPING
        if self.host.trace_limiter.allows(self.world.now(), reason):
            request_id = next(
                (reader.headers[field] for field in REQUEST_ID_FIELDS if field in reader.headers), ""
            )
            self.log.info(
                "untaken", id=request_id, why=reason, left_out=self.host.trace_limiter.take_suppressed()
            )

    def _serve_request(
        self, stream: Stream, reader: http.RequestParser, request: ClientRequest
    ) -> Coro[bool]:
        """Serves a request up to its final response; True if the connection may carry another."""
        # The client may have left right after its request, or while that waited here to be read: nothing
        # is started.
        if request.client_left():
            if request.extra_exceeded:
                yield from self._refuse_pipelining(stream)
            elif request.fin_received:
                request.refuse_half_closed()
            self._close_reason[stream] = Closing.CLIENT_LEFT
            return False
        request.close_after = self.stopping or not reader.keep_alive
        self.host.request_arrived(request)
        try:
            yield from self._wait_for_answer(stream, request)
        finally:
            if not request.answered:
                self.host.client_departed(request)
        if request.end == DEPARTED:
            self._close_reason[stream] = Closing.CLIENT_LEFT
            if request.extra_exceeded:
                yield from self._refuse_pipelining(stream)
            return False
        if request.stream_cut:
            self._close_reason[stream] = Closing.STREAM_CUT
            return False
        if not (yield from self._drain_answer(stream, request.drain_time)):
            self._close_reason[stream] = Closing.SLOW_CLIENT
            return False
        if request.extra_bytes or reader.extra_bytes:
            self._close_reason[stream] = Closing.PIPELINED
            yield from self._send_error(
                stream, 400, "pipelining_refused", "ask again once the answer is whole", again=True
            )
            return False
        return reader.keep_alive and not self.stopping and not request.close_after

    def _wait_for_answer(self, stream: Stream, request: ClientRequest) -> Coro[None]:
        """Waits for the final response, or for the client to leave; watches for further bytes meanwhile.

        Does not watch after FIN while the response streams: nothing more can arrive, and a write shows if the
        client left.
        """
        request.waiting_task = self.world.current
        try:
            while not request.answered:
                stream.wake_on_input(
                    None if request.extra_exceeded or request.fin_received else self.world.current
                )
                yield
                if not request.answered and request.client_left():
                    self.host.client_departed(request)
        finally:
            request.waiting_task = None
            stream.wake_on_input(None)

"""Where clients come in: HTTP/1.1, one request at a time on each connection, all of it bounded.

What can't be taken is refused at once with a clear answer; what is taken is the host's until its final answer.
"""

from collections import Counter
from typing import TYPE_CHECKING, Protocol

import msgspec

from stackpitch.gateway.client_request import DEPARTED, ClientRequest, OpenAIRequest
from stackpitch.gateway.facts import BadRequest, Facts, RequestParser
from stackpitch.gateway.host import Host
from stackpitch.gateway.permission import Act, ConnectionState, Reason, end_denial
from stackpitch.gateway.request_receiving import RequestReceiver
from stackpitch.gateway.trace import Closing
from stackpitch.interface import Generation, Time
from stackpitch.loop import ConnectionLost, Coro, Group, Listener, Stream, World
from stackpitch.wire import http
from stackpitch.wire.engine import GENERATE_PATHS, error_body

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.metrics import Metrics


REQUEST_ID_FIELDS = ("req-id", "x-request-id")  # of a request's head, for the log


class TokenTranslator(Protocol):
    """What becomes of token ids on servers of each vocabulary; None: there are none. Raises BadRequest."""

    def spoken(self, facts: Facts) -> dict[str, dict[str, msgspec.Raw]] | None: ...


class ClientListener(RequestReceiver):
    """Accepts clients. Tables: none beyond the connections that are open."""

    retry_after: Time = 0  # told to clients that are refused as the gateway stops; 0: nothing is told

    def __init__(
        self,
        world: World,
        host: Host,
        log: "Log",
        metrics: "Metrics",
        reading: RequestParser | None,
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
        super().__init__(world, host, metrics, stall, max_bodies, max_body, max_head, head, body, idle, fresh)
        self.log, self.request_parser = log, reading
        self.token_translator: TokenTranslator | None = None  # set where vocabularies matter
        self.max_connections, self.margin = max_connections, margin
        self.connections = self.request_count = 0
        self.close_reasons: Counter[Closing] = (
            Counter()
        )  # since they were last told; as many as there are reasons
        self._close_reason: dict[
            Stream, Closing
        ] = {}  # of connections that end behind their answer; emptied as they do
        self.accepting = True  # until the listener is closed
        self.id_prefix = (
            f"{host.name}.{world.unique_id('ids'):x}"  # no other start's, whatever the wall clock says
        )

    def serve(self, group: Group, listener: Listener) -> Coro[None]:
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
                    stream.close()  # at once: a full queue is accepted in one go, and must not take all descriptors
                self._trim_lingering()
                continue
            self._trim_lingering()
            self.connections += 1
            self.metrics.connections.labels("clients").set(self.connections)
            group.spawn(self._serve_connection(stream), "client")

    def take_close_reasons(self) -> dict[str, int]:
        """By reason; counts anew from now on."""
        found = {str(reason): count for reason, count in sorted(self.close_reasons.items())}
        self.close_reasons.clear()
        return found

    def _serve_connection(self, stream: Stream) -> Coro[None]:
        kept = False
        try:
            while (yield from self._serve_one(stream, kept)):
                kept = True
            self.lingering[stream] = None
            yield from self._linger(stream)
        except ConnectionLost:  # the client broke it; what it had asked for was told as departed
            self.close_reasons[Closing.BROKEN] += 1
        except Exception as wrong:  # one connection's fault ends that connection alone
            self.close_reasons[Closing.INTERNAL_ERROR] += 1
            self.log.exception("door_raised", why=str(wrong))
        finally:
            stream.close()
            self.lingering.pop(stream, None)
            self._close_reason.pop(stream, None)
            self.connections -= 1
            self.metrics.connections.labels("clients").set(self.connections)

    def _serve_one(self, stream: Stream, kept: bool) -> Coro[bool]:
        """Reads and answers one request; whether the connection serves another.

        Its time limit counts from when its first byte may have come: it may have lain here, unread, while this process
        was busy or not run.
        """
        reader, held = http.RequestParser(self.max_head, self.max_body), 0
        try:
            first = yield from self._read_first(stream, kept)
            if not first:
                self.close_reasons[self._reason_without_request(stream)] += 1
                if not (kept or stream.eof or stream in self.lingering):
                    self._answer_no_request(stream)
                return False
            began = stream.arrived_at
            reader.feed(first)
            held = yield from self._read_rest(stream, reader, 0)
            if not reader.complete:
                self.close_reasons[Closing.CLIENT_ENDED] += 1
                return False
            if (yield from self._route(stream, reader, began)):
                return True
            self.close_reasons[self._close_reason.pop(stream, Closing.LAST_RESPONSE)] += 1
            return False
        except http.BadMessage as wrong:
            self.close_reasons[Closing.BAD_REQUEST] += 1
            self.metrics.refused.labels(f"status {wrong.status}").inc()
            yield from self._send_error(
                stream, wrong.status, "bad_message", str(wrong), again=wrong.status in (408, 503)
            )
            return False
        finally:
            self.body_bytes -= held

    def _close_header(self, reader: http.RequestParser) -> list[tuple[str, str]]:
        """What an answer says if it is its connection's last."""
        return (
            []
            if reader.keep_alive and not reader.extra_bytes and not self.stopping
            else [("connection", "close")]
        )

    def _route(self, stream: Stream, reader: http.RequestParser, began: Time) -> Coro[bool]:
        """`began`: when its first byte came."""
        path, method = reader.path, reader.method
        if path in GENERATE_PATHS and method == "POST":
            return (yield from self._handle_generation(stream, reader, began))
        if path == "/v1/models" and method == "GET":
            assert self.request_parser is not None
            models = [
                {"id": name, "object": "model", "created": 0, "owned_by": "stackpitch"}
                for name in self.request_parser.models
            ]
            stream.write(
                http.response(
                    200, msgspec.json.encode({"object": "list", "data": models}), self._close_header(reader)
                )
            )
        elif path == "/health" and method == "GET":
            stream.write(http.response(503 if self.stopping else 200, b"{}", self._close_header(reader)))
        elif path in (*GENERATE_PATHS, "/v1/models", "/health"):
            yield from self._send_error(
                stream, 405, "method_not_allowed", f"{method} is not allowed on {path}", again=False
            )
            return False
        else:
            allowed = ", ".join((*GENERATE_PATHS, "/v1/models"))
            yield from self._send_error(
                stream, 404, "not_found", f"found {path[:80]!r}; allowed: {allowed}", again=False
            )
            return False
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
            ask = self._parse_request(stream, reader, began)
        except BadRequest as wrong:
            self.metrics.refused.labels("request").inc()
            body = error_body(str(wrong), "bad_request", "invalid_request_error")
            stream.write(http.response(400, body, [("x-should-retry", "false"), *self._close_header(reader)]))
            return (
                (yield from self._drain_answer(stream))
                and reader.keep_alive
                and not reader.extra_bytes
                and not self.stopping
            )
        except http.BadMessage:
            raise
        except Exception as wrong:  # a request that was read is owed an answer, whatever is odd about it
            self.log.exception("request_raised", why=str(wrong))
            raise http.BadMessage(500, "this request could not be worked with") from None
        reader.pieces = []
        if (yield from self._serve_request(stream, reader, ask)):
            return True
        self._check_end(ask)
        return False

    def _check_end(self, ask: ClientRequest) -> None:
        """The connection ends now. Guards against a request that was taken and is given up without its answer."""
        left = not ask.answered and ask.client_left()
        ending = ConnectionState(taken=True, answered=ask.answered, client_left=left)
        if (reason := end_denial(ending)) is not None and self.host.denials.note(Act.END, reason):
            self.log.error("invariant_broken", act=Act.END, reason=reason, generation=ask.gen.name)

    def _record_denied(self, stream: Stream, reader: http.RequestParser, reason: Reason) -> None:
        self.host.denials.note(Act.TAKE, reason)
        self._close_reason[stream] = Closing.STOPPING
        if self.host.trace_limiter.allows(self.world.now(), reason):
            named = next((reader.headers[one] for one in REQUEST_ID_FIELDS if one in reader.headers), "")
            self.log.info("untaken", id=named, why=reason, left_out=self.host.trace_limiter.take_suppressed())

    def _parse_request(self, stream: Stream, reader: http.RequestParser, began: Time) -> ClientRequest:
        """What a whole request asks for. Raises BadRequest, or BadMessage which ends the connection as well."""
        self.request_count += 1
        assert self.request_parser is not None
        facts = self.request_parser.parse(
            reader.path, reader.headers, reader.body(), f"{self.id_prefix}.{self.request_count}"
        )
        now = self.world.now()
        gen = Generation(
            f"{self.id_prefix}.{self.request_count}",
            facts.product,
            facts.customer,
            facts.session,
            facts.shared,
            facts.shared_tok,
            facts.prompt_tok,
            facts.limit_tok,
            None,
            now,
            now + max(1, facts.time_limit - self.margin),
            facts.repeat,
            False,
        )
        ask = OpenAIRequest(gen, stream, reader.path, facts.fields, facts.request_id, facts.streamed)
        if self.token_translator is not None:
            ask.token_fields = self.token_translator.spoken(facts)
        return ask

    def _serve_request(self, stream: Stream, reader: http.RequestParser, ask: ClientRequest) -> Coro[bool]:
        """From a taken generation to its final answer; whether the connection serves another."""
        if (
            ask.client_left()
        ):  # with its request, or while that waited here for its turn: nothing is begun for it
            if ask.extra_exceeded:
                yield from self._refuse_pipelining(stream)
            elif ask.fin_received:
                ask.refuse_half_closed()
            self._close_reason[stream] = Closing.CLIENT_LEFT
            return False
        ask.close_after = self.stopping or not reader.keep_alive
        self.host.request_arrived(ask)
        try:
            yield from self._wait_for_answer(stream, ask)
        finally:
            if not ask.answered:
                self.host.client_departed(ask)
        if ask.end == DEPARTED:
            self._close_reason[stream] = Closing.CLIENT_LEFT
            if ask.extra_exceeded:
                yield from self._refuse_pipelining(stream)
            return False
        if ask.stream_cut:
            self._close_reason[stream] = Closing.STREAM_CUT
            return False
        if not (yield from self._drain_answer(stream, ask.drain_time)):
            self._close_reason[stream] = Closing.SLOW_CLIENT
            return False
        if ask.extra_bytes or reader.extra_bytes:
            self._close_reason[stream] = Closing.PIPELINED
            yield from self._send_error(
                stream, 400, "pipelining_refused", "ask again once the answer is whole", again=True
            )
            return False
        return reader.keep_alive and not self.stopping and not ask.close_after

    def _wait_for_answer(self, stream: Stream, ask: ClientRequest) -> Coro[None]:
        """Until the final answer, or until the client has left; also one that has sent on is attended to.

        Not one that has ended its sending while its answer streams: nothing more can come, and a write tells if it left.
        """
        ask.waiting_task = self.world.current
        try:
            while not ask.answered:
                stream.wake_on_input(None if ask.extra_exceeded or ask.fin_received else self.world.current)
                yield
                if not ask.answered and ask.client_left():
                    self.host.client_departed(ask)
        finally:
            ask.waiting_task = None
            stream.wake_on_input(None)

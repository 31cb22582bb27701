"""Where clients come in: HTTP/1.1, one request at a time on each connection, all of it bounded.

What can't be taken is refused at once with a clear answer; what is taken is the host's until its final answer.
"""

from collections import Counter
from typing import TYPE_CHECKING, Protocol

import msgspec

from stackpitch.gateway.ask import DEPARTED, Ask, OpenAsk
from stackpitch.gateway.facts import BadRequest, Facts, Reading
from stackpitch.gateway.host import Host
from stackpitch.gateway.intake import Intake
from stackpitch.gateway.permission import Act, Connection, Reason, may_end
from stackpitch.gateway.trace import Closing
from stackpitch.interface import Generation, Time
from stackpitch.loop import ConnectionLost, Coro, Group, Listener, Stream, World
from stackpitch.wire import http
from stackpitch.wire.engine import GENERATE_PATHS, error_body

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.metrics import Metrics


REQUEST_ID_FIELDS = ("req-id", "x-request-id")  # of a request's head, for the log


class Speaks(Protocol):
    """What becomes of token ids on servers of each vocabulary; None: there are none. Raises BadRequest."""

    def spoken(self, facts: Facts) -> dict[str, dict[str, msgspec.Raw]] | None: ...


class Door(Intake):
    """Accepts clients. Tables: none beyond the connections that are open."""

    retry_after: Time = 0  # told to clients that are refused as the gateway stops; 0: nothing is told

    def __init__(
        self,
        world: World,
        host: Host,
        log: "Log",
        metrics: "Metrics",
        reading: Reading | None,
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
        self.log, self.reading = log, reading
        self.speaking: Speaks | None = None  # set where vocabularies matter
        self.max_connections, self.margin = max_connections, margin
        self.connections = self.count = 0
        self.closings: Counter[Closing] = Counter()  # since they were last told; as many as there are reasons
        self._why_after: dict[
            Stream, Closing
        ] = {}  # of connections that end behind their answer; emptied as they do
        self.accepting = True  # until the listener is closed
        self.mark = (
            f"{host.name}.{world.unique_id('ids'):x}"  # no other start's, whatever the wall clock says
        )

    def serve(self, group: Group, listener: Listener) -> Coro[None]:
        while True:
            try:
                stream = yield from listener.accept()
            except ConnectionLost:
                self.accepting = False
                return  # the listener is closed: the gateway stops
            if self.connections - len(self.lingering) >= self.max_connections and not self._make_room():
                self.metrics.refused.labels("connections").inc()
                self.closings[Closing.OVER_LIMIT] += 1
                if self.turned < self.told_why:
                    self.turned += 1
                    group.spawn(self._turn_away(stream), "turn away")
                else:
                    stream.close()  # at once: a full queue is accepted in one go, and must not take all descriptors
                self._trim()
                continue
            self._trim()
            self.connections += 1
            self.metrics.connections.labels("clients").set(self.connections)
            group.spawn(self._connection(stream), "client")

    def take_closings(self) -> dict[str, int]:
        """By reason; counts anew from now on."""
        found = {str(reason): count for reason, count in sorted(self.closings.items())}
        self.closings.clear()
        return found

    def _connection(self, stream: Stream) -> Coro[None]:
        kept = False
        try:
            while (yield from self._request(stream, kept)):
                kept = True
            self.lingering[stream] = None
            yield from self._farewell(stream)
        except ConnectionLost:  # the client broke it; what it had asked for was told as departed
            self.closings[Closing.BROKEN] += 1
        except Exception as wrong:  # one connection's fault ends that connection alone
            self.closings[Closing.INTERNAL_ERROR] += 1
            self.log.exception("door_raised", why=str(wrong))
        finally:
            stream.close()
            self.lingering.pop(stream, None)
            self._why_after.pop(stream, None)
            self.connections -= 1
            self.metrics.connections.labels("clients").set(self.connections)

    def _request(self, stream: Stream, kept: bool) -> Coro[bool]:
        """Reads and answers one request; whether the connection serves another.

        Its time limit counts from when its first byte may have come: it may have lain here, unread, while this process
        was busy or not run.
        """
        reader, held = http.RequestParser(self.max_head, self.max_body), 0
        try:
            first = yield from self._first(stream, kept)
            if not first:
                self.closings[self._why_without_request(stream)] += 1
                if not (kept or stream.eof or stream in self.lingering):
                    self._answer_unasked(stream)
                return False
            began = stream.arrived_at
            reader.feed(first)
            held = yield from self._rest(stream, reader, 0)
            if not reader.complete:
                self.closings[Closing.CLIENT_ENDED] += 1
                return False
            if (yield from self._answer(stream, reader, began)):
                return True
            self.closings[self._why_after.pop(stream, Closing.LAST_RESPONSE)] += 1
            return False
        except http.BadMessage as wrong:
            self.closings[Closing.BAD_REQUEST] += 1
            self.metrics.refused.labels(f"status {wrong.status}").inc()
            yield from self._error(
                stream, wrong.status, "bad_message", str(wrong), again=wrong.status in (408, 503)
            )
            return False
        finally:
            self.bodies -= held

    def _last(self, reader: http.RequestParser) -> list[tuple[str, str]]:
        """What an answer says if it is its connection's last."""
        return (
            []
            if reader.keep_alive and not reader.extra_bytes and not self.stopping
            else [("connection", "close")]
        )

    def _answer(self, stream: Stream, reader: http.RequestParser, began: Time) -> Coro[bool]:
        """`began`: when its first byte came."""
        path, method = reader.path, reader.method
        if path in GENERATE_PATHS and method == "POST":
            return (yield from self._generation(stream, reader, began))
        if path == "/v1/models" and method == "GET":
            assert self.reading is not None
            models = [
                {"id": name, "object": "model", "created": 0, "owned_by": "stackpitch"}
                for name in self.reading.models
            ]
            stream.write(
                http.response(
                    200, msgspec.json.encode({"object": "list", "data": models}), self._last(reader)
                )
            )
        elif path == "/health" and method == "GET":
            stream.write(http.response(503 if self.stopping else 200, b"{}", self._last(reader)))
        elif path in (*GENERATE_PATHS, "/v1/models", "/health"):
            yield from self._error(
                stream, 405, "method_not_allowed", f"{method} is not allowed on {path}", again=False
            )
            return False
        else:
            allowed = ", ".join((*GENERATE_PATHS, "/v1/models"))
            yield from self._error(
                stream, 404, "not_found", f"found {path[:80]!r}; allowed: {allowed}", again=False
            )
            return False
        return (
            (yield from self._taken(stream))
            and reader.keep_alive
            and not reader.extra_bytes
            and not self.stopping
        )

    def _generation(self, stream: Stream, reader: http.RequestParser, began: Time) -> Coro[bool]:
        if (reason := self._untaken()) is not None:
            self._note_untaken(stream, reader, reason)
            yield from self._error(
                stream, 503, "stopping", "the gateway stops; try another", True, self.retry_after
            )
            return False
        try:
            ask = self._ask(stream, reader, began)
        except BadRequest as wrong:
            self.metrics.refused.labels("request").inc()
            body = error_body(str(wrong), "bad_request", "invalid_request_error")
            stream.write(http.response(400, body, [("x-should-retry", "false"), *self._last(reader)]))
            return (
                (yield from self._taken(stream))
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
        if (yield from self._carry(stream, reader, ask)):
            return True
        self._look_at_end(ask)
        return False

    def _look_at_end(self, ask: Ask) -> None:
        """The connection ends now. Guards against a request that was taken and is given up without its answer."""
        left = not ask.answered and ask.left()
        ending = Connection(taken=True, answered=ask.answered, client_left=left)
        if (reason := may_end(ending)) is not None and self.host.refusals.note(Act.END, reason):
            self.log.error("invariant_broken", act=Act.END, reason=reason, generation=ask.gen.name)

    def _note_untaken(self, stream: Stream, reader: http.RequestParser, reason: Reason) -> None:
        self.host.refusals.note(Act.TAKE, reason)
        self._why_after[stream] = Closing.STOPPING
        if self.host.telling.allows(self.world.now(), reason):
            named = next((reader.headers[one] for one in REQUEST_ID_FIELDS if one in reader.headers), "")
            self.log.info("untaken", id=named, why=reason, left_out=self.host.telling.take_suppressed())

    def _ask(self, stream: Stream, reader: http.RequestParser, began: Time) -> Ask:
        """What a whole request asks for. Raises BadRequest, or BadMessage which ends the connection as well."""
        self.count += 1
        assert self.reading is not None
        facts = self.reading.read(reader.path, reader.headers, reader.body(), f"{self.mark}.{self.count}")
        now = self.world.now()
        gen = Generation(
            f"{self.mark}.{self.count}",
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
        ask = OpenAsk(gen, stream, reader.path, facts.fields, facts.request_id, facts.streamed)
        if self.speaking is not None:
            ask.spoken = self.speaking.spoken(facts)
        return ask

    def _carry(self, stream: Stream, reader: http.RequestParser, ask: Ask) -> Coro[bool]:
        """From a taken generation to its final answer; whether the connection serves another."""
        if ask.left():  # with its request, or while that waited here for its turn: nothing is begun for it
            if ask.flooded:
                yield from self._flooded(stream)
            elif ask.sending_ended:
                ask.answer_ended_sending()
            self._why_after[stream] = Closing.CLIENT_LEFT
            return False
        ask.closing = self.stopping or not reader.keep_alive
        self.host.arrived(ask)
        try:
            yield from self._wait(stream, ask)
        finally:
            if not ask.answered:
                self.host.departed(ask)
        if ask.end == DEPARTED:
            self._why_after[stream] = Closing.CLIENT_LEFT
            if ask.flooded:
                yield from self._flooded(stream)
            return False
        if ask.cut:
            self._why_after[stream] = Closing.STREAM_CUT
            return False
        if not (yield from self._taken(stream, ask.patience)):
            self._why_after[stream] = Closing.SLOW_CLIENT
            return False
        if ask.surplus or reader.extra_bytes:
            self._why_after[stream] = Closing.PIPELINED
            yield from self._error(
                stream, 400, "pipelining_refused", "ask again once the answer is whole", again=True
            )
            return False
        return reader.keep_alive and not self.stopping and not ask.closing

    def _wait(self, stream: Stream, ask: Ask) -> Coro[None]:
        """Until the final answer, or until the client has left; also one that has sent on is attended to.

        Not one that has ended its sending while its answer streams: nothing more can come, and a write tells if it left.
        """
        ask.waiter = self.world.current
        try:
            while not ask.answered:
                stream.wake_on_input(None if ask.flooded or ask.sending_ended else self.world.current)
                yield
                if not ask.answered and ask.left():
                    self.host.departed(ask)
        finally:
            ask.waiter = None
            stream.wake_on_input(None)

"""The front towards engines that speak the OpenAI-style API with transfers of state (`docs/engine-protocol.md`)."""

from collections import deque

import msgspec

from stackpitch.gateway.client_request import ClientRequest, HeldState, OpenAIRequest
from stackpitch.gateway.host import Host
from stackpitch.gateway.leg import LegRunner
from stackpitch.gateway.outcomes import LegEnd, Phase, answer_outcome
from stackpitch.gateway.pool import Pool
from stackpitch.interface import Leg, Report, Server, Time
from stackpitch.loop import ConnectionLost, Coro, Scope, Stream
from stackpitch.wire import engine, http, orca, sse
from stackpitch.wire.decoding import decode
from stackpitch.wire.engine import HEALTH, STATE_HOLD, STATE_RELEASE, HoldAnswer, StateCall


class EngineLeg(LegRunner):
    """A read, a write that fetches a state, or a writer's own read and answer."""

    TAIL = 16  # last pieces of a stream's body, in which its usage and its last event are

    def __init__(self, front: "EngineBackend", ask: OpenAIRequest, leg: Leg, limit: Time) -> None:
        super().__init__(front.host, ask, leg, limit)
        self.backend, self.openai_request = front, ask
        self.part: engine.LegKind = "read" if leg.server.role == "reader" else "whole"

    def _load_report(self) -> str | None:
        return self.reader.trailers.get(orca.HEADER) or self.reader.headers.get(orca.HEADER)

    def _return_connection(self, pool: Pool, stream: Stream, end: LegEnd | None) -> None:
        """The connection of a read stays with its state: closing it lets go of the state, whatever else fails."""
        if end is not None and end.outcome == "read":
            self.openai_request.held_states[self.leg] = HeldState(self.leg.server, pool, stream)
        else:
            super()._return_connection(pool, stream, end)

    def _build_request(self) -> bytes:
        gen, host, address = self.leg.gen, self.host, self.host.roster.addresses[self.leg.server]
        source = self.backend.source(self.openai_request)
        vocabulary = host.roster.vocabularies.get(self.leg.server, "")
        if source is not None and host.roster.vocabularies.get(source.server, "") != vocabulary:
            source = None  # a state of another vocabulary means nothing here
        transfer = engine.Transfer(self.backend.state_id(self.leg))
        if self.part == "read":
            transfer.do_remote_decode = True
        elif source is not None:
            self.part = "write"
            transfer.do_remote_prefill, transfer.state_id = True, self.backend.state_id(source)
            transfer.remote_host, transfer.remote_port = self.openai_request.held_states[source].pool.address
            transfer.remote_cell = source.server.cell
        headers = [
            ("x-request-id", http.one_line(self.openai_request.request_id)),
            ("x-leg", str(self.leg.number)),
            ("x-gateway", host.name),
            ("x-product", gen.product.name),
            ("x-prompt-tokens", str(gen.prompt_tok)),
        ]
        if gen.session is not None:
            headers.append(("x-session-id", http.one_line(gen.session)))
        fields = self.openai_request.fields
        if self.openai_request.token_fields is not None:
            fields = fields | self.openai_request.token_fields[vocabulary]  # sent nowhere else (`tongues`)
        if vocabulary:  # against a list here that is older than the engine: its state would go to a writer of the other one
            headers.append((engine.VOCABULARY, vocabulary))
        return engine.leg_request(
            self.openai_request.target,
            f"{address[0]}:{address[1]}",
            fields,
            transfer,
            self.part != "read",
            headers,
        )

    def _exchange(self, stream: Stream, scope: Scope) -> Coro[LegEnd]:
        yield from self._send_request(stream, self._build_request())
        reader = self.reader
        while not reader.head_done:
            yield from self._read_more(stream)
        self.phase[0] = Phase.HEAD
        if self.part == "read" or reader.status != 200:
            return (yield from self._whole(stream))
        if not reader.headers.get("content-type", "").startswith("text/event-stream"):
            found = reader.headers.get("content-type")
            raise http.BadMessage(502, f"content-type: found {found!r}; text/event-stream is allowed")
        while not reader.pieces:
            if reader.complete:
                return self._failure_end("garbled", "a stream without any event")
            yield from self._read_more(stream)
        fetched = reader.headers.get(engine.STATE_HEADER) == "fetched"
        scope.remove_limit()
        if not self.host.leg_started(self.openai_request, self.leg, fetched):
            return self._failure_end("cancelled", "nobody wants it")
        self.phase[0] = Phase.STREAMING
        return (yield from self._relay(stream))

    def _whole(self, stream: Stream) -> Coro[LegEnd]:
        """An answer that is no stream: a read, a refusal or an error."""
        pieces = self.reader.pieces
        while not self.reader.complete:
            yield from self._read_more(stream)
            pieces = pieces + self.reader.pieces
        body = b"".join(pieces)
        kept: object = 0
        whole, why = False, f"status {self.reader.status}"
        if self.part == "read" and self.reader.status == 200:
            try:
                kept, whole = (
                    engine.parse_read_answer(body).usage.cached_tok_within(self.leg.gen.prompt_tok),
                    True,
                )
            except ValueError as wrong:
                why = f"a reader's answer is wanted: {wrong}"  # an error by the rule of outcomes
        outcome, no_state = answer_outcome(
            self.part, self.reader.status, engine.refusal_code(self.reader.status, body), whole
        )
        return LegEnd(outcome, self.phase[0], kept, no_state, self._load_report(), why)

    def _relay(self, stream: Stream) -> Coro[LegEnd]:
        """Passes the stream on as it comes; a client that is slow holds up its engine, not the memory.

        Every token passes here, so the way of most is kept short: one read, one parse, one write.
        """
        reader, ask, host = self.reader, self.openai_request, self.host
        feed, recv, buffer, row = reader.feed, stream.recv_now, host.bounds.buffer, 0
        pieces, tail = reader.pieces, deque(reader.pieces, maxlen=self.TAIL)
        gone = not ask.forward(pieces)  # the first feed held the head, so it is framed anew
        self._watch_gap(stream)
        stream.wake_on_input(host.world.current)
        try:
            while not (reader.complete or gone):
                raw = recv()
                if raw is None:
                    row = 0
                    yield
                    continue
                if not raw:
                    raise ConnectionLost("closed by the engine")
                aligned = reader.at_chunk_boundary
                feed(raw)
                pieces = reader.pieces
                tail.extend(pieces)
                self.stream_bytes += len(raw)
                client = ask.client
                if (
                    client is None
                    or reader.complete
                    or not (aligned and reader.at_chunk_boundary)
                    or ask.collector is not None
                ):
                    gone = not ask.forward(pieces)
                else:
                    try:
                        client.write(raw)  # whole chunks, as they came
                    except ConnectionLost:
                        gone = True
                if gone or client is None:
                    continue
                if client.buffered > buffer and not (yield from self._wait_for_client(client)):
                    gone = True
                    continue
                row += 1
                if row > self.MAX_READS_IN_A_ROW:
                    row = 0
                    yield from host.world.pause()
        finally:
            stream.wake_on_input(None)
            host.relayed_bytes += self.stream_bytes
            if self.gap_timer is not None:
                self.gap_timer.cancel()
        if gone:
            host.client_departed(ask)
            return self._failure_end("cancelled", "the client has left")
        body = b"".join(tail)
        if not body.endswith(sse.DONE):
            return self._failure_end("garbled", "the stream ended without [DONE]")
        usage = engine.last_usage(body[: -len(sse.DONE)])
        return LegEnd(
            "streamed",
            Phase.STREAMING,
            usage.cached_tok_within(self.leg.gen.prompt_tok) if usage else 0,
            report=self._load_report(),
        )


class EngineBackend:
    """States wait at readers on the connection that read them; places are held at writers."""

    host: Host

    def __init__(self, load_fields: tuple[str, str, str]) -> None:
        self.load_fields = load_fields

    def run_leg(self, ask: ClientRequest, leg: Leg, limit: Time) -> Coro[None]:
        assert isinstance(ask, OpenAIRequest)
        return EngineLeg(self, ask, leg, limit).run()

    def reserve(self, ask: ClientRequest, leg: Leg, server: Server) -> Coro[bool]:
        assert isinstance(ask, OpenAIRequest)
        ask.reserved_server, ask.reserved_leg = server, leg
        body = msgspec.json.encode(StateCall(self.state_id(leg), ask.gen.prompt_tok))
        answer = yield from self.host.call(server, "POST", STATE_HOLD, body)
        granted = False
        if answer is not None and answer.status == 200:
            try:
                granted = decode(b"".join(answer.pieces), type=HoldAnswer).held
            except msgspec.DecodeError:
                pass  # not granted
        if granted and (ask.gen.over or ask.reserved_server is not server):
            self._release(server, self.state_id(leg))
        return granted

    def probe(self, server: Server) -> Coro[tuple[bool, str | None]]:
        answer = yield from self.host.call(server, "GET", HEALTH, b"")
        return answer is not None and answer.status == 200, answer.headers.get(
            orca.HEADER
        ) if answer else None

    def parse_report(self, text: str) -> Report | None:
        fields = orca.parse(text)
        return self.host.plausibility.report(*(fields.get(name) for name in self.load_fields))

    def stream_started(self, ask: ClientRequest, leg: Leg, fetched: bool) -> None:
        assert isinstance(ask, OpenAIRequest)
        if leg.server is ask.reserved_server:
            ask.reserved_server = None
        self.release(ask, taken=self.source(ask) if fetched else None)

    def state_id(self, leg: Leg) -> str:
        return f"{leg.gen.name}-{leg.number}"

    def source(self, ask: OpenAIRequest) -> Leg | None:
        """The read whose state a writer is to fetch: the newest that waits."""
        return next(reversed(ask.held_states), None)

    def release_unused(self, ask: ClientRequest) -> None:
        """Nothing: an engine's release tears a state from an attempt that waits there as well. One that is never taken ends
        with the connection that read it, at the attempt's end."""

    def release(self, ask: ClientRequest, taken: Leg | None = None) -> None:
        assert isinstance(ask, OpenAIRequest)
        for leg, waiting in list(ask.held_states.items()):
            del ask.held_states[leg]
            if leg is taken:
                waiting.pool.release(waiting.stream)
            else:
                self.host.group.spawn(
                    self.host.tracked(self._free(waiting, self.state_id(leg))), f"free {leg.gen.name}"
                )
        if ask.reserved_server is not None and ask.reserved_leg is not None:
            self._release(ask.reserved_server, self.state_id(ask.reserved_leg))
            ask.reserved_server = None

    def _free(self, waiting: HeldState, state: str) -> Coro[None]:
        """Lets go of a state over the connection that read it; without a good answer that connection is closed."""
        done = False
        try:
            with self.host.world.limit(self.host.bounds.call):
                body = msgspec.json.encode(StateCall(state))
                reader = yield from self.host.exchange(
                    waiting.stream, "POST", STATE_RELEASE, waiting.server.name, body
                )
                done = reader is not None and reader.status in (200, 404)
        except (ConnectionLost, http.BadMessage):
            pass  # the engine sees the connection end, which frees the state as well
        finally:
            self.host.metrics.releases.labels("done" if done else "closed").inc()
            if done:
                waiting.pool.release(waiting.stream)
            else:
                waiting.pool.discard(waiting.stream)

    def _release(self, server: Server, state: str) -> None:
        def call() -> Coro[None]:
            body = msgspec.json.encode(StateCall(state))
            for _ in range(self.host.bounds.release_tries):
                answer = yield from self.host.call(server, "POST", STATE_RELEASE, body)
                if answer is not None and answer.status in (200, 404):
                    self.host.metrics.releases.labels("done").inc()
                    return
            self.host.metrics.releases.labels("failed").inc()
            self.host.logger.warning("release_failed", server=server.name, state=state)

        if server in self.host.roster.addresses:
            self.host.group.spawn(self.host.tracked(call()), f"release {state}")

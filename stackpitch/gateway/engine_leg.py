"""One leg to an engine with the OpenAI-style API and KV transfers (`docs/engine-protocol.md`)."""

from typing import TYPE_CHECKING

from stackpitch.gateway.client_request import HeldState, OpenAIRequest
from stackpitch.gateway.leg import LegRunner
from stackpitch.gateway.outcomes import LegEnd, Phase, answer_outcome
from stackpitch.gateway.pool import Pool
from stackpitch.gateway.stream_watch import StreamWatch
from stackpitch.interface import Leg, Time
from stackpitch.loop import ConnectionLost, Coro, Scope, Stream
from stackpitch.wire import engine, http, orca, sse
from stackpitch.wire.answer_events import AnswerEvents

if TYPE_CHECKING:
    from stackpitch.gateway.engines import EngineBackend


class EngineLeg(LegRunner):
    """A read (prefill), a write that fetches KV state, or both at one writer."""

    def __init__(self, backend: "EngineBackend", request: OpenAIRequest, leg: Leg, limit: Time) -> None:
        super().__init__(backend.host, request, leg, limit)
        self.backend, self.openai_request = backend, request
        self.events = AnswerEvents(backend.host.bounds.max_answer)
        self.part: engine.LegKind = "read" if leg.server.role == "reader" else "whole"

    def _load_report(self) -> str | None:
        return self.reader.trailers.get(orca.HEADER) or self.reader.headers.get(orca.HEADER)

    def _return_connection(self, pool: Pool, stream: Stream, end: LegEnd | None) -> None:
        """Keeps a read's connection with its KV state: closing it frees the state, whatever else fails."""
        if end is not None and end.outcome == "read":
            self.openai_request.held_states[self.leg] = HeldState(self.leg.server, pool, stream)
        else:
            super()._return_connection(pool, stream, end)

    def _build_request(self) -> bytes:
        gen, host, address = self.leg.gen, self.host, self.host.roster.addresses[self.leg.server]
        source = self.backend.source(self.openai_request)
        vocabulary = host.roster.vocabularies.get(self.leg.server, "")
        if source is not None and host.roster.vocabularies.get(source.server, "") != vocabulary:
            source = None  # KV state of another vocabulary is meaningless here
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
            # Present for every vocabulary that `VocabularyFilter` allows.
            fields = fields | self.openai_request.token_fields[vocabulary]
        # The engine may run on a newer vocabulary than the list here says. With the header it refuses the
        # leg; without, its KV state would go to a writer of the older vocabulary.
        if vocabulary:
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
            return (yield from self._read_full_answer(stream))
        content_type = reader.headers.get("content-type", "")
        if not sse.is_event_stream(content_type):
            raise http.BadMessage(502, f"content-type: found {content_type!r}; allowed: {sse.MEDIA_TYPE}")
        begun = self._complete_parts()
        while not self.events.outputs:
            if reader.complete:
                return self._failure_end("garbled", "a stream without any event")
            yield from self._read_more(stream)
            begun += self._complete_parts()
        fetched = reader.headers.get(engine.STATE_HEADER) == "fetched"
        scope.remove_limit()
        if not self.host.leg_started(self.openai_request, self.leg, fetched):
            return self._failure_end("cancelled", "no longer wanted")
        self.phase[0] = Phase.STREAMING
        return (yield from self._relay(stream, begun))

    def _read_full_answer(self, stream: Stream) -> Coro[LegEnd]:
        """Reads a response that is no stream: that of a read, a refusal or an error."""
        body = yield from self._read_body(stream, self.host.bounds.max_answer)
        cached_tok: object = 0
        valid, why = False, f"status {self.reader.status}"
        if self.part == "read" and self.reader.status == 200:
            try:
                cached_tok, valid = (
                    engine.parse_read_answer(body).usage.cached_tok_within(self.leg.gen.prompt_tok),
                    True,
                )
            except ValueError as error:
                why = f"not a reader's response: {error}"  # which makes it an error
        outcome, no_state = answer_outcome(
            self.part, self.reader.status, engine.refusal_code(self.reader.status, body), valid
        )
        return LegEnd(outcome, self.phase[0], cached_tok, no_state, self._load_report(), why)

    def _relay(self, stream: Stream, begun: bytes) -> Coro[LegEnd]:
        """Forwards complete events as they arrive. A slow client slows its engine down instead of filling memory.

        `begun`: those that have arrived so far. Every token passes through here, so the common path is short: one
        read, one parse, one write.
        """
        reader, request, host, events = self.reader, self.openai_request, self.host, self.events
        recv, buffer, reads, outputs = stream.recv_now, host.bounds.buffer, 0, events.outputs
        gone = not request.forward([begun])
        self.watch = watch = StreamWatch(host.world, stream, host.bounds.gap)
        stream.wake_on_input(host.world.current)
        try:
            while not (reader.complete or gone):
                raw = recv()
                if raw is None:
                    reads = 0
                    yield
                    continue
                if not raw:
                    raise ConnectionLost("closed by the engine")
                aligned = reader.at_chunk_boundary and not events.pending
                complete = self._parse_read(raw)
                self.stream_bytes += len(raw)
                if events.outputs != outputs:
                    outputs = events.outputs
                    watch.record_output()
                client = request.client
                if (
                    client is None
                    or reader.complete
                    or not (aligned and reader.at_chunk_boundary)
                    or events.pending
                    or request.collector is not None
                ):
                    gone = not request.forward([complete])
                else:
                    try:
                        client.write(raw)  # complete chunks, with the engine's framing
                    except ConnectionLost:
                        gone = True
                if gone or client is None:
                    continue
                if client.buffered > buffer and not (yield from self._wait_for_client(client)):
                    gone = True
                    continue
                reads += 1
                if reads > self.MAX_READS_IN_A_ROW:
                    reads = 0
                    yield from host.world.pause()
        finally:
            stream.wake_on_input(None)
            watch.cancel()
            host.relayed_bytes += self.stream_bytes
        if gone:
            host.client_departed(request)
            return self._failure_end("cancelled", "the client has left")
        if events.fault is not None:
            return self._failure_end("garbled", events.fault)
        usage = engine.parse_usage(events.usage)
        return LegEnd(
            "streamed",
            Phase.STREAMING,
            usage.cached_tok_within(self.leg.gen.prompt_tok) if usage else 0,
            report=self._load_report(),
        )

    def _parse_read(self, raw: bytes) -> bytes:
        """The complete events of a read; those before a violation are forwarded at once. Raises BadMessage."""
        violation: http.BadMessage | None = None
        try:
            self.reader.feed(raw)
        except http.BadMessage as error:
            violation = error
        try:
            complete = self._complete_parts()
        except http.BadMessage as error:
            violation, complete = error, self.events.valid
        if violation is not None:
            self.openai_request.forward([complete])
            raise violation
        return complete

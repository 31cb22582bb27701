"""One leg to a model server: forwards the client's request unchanged and relays the events of the answer."""

from typing import TYPE_CHECKING

from stackpitch.gateway import pacing
from stackpitch.gateway.leg import LegEnd, LegRunner
from stackpitch.gateway.outcomes import Phase
from stackpitch.gateway.pool import Pool
from stackpitch.gateway.stream_watch import StreamWatch
from stackpitch.gateway.trace import Step
from stackpitch.interface import ANSWERED, Leg, Time
from stackpitch.loop import MS, Coro, Scope, Stream
from stackpitch.platform.request import PlatformRequest
from stackpitch.wire import engine, http, platform, sse
from stackpitch.wire.platform_events import PlatformEvents

if TYPE_CHECKING:
    from stackpitch.gateway.host import Host

MAX_RESPONSE = 1 << 16  # bytes of an answer that is not a stream


class PlatformLeg(LegRunner):
    """Runs one leg to a model server.

    The client's stream starts with the first output; until then an invalid answer only fails the leg.
    """

    events: PlatformEvents

    def __init__(self, host: "Host", ask: PlatformRequest, leg: Leg, limit: Time) -> None:
        super().__init__(host, ask, leg, limit)
        self.ask = ask
        self.events = PlatformEvents(max_events=pacing.max_events(leg.gen.max_output_tok))
        self.violation: http.BadMessage | None = (
            None  # by the stream, behind events that are still to be sent
        )

    def _load_report(self) -> str | None:
        return self.events.load or self.reader.headers.get("srv-load")

    def _return_connection(self, pool: Pool, stream: Stream, end: LegEnd | None) -> None:
        if self.phase[0] >= Phase.SENT:
            if self.leg.server.role != "writer":
                self._record_read(end)
            if self.leg.server.role != "reader" and self.ask.may_hold_state:
                self._record_unused_state(end)
        super()._return_connection(pool, stream, end)

    def _record_read(self, end: LegEnd | None) -> None:
        """Records the KV state of a read that succeeded, or whose end was not seen."""
        if end is not None and end.outcome == "read":
            self.ask.may_hold_state, self.ask.held_since = True, self.host.world.now()
        elif end is None or end.outcome not in ("streamed", "full"):
            self.ask.end_unseen = True

    def _record_unused_state(self, end: LegEnd | None) -> None:
        """Records that the KV state of an earlier read may still be held: this leg ended without fetching it.

        Its time limit starts again then, if the leg had arrived.
        """
        if end is not None and end.no_state:
            self.ask.held_since = None
        else:
            self.ask.held_since = self.host.world.now()
            self.ask.end_unseen |= end is None or end.outcome not in ANSWERED
            self.host.trace_step(self.ask, Step.STILL_HELD, f"after {self.leg.server.name}")

    def _build_request(self) -> bytes:
        ask, host, port = self.ask, *self.host.roster.addresses[self.leg.server]
        left = max(1, self.time_left() // MS)
        return http.request(
            ask.method,
            ask.target,
            f"{host}:{port}",
            ask.body,
            [*ask.headers, (platform.DEADLINE_HEADER, str(left))],
        )

    def _exchange(self, stream: Stream, scope: Scope) -> Coro[LegEnd]:
        yield from self._send_request(stream, self._build_request())
        self.ask.sent_leg = self.leg
        reader = self.reader
        while not reader.head_done:
            yield from self._read_more(stream)
        self.phase[0] = Phase.HEAD
        content_type = reader.headers.get("content-type", "")
        if self.leg.server.role == "reader" or reader.status != 200 or not sse.is_event_stream(content_type):
            return (yield from self._read_response(stream))
        events = self._complete_parts()
        while not self.events.outputs:
            if reader.complete:
                return self._failure_end("garbled", "a stream without any event")
            yield from self._read_more(stream)
            events += self._complete_parts()
        scope.remove_limit()
        if not self.host.leg_started(self.ask, self.leg, True):
            return self._failure_end("cancelled", "the generation no longer needs this leg")
        self.phase[0] = Phase.STREAMING
        return (yield from self._relay(stream, events))

    def _read_response(self, stream: Stream) -> Coro[LegEnd]:
        """Reads an answer that is not a stream: that of a read, a refusal or an error."""
        reader = self.reader
        body = yield from self._read_body(stream, MAX_RESPONSE)
        cached_tok = platform.parse_cached_tokens(body) if reader.status == 202 else None
        declined = reader.headers.get("srv-declined") == "1"
        outcome, no_state = platform.classify_answer(
            self.leg.server.role, reader.status, declined, cached_tok is not None
        )
        return LegEnd(
            outcome,
            self.phase[0],
            0 if cached_tok is None else cached_tok,
            no_state,
            self._load_report(),
            f"status {reader.status}",
        )

    def _trace_stream(self, watch: StreamWatch) -> None:
        """Records how much the stream brought, and for how long it has brought no output.

        Also the size in bytes that its latest chunk stated, and how many of them are missing.
        """
        events, chunks, silent_ms = self.events, self.reader.chunks, watch.silence() // MS
        self.host.trace_step(
            self.ask,
            Step.RELAYED,
            f"{self.leg.server.name} events={events.events} comments={events.comments} silent={silent_ms}ms"
            f" chunk={chunks.stated} missing={chunks.missing}",
        )

    def _read_events(self, stream: Stream, max_bytes: int) -> Coro[bytes]:
        """Reads part of the stream and returns the events that it completes, up to a violation, which is kept."""
        try:
            yield from self._read_more(stream, max_bytes)
        except http.BadMessage as error:
            self.violation = error
        try:
            return self._complete_parts()
        except http.BadMessage as error:
            self.violation = error
            return self.events.valid

    def _relay(self, stream: Stream, unsent: bytes) -> Coro[LegEnd]:
        """Relays complete events as they arrive. Reading pauses for a slow client, so memory stays bounded.

        `unsent`: the events that have arrived so far.
        """
        reader, ask, host, events = self.reader, self.ask, self.host, self.events
        max_read = min(65536, host.bounds.buffer // 2)  # comes on top of what is buffered for the client
        self.watch = watch = StreamWatch(host.world, stream, host.bounds.gap)
        outputs = events.outputs
        try:
            while True:
                if unsent and not ask.forward([unsent]):
                    host.client_departed(ask)
                    return self._failure_end("cancelled", "the client has left")
                if self.violation is not None:
                    raise self.violation
                # Dropped here, as waiting for the client below would otherwise keep three copies of the data.
                unsent, reader.pieces = b"", []
                client, max_buffered = ask.client, host.bounds.buffer
                if (
                    client is not None
                    and client.buffered > max_buffered
                    and not (yield from self._wait_for_client(client, events.events))
                ):
                    host.client_departed(ask)
                    return self._failure_end("cancelled", "the client has left or reads too slowly")
                if reader.complete:
                    break
                unsent = yield from self._read_events(stream, max_read)
                self.stream_bytes += len(unsent)
                if events.outputs != outputs:
                    outputs = events.outputs
                    watch.record_output()
        finally:
            watch.cancel()
            self._trace_stream(watch)
            host.relayed_bytes += self.stream_bytes
        if events.fault is not None:
            return self._failure_end("garbled", events.fault)
        if ask.client is not None:
            ask.drain_time = self._time_to_drain(ask.client, 0, events.events)
        usage = engine.parse_usage(events.usage)
        return LegEnd(
            "streamed", Phase.STREAMING, usage.cached_tok if usage else 0, report=self._load_report()
        )

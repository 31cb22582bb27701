"""A client's request while the gateway handles it, and the only code that writes its response."""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from stackpitch.gateway.pool import Pool
from stackpitch.gateway.trace import Steps
from stackpitch.interface import Generation, Leg, Server, Time
from stackpitch.loop import ConnectionLost, Stream, Task, Timer
from stackpitch.wire import http, sse
from stackpitch.wire.collect import Collector
from stackpitch.wire.engine import error_body

DEPARTED = "departed"  # how a request ended whose client disconnected
# Bytes read past the end of a request: enough for a second request of the largest size, which is refused
# once the first has its response.
MAX_EXTRA_BYTES = 1 << 19


@dataclass(frozen=True, slots=True)
class HeldState:
    """KV state that a reader holds for a request.

    It exists only while the connection that it was read over is open.
    """

    server: Server
    pool: Pool
    stream: Stream


class ClientRequest:
    """An accepted generation and its client connection.

    The host keeps it until the generation is over and its last leg has ended.

    `begin`, `forward`, `finish`, `refuse` and `fail_stream` write to the client; each protocol overrides
    them. The last three write the final response, and nothing is written after the first of them.
    """

    def __init__(self, gen: Generation, client: Stream, target: str) -> None:
        self.gen, self.target = gen, target
        self.client: Stream | None = client
        self.serving: Leg | None = None  # the leg whose stream the client receives
        self.tasks: dict[Leg, Task] = {}  # tasks of the running legs
        self.unsent: set[Leg] = set()  # running legs whose request is not completely written yet
        self.extra_bytes = 0  # bytes received after the end of the request; they are discarded
        # The client closed the connection, or half-closed it and still reads; the two look alike from here.
        self.fin_received = False
        self.begun = self.answered = False
        self.stream_cut = False  # the stream ended early, so nothing more can be written on this connection
        # This response is the last one on its connection; a head that is still to be written says so.
        self.close_after = False
        self.leg_errors: dict[int, str] = {}  # by leg number: what its engine or connection did, for the log
        # How long the client may take to read the rest of a complete response; None: as for a small response.
        self.drain_time: Time | None = None
        self.steps: Steps = []  # trace of the request, for the log
        self.end = ""  # how the request ended, for metrics and logs
        self.waiting_task: Task | None = None  # the connection's task, woken by the final response
        self.watchdog: Timer | None = None
        self.first_token: Time | None = None

    def client_left(self) -> bool:
        """Checks now whether the client has disconnected, reading and discarding up to `MAX_EXTRA_BYTES`.

        A client that sends more than that counts as disconnected: a close can't be seen behind unread
        bytes, and reading all of them would take time from other clients.

        A client that has sent FIN counts as disconnected until its response streams; from then on the
        next write tells whether it still reads.
        """
        try:
            while self.client is not None and self.extra_bytes <= MAX_EXTRA_BYTES:
                data = self.client.recv_now(force=True)
                if not data:
                    self.fin_received = self.client.eof
                    return self.fin_received and not self.streaming
                self.extra_bytes += len(data)
        except ConnectionLost:
            return True
        return not self.begun

    @property
    def streaming(self) -> bool:
        """Whether output is written to the client as it arrives."""
        return self.begun

    def refuse_half_closed(self) -> None:
        """Answers a client that has sent FIN: no further leg starts, but it may still be reading."""
        nothing_ran = self.unsent.issuperset(self.gen.may_have_run())
        status = 429 if nothing_ran else 502
        self.refuse(
            status, DEPARTED, "the client ended its sending before its answer came", again=nothing_ran
        )

    @property
    def extra_exceeded(self) -> bool:
        """Whether the client sent more after its request than is read."""
        return self.extra_bytes > MAX_EXTRA_BYTES

    def begin(self, now: Time) -> None:
        """Called when the first token has arrived."""
        raise NotImplementedError

    def forward(self, pieces: Sequence[bytes]) -> bool:
        """Writes part of a stream's body with framing of its own; False if the client is gone."""
        raise NotImplementedError

    def finish(self) -> None:
        """Ends a response of which everything has been forwarded."""
        raise NotImplementedError

    def refuse(self, status: int, code: str, message: str, again: bool, retry_after: Time = 0) -> None:
        """Writes a final error response before any output. `again`: a retry by the client is safe."""
        raise NotImplementedError

    def fail_stream(self, code: str, message: str) -> None:
        """Ends a response whose stream had begun and could not be completed."""
        raise NotImplementedError

    def _close_header(self) -> list[tuple[str, str]]:
        return [("connection", "close")] if self.close_after else []

    def _write(self, data: bytes) -> bool:
        """False if the client is gone."""
        if self.client is None:
            return False
        try:
            self.client.write(data)
        except ConnectionLost:
            return False
        return True

    def detach_client(self) -> None:
        """Called when the client has disconnected: nothing more is written."""
        self.client = None
        if not self.answered:
            self._mark_answered(DEPARTED)

    def _mark_answered(self, how: str) -> None:
        self.answered, self.end = True, how
        if self.waiting_task is not None:
            self.waiting_task.wake()


class OpenAIRequest(ClientRequest):
    """A request of the OpenAI-style API, whose legs go to engines."""

    def __init__(
        self,
        gen: Generation,
        client: Stream,
        target: str,
        fields: dict[str, msgspec.Raw],
        request_id: str,
        streamed: bool,
    ) -> None:
        super().__init__(gen, client, target)
        self.fields, self.request_id = fields, request_id
        self.collector = None if streamed else Collector(target.endswith("chat/completions"))
        # KV states held at readers, by the leg that read them; emptied when a stream starts or on release.
        self.held_states: dict[Leg, HeldState] = {}
        # The server with a slot reserved for the write; cleared when a stream starts there or on release.
        self.reserved_server: Server | None = None
        self.reserved_leg: Leg | None = None
        # The body fields that carry token ids, by each vocabulary of servers that the request may go to;
        # None: the request has no token ids.
        self.token_fields: dict[str, dict[str, msgspec.Raw]] | None = None

    @property
    def streaming(self) -> bool:
        """Whether output is written to the client as it arrives."""
        return self.begun and self.collector is None

    def _headers(self) -> list[tuple[str, str]]:
        return [("x-request-id", self.request_id), *self._close_header()]

    def begin(self, now: Time) -> None:
        """Called when the first token has arrived."""
        self.begun, self.first_token = True, now
        if self.collector is None:
            self._write(
                http.head(
                    200,
                    [
                        ("content-type", sse.MEDIA_TYPE),
                        ("cache-control", "no-cache"),
                        ("transfer-encoding", "chunked"),
                        *self._headers(),
                    ],
                )
            )

    def forward(self, pieces: Sequence[bytes]) -> bool:
        """Writes part of a stream's body as chunks, or collects it; False if the client is gone."""
        if self.collector is not None:
            self.collector.feed(b"".join(pieces))
            return self.client is not None
        chunks = [http.chunk(piece) for piece in pieces if piece]
        return self._write(b"".join(chunks)) if chunks else True

    def finish(self) -> None:
        """Ends a response of which everything has been forwarded."""
        if self.answered:
            return
        if self.collector is not None:
            self._write(http.response(200, self.collector.result(), self._headers()))
        else:
            self._write(http.LAST_CHUNK)
        self._mark_answered("streamed")

    def refuse(self, status: int, code: str, message: str, again: bool, retry_after: Time = 0) -> None:
        """Writes a final error response before any output. `again`: a retry by the client is safe."""
        if self.answered:
            return
        headers = [*self._headers(), ("x-should-retry", "true" if again else "false")]
        if retry_after:
            headers += [
                ("retry-after", str(-(-retry_after // 10_000))),
                ("retry-after-ms", str(retry_after // 10)),
            ]
        self._write(http.response(status, error_body(message, code, "server_error"), headers))
        self._mark_answered(code)

    def fail_stream(self, code: str, message: str) -> None:
        """Ends a stream that had begun: exactly one error event, then the end of the body."""
        if self.answered:
            return
        if self.collector is not None:
            self.begun = False
            self.refuse(502, code, message, again=False)
            return
        self._write(http.chunk(sse.event(error_body(message, code, "server_error"))) + http.LAST_CHUNK)
        self._mark_answered(code)

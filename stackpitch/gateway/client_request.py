"""One client's request on its way through the gateway, and the one place that writes its answer."""

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

DEPARTED = "departed"  # the end of a request whose client has left
MAX_EXTRA_BYTES = (
    1 << 19
)  # bytes after a request: one more of the largest, which is refused once this one is answered


@dataclass(frozen=True, slots=True)
class HeldState:
    """A read state at a reader. It lives while the connection that read it stays open."""

    server: Server
    pool: Pool
    stream: Stream


class ClientRequest:
    """A taken generation with its client. Kept by the host until it is over and its last leg is back.

    `begin`, `forward`, `finish`, `refuse` and `fail_stream` write to the client, each front in its own way; the last
    three are final answers, and after the first of them nothing is written.
    """

    def __init__(self, gen: Generation, client: Stream, target: str) -> None:
        self.gen, self.target = gen, target
        self.client: Stream | None = client
        self.serving: Leg | None = None  # the leg whose stream the client gets
        self.tasks: dict[Leg, Task] = {}  # legs out
        self.unsent: set[Leg] = set()  # of them, those whose last byte has not been handed over
        self.extra_bytes = 0  # bytes that came after the request; none is kept
        self.fin_received = (
            False  # the client closed, or half-closed and still reads: which of them can't be told
        )
        self.begun = self.answered = False
        self.stream_cut = False  # the stream was broken off, nothing can be written after it
        self.close_after = (
            False  # this answer is the connection's last, and says so where its head is still to come
        )
        self.leg_errors: dict[int, str] = {}  # by leg, what its engine or connection did, for the log
        self.drain_time: Time | None = (
            None  # for its client to take what is left of a whole answer; None: as for a small one
        )
        self.steps: Steps = []  # what happened to it, for the log
        self.end = ""  # how it ended, for counts and logs
        self.waiting_task: Task | None = None  # the door's task
        self.watchdog: Timer | None = None
        self.first_token: Time | None = None

    def client_left(self) -> bool:
        """Looks now whether the client has left, also behind bytes that it sent on. One that goes on sending counts as
        left: whether it has closed can't be seen behind what it sends, and reading all of it would cost the others.

        One that has ended its sending counts as left until its answer streams; then the next write tells."""
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
        """Whether output is written to the client as it comes."""
        return self.begun

    def refuse_half_closed(self) -> None:
        """The final answer for a client that has ended its sending: no attempt begins for it any more, but it may read."""
        nothing_ran = self.unsent.issuperset(self.gen.may_have_run())
        status = 429 if nothing_ran else 502
        self.refuse(
            status, DEPARTED, "the client ended its sending before its answer came", again=nothing_ran
        )

    @property
    def extra_exceeded(self) -> bool:
        return self.extra_bytes > MAX_EXTRA_BYTES

    def begin(self, now: Time) -> None:
        """The first token is here."""
        raise NotImplementedError

    def forward(self, pieces: Sequence[bytes]) -> bool:
        """Part of a stream's body, framed anew; False if the client is not there any more."""
        raise NotImplementedError

    def finish(self) -> None:
        """The whole answer has been passed on."""
        raise NotImplementedError

    def refuse(self, status: int, code: str, message: str, again: bool, retry_after: Time = 0) -> None:
        """A final answer before any output; `again`: whether the client may ask again without harm."""
        raise NotImplementedError

    def fail_stream(self, code: str, message: str) -> None:
        """A final answer to a stream that had begun."""
        raise NotImplementedError

    def _close_header(self) -> list[tuple[str, str]]:
        return [("connection", "close")] if self.close_after else []

    def _write(self, data: bytes) -> bool:
        """False if the client is not there any more."""
        if self.client is None:
            return False
        try:
            self.client.write(data)
        except ConnectionLost:
            return False
        return True

    def detach_client(self) -> None:
        """The client has departed: nothing more is written."""
        self.client = None
        if not self.answered:
            self._mark_answered(DEPARTED)

    def _mark_answered(self, how: str) -> None:
        self.answered, self.end = True, how
        if self.waiting_task is not None:
            self.waiting_task.wake()


class OpenAIRequest(ClientRequest):
    """An ask at the OpenAI-style door, whose legs go to engines."""

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
        self.held_states: dict[Leg, HeldState] = {}  # reads whose state waits; emptied by start or release
        self.reserved_server: Server | None = None  # held ahead; emptied by start or release
        self.reserved_leg: Leg | None = None
        # By vocabulary that it may be read and answered in, the fields that say token ids; None: it says none.
        self.token_fields: dict[str, dict[str, msgspec.Raw]] | None = None

    @property
    def streaming(self) -> bool:
        return self.begun and self.collector is None

    def _headers(self) -> list[tuple[str, str]]:
        return [("x-request-id", self.request_id), *self._close_header()]

    def begin(self, now: Time) -> None:
        """The first token is here."""
        self.begun, self.first_token = True, now
        if self.collector is None:
            self._write(
                http.head(
                    200,
                    [
                        ("content-type", "text/event-stream"),
                        ("cache-control", "no-cache"),
                        ("transfer-encoding", "chunked"),
                        *self._headers(),
                    ],
                )
            )

    def forward(self, pieces: Sequence[bytes]) -> bool:
        """Part of a stream's body, framed anew; False if the client is not there any more."""
        if self.collector is not None:
            self.collector.feed(b"".join(pieces))
            return self.client is not None
        return self._write(b"".join(http.chunk(one) for one in pieces)) if pieces else True

    def finish(self) -> None:
        """The whole answer has been passed on."""
        if self.answered:
            return
        if self.collector is not None:
            self._write(http.response(200, self.collector.result(), self._headers()))
        else:
            self._write(http.LAST_CHUNK)
        self._mark_answered("streamed")

    def refuse(self, status: int, code: str, message: str, again: bool, retry_after: Time = 0) -> None:
        """A final answer before any output; `again`: whether the client may ask again without harm."""
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
        """A final answer to a stream that had begun: exactly one error event, then the end of the body."""
        if self.answered:
            return
        if self.collector is not None:
            self.begun = False
            self.refuse(502, code, message, again=False)
            return
        self._write(http.chunk(sse.event(error_body(message, code, "server_error"))) + http.LAST_CHUNK)
        self._mark_answered(code)

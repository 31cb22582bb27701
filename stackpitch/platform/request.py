"""A client's request in the platform's protocol: the head fields to forward and how the answer is written."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from stackpitch.gateway.client_request import ClientRequest
from stackpitch.interface import Generation, Leg, Time
from stackpitch.loop import Stream
from stackpitch.wire import http, sse

if TYPE_CHECKING:
    from stackpitch.platform.releasing import Release


class PlatformRequest(ClientRequest):
    """A request that has been accepted, with its client.

    `headers`: the end-to-end fields that are forwarded to servers. Headers and body are dropped with the
    final answer.
    """

    def __init__(
        self,
        gen: Generation,
        client: Stream,
        method: str,
        target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        super().__init__(gen, client, target)
        self.method, self.headers, self.body = method, headers, body
        self.sent_leg: Leg | None = None  # the newest leg whose request has been written completely
        # End of the last read, or of a later leg that may have waited for its KV state. None: a stream has taken it
        # over, or a server has released it with no leg in progress.
        self.held_since: Time | None = None
        # `held_since` of the last release that a server answered; another of the same time repeats it.
        self.released_since: Time | None = None
        # KV state or a reservation may be held at a server; the start of a stream releases it.
        self.may_hold_state = False
        # The server of a closed attempt may not have seen its end yet: a first release may come before a read
        # completes there, or while the attempt still waits for KV state, and needs a second one.
        self.end_unseen = False
        self.last_release: Release | None = None

    def waiting_leg(self) -> Leg | None:
        """The leg in progress, if it may have arrived: its server then releases nothing that it waits for."""
        leg = self.sent_leg
        return leg if leg is not None and leg.outcome is None and leg.server.role != "reader" else None

    def _mark_answered(self, how: str) -> None:
        super()._mark_answered(how)
        self.headers, self.body = (), b""  # nothing more is sent

    def begin(self, now: Time) -> None:
        """Sends the head of the stream."""
        self.begun, self.first_token = True, now
        self._write(
            http.head(
                200,
                [
                    ("content-type", sse.MEDIA_TYPE),
                    ("transfer-encoding", "chunked"),
                    *self._close_header(),
                ],
            )
        )

    def forward(self, pieces: Sequence[bytes]) -> bool:
        """Sends part of the stream; False if the client has left."""
        return self._write(b"".join(http.chunk(piece) for piece in pieces if piece))

    def finish(self) -> None:
        """Ends the stream after its last event."""
        if not self.answered:
            self._write(http.LAST_CHUNK)
            self._mark_answered("streamed")

    def refuse(self, status: int, code: str, message: str, again: bool, retry_after: Time = 0) -> None:
        """Sends a final answer before any output.

        429 promises that a retry is safe, so any refusal that can't promise this must be neither 429 nor 503.
        """
        if self.answered:
            return
        headers = [("retry-after", f"{retry_after / 10_000:.3f}")] if again and retry_after else []
        self._write(
            http.response(
                429 if again else 502,
                b"%b\n" % code.encode(),
                [*headers, *self._close_header()],
                "text/plain",
            )
        )
        self._mark_answered(code)

    def fail_stream(self, code: str, message: str) -> None:
        """Ends the connection without the last chunk, as the protocol has no error event.

        Only the sending side is closed: a full close would drop data that the client has not read yet. The
        listener closes the rest.
        """
        if not self.answered:
            self.stream_cut = True
            if self.client is not None:
                self.client.finish()
            self._mark_answered(code)

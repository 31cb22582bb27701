"""A client's request on its way: what its legs pass on, what may be held for it, and how it is answered."""

from collections.abc import Sequence

from stackpitch.gateway.client_request import ClientRequest
from stackpitch.interface import Generation, Leg, Time
from stackpitch.loop import Stream
from stackpitch.wire import http


class PlatformRequest(ClientRequest):
    """`headers`: the request's fields that go on to the servers with it."""

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
        self.sent_leg: Leg | None = None  # the newest leg whose request has been handed over whole
        self.held_since: Time | None = (
            None  # its last read or a later answer ended then; None: a stream has taken the state
        )
        self.may_hold_state = False  # a state or place may be held; a started stream lets go of it
        self.read_outcome_unknown = (
            False  # a read may have ended well unseen: what it left is held, whatever started since
        )

    def _mark_answered(self, how: str) -> None:
        super()._mark_answered(how)
        self.headers, self.body = (), b""  # nothing more is sent

    def begin(self, now: Time) -> None:
        self.begun, self.first_token = True, now
        self._write(
            http.head(
                200,
                [
                    ("content-type", "text/event-stream"),
                    ("transfer-encoding", "chunked"),
                    *self._close_header(),
                ],
            )
        )

    def forward(self, pieces: Sequence[bytes]) -> bool:
        return self._write(b"".join(http.chunk(one) for one in pieces if one))

    def finish(self) -> None:
        if not self.answered:
            self._write(http.LAST_CHUNK)
            self._mark_answered("streamed")

    def refuse(self, status: int, code: str, message: str, again: bool, retry_after: Time = 0) -> None:
        """429 promises that another try does no harm; anything that can't promise it must not be 429 or 503."""
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
        """The connection ends without the last chunk: there is no event of our own. Half-closed, as a close would drop what
        has been passed on and not taken yet; the door does the rest."""
        if not self.answered:
            self.stream_cut = True
            if self.client is not None:
                self.client.finish()
            self._mark_answered(code)

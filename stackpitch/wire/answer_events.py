"""The events of a streamed answer: which of its parts are complete, what they bring, and whether it ends as it should."""

import re
from collections.abc import Sequence

from stackpitch.wire import sse
from stackpitch.wire.http import BadMessage
from stackpitch.wire.sse import EventStreamParser, Part

JSON_WHITESPACE = b" \t\r\n"
USAGE = re.compile(rb'"usage"\s*:\s*\{')
USUAL_BEGIN = b"data:"  # of nearly all events
# A chunk's size between two line ends, where an event begins: the size stated before was too large.
CHUNK_SIZE_LINE = re.compile(rb"\r\n[0-9A-Fa-f]+(?:;[^:\r\n]*)?\r\n")
MAX_SIZE_LINE = 64  # bytes in which to look for one


class AnswerEvents:
    """Splits the body of a streamed answer, fed piece by piece, into parts, which are returned unchanged.

    `outputs`: events that bring part of the answer or its end. Nothing else shows that the server still writes it.
    `usage`: data of the latest event with usage. `done`: the event that ends the answer has come. `incomplete`: the
    body has ended within an event. `valid`: once `feed` has raised, the parts before the invalid one.
    """

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes`: of an event."""
        self.max_bytes, self._parser = max_bytes, EventStreamParser()
        self._latest = b""  # the last bytes of the parts so far
        self.outputs = 0
        self.valid = self.usage = b""
        self.done = self.incomplete = False

    @property
    def pending(self) -> bool:
        """Whether bytes have come that are not returned yet."""
        return self._parser.pending_bytes > 0

    @property
    def fault(self) -> str | None:
        """Why an answer whose body has ended is not whole; None if it is."""
        if self.incomplete:
            return "the stream ended within an event"
        return None if self.done else "the stream ended without [DONE]"

    def feed(self, pieces: Sequence[bytes]) -> bytes:
        """The bytes of the parts that the pieces complete.

        Raises BadMessage on an invalid or too large event.
        """
        complete: list[bytes] = []
        try:
            for part in self._parser.feed(b"".join(pieces)):
                self._check_framing(part.raw)
                self._track(part)
                complete.append(part.raw)
            if self._parser.pending_bytes > self.max_bytes:
                raise BadMessage(502, f"event is over {self.max_bytes} bytes")
        except BadMessage:
            self.valid = b"".join(complete)
            raise
        return b"".join(complete)

    def finish(self) -> bytes:
        """What follows the last part at the end of the body, if it belongs to no event."""
        rest = self._parser.finish()
        self.incomplete = rest.data is not None
        if self.incomplete:
            return b""
        self._track_comments(rest.comments)
        return rest.raw

    def _check_framing(self, raw: bytes) -> None:
        if not raw.startswith(USUAL_BEGIN) and CHUNK_SIZE_LINE.search(self._latest + raw[:MAX_SIZE_LINE]):
            raise BadMessage(502, f"a chunk's size within a chunk: {raw[:30]!r}")
        self._latest = raw[-2:]

    def _track(self, part: Part) -> None:
        self._track_comments(part.comments)
        if part.data:
            self._track_event(part.data.strip(JSON_WHITESPACE))

    def _track_comments(self, comments: list[bytes]) -> None:
        """Takes the comments of a part."""

    def _track_event(self, data: bytes) -> None:
        if data == sse.DONE_DATA:
            self.outputs += not self.done
            self.done = True
            return
        has_usage = USAGE.search(data) is not None
        if not self.done and self._is_output(data, has_usage):
            self.outputs += 1
        if has_usage:
            self.usage = data

    def _is_output(self, data: bytes, has_usage: bool) -> bool:
        """Whether an event before the answer's end brings part of the answer."""
        return True

"""The events of a model server's stream in the platform's protocol."""

import re

from stackpitch.wire import sse
from stackpitch.wire.answer_events import AnswerEvents
from stackpitch.wire.http import BadMessage
from stackpitch.wire.sse import Part

LOAD_REPORT = b"srv-load:"  # how a comment with a load report begins, in lower case
MAX_COMMENTS = 1024  # between two events: one each 5 ms while a client waits for an event
MAX_IDLE_PARTS = 2 * MAX_COMMENTS  # comments and blank lines between two events
CHOICE = re.compile(rb'"choices"\s*:\s*\[\s*\{')  # in an event with part of the answer
MAX_EVENT = 1 << 18  # bytes: as large as any body


class PlatformEvents(AnswerEvents):
    """Checks that each event has a JSON object as its data, or ends the answer, and bounds their number.

    The number of events is bounded to `max_events` if the answer's length is limited. Of comments only those in a
    row are bounded: a slow server may send many between two events.

    Output is an event with a choice, the first one with usage, and the one that ends the answer. `load`: the text of
    the latest load report.
    """

    def __init__(self, max_bytes: int = MAX_EVENT, max_events: int | None = None) -> None:
        super().__init__(max_bytes)
        self.max_events = max_events
        self.events = self.comments = self._idle_parts = 0
        self.load: str | None = None

    def _track(self, part: Part) -> None:
        super()._track(part)
        if not part.data:
            self._count_idle_part()

    def _track_comments(self, comments: list[bytes]) -> None:
        self.comments += len(comments)
        for comment in comments:
            text = comment.strip()
            if text.lower().startswith(LOAD_REPORT):
                self.load = text[len(LOAD_REPORT) :].decode("latin-1").strip()

    def _track_event(self, data: bytes) -> None:
        if self.max_events is not None and self.events >= self.max_events:
            raise BadMessage(502, f"over {self.max_events} events, more than the answer may have")
        if data != sse.DONE_DATA and not (data.startswith(b"{") and data.endswith(b"}")):
            raise BadMessage(502, f"not an event: {data[:30]!r}")
        super()._track_event(data)
        self.events += 1
        self._idle_parts = 0

    def _is_output(self, data: bytes, has_usage: bool) -> bool:
        return CHOICE.search(data) is not None or (has_usage and not self.usage)

    def _count_idle_part(self) -> None:
        self._idle_parts += 1
        if self._idle_parts > MAX_IDLE_PARTS:
            raise BadMessage(502, f"over {MAX_COMMENTS} comments without an event")

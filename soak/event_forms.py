"""Forms in which the event-stream standard allows a stream's events to be written, drawn from a seed."""

import json
from collections.abc import Sequence
from random import Random

from soak.event_reader import BYTE_ORDER_MARK

LF, CRLF, CR = b"\n", b"\r\n", b"\r"
# Ends of the lines of one stream, one of them for each line.
LINE_ENDS = ((LF,), (LF,), (CRLF,), (CR,), (LF, CRLF, CR))
MARKED_PART = 0.2  # of the streams begin with a byte order mark
MULTILINE_PART = 0.3  # of the events have their data in several lines
OTHER_LINES_PART = 0.4  # of the events have other lines beside their data
IDLE_PART = 0.2  # of the events come after something that is no event with data
OTHER_LINES = (
    b": note",
    b":",
    b"id: 7",
    b"id",
    b"retry: 100",
    b"event: message",
    b"event:",
    b"x: y",
    b"x",
    b"\x01\x02",
)
READABLE, UNREADABLE = b": Srv-Load: queue=1,util=0.5,x0=0.3", b": Srv-Load: queue=x,,="


class EventForms:
    """Writes the events of one stream."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.line_ends = random.choice(LINE_ENDS)
        self.marked = random.random() < MARKED_PART
        self.last_end = LF

    def event(self, data: bytes) -> bytes:
        """An event with JSON or the end's word as its data."""
        lines = [self.random.choice((b"data: ", b"data:")) + one for one in self._data_lines(data)]
        if self.random.random() < OTHER_LINES_PART:
            for _ in range(self.random.randint(1, 3)):
                lines.insert(self.random.randint(0, len(lines)), self.random.choice(OTHER_LINES))
        begin = self._idle() if self.random.random() < IDLE_PART else b""
        if self.marked:
            self.marked = False
            begin = BYTE_ORDER_MARK + begin
        return begin + self._lines([*lines, b""])

    def end(self, events: Sequence[bytes], report: bytes) -> bytes:
        """The last events, given by their data, and a comment line with a load report, in any way to end it."""
        body = b"".join(map(self.event, events))
        line = self.random.choice((report, report, report, UNREADABLE, b": " + READABLE, b": note"))
        ends = [b"", self._lines([line, b""]), self._lines([line]), self._lines([line]), line]
        ends.append(self._lines([b"id: 7", line]) + b"retry: 1")
        return body + self.random.choice(ends)

    def _data_lines(self, data: bytes) -> list[bytes]:
        if not data.startswith(b"{") or self.random.random() >= MULTILINE_PART:
            return [data]
        return json.dumps(json.loads(data), indent=1).encode().split(b"\n")

    def _idle(self) -> bytes:
        return self._lines(
            self.random.choice(((b": note", b""), (b": note",), (b"",), (b"id: 8", b""), (b"data:", b"")))
        )

    def _lines(self, lines: Sequence[bytes]) -> bytes:
        return b"".join(line + self._line_end(line) for line in lines)

    def _line_end(self, line: bytes) -> bytes:
        """A line feed right behind a carriage return would be part of the same line's end."""
        end = self.random.choice(self.line_ends)
        if not line and end == LF and self.last_end == CR:
            end = CRLF
        self.last_end = end
        return end

"""The event-stream format of the HTML standard (server-sent events), without I/O.

After an optional byte order mark a stream is a sequence of lines, each ended by LF, CR or CRLF. A blank line ends
an event, a line that begins with a colon is a comment, and any other line is a field. Of the fields only `data` is
read here: all others are part of their event and change nothing.
"""

from collections.abc import Iterator
from typing import NamedTuple

DONE_DATA = b"[DONE]"  # data of the event that ends an answer
DONE = b"data: " + DONE_DATA + b"\n\n"
MEDIA_TYPE = "text/event-stream"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
DATA_FIELD = b"data"
LINE_ENDS = (b"\n", b"\r")  # last bytes of a complete line


def is_event_stream(content_type: str) -> bool:
    """Whether a `content-type`, in upper or lower case and with or without parameters, is that of a stream."""
    return content_type.partition(";")[0].strip().lower() == MEDIA_TYPE


def event(data: bytes) -> bytes:
    """One event."""
    return b"data: " + data + b"\n\n"


class Part(NamedTuple):
    """Part of a stream: an event, or a comment or blank line outside of any event.

    `raw`: its bytes as they came. `data`: the data of the event, None if it has no `data` field. `comments`: what
    follows the colon of each comment.
    """

    raw: bytes
    data: bytes | None
    comments: list[bytes]


class EventStreamParser:
    """Splits a stream, fed in pieces of any size, into parts; their bytes together are those of the stream."""

    def __init__(self) -> None:
        self._at_start = True  # of the stream's first line
        self._after_cr = False  # a line feed that comes next belongs to the end of the line before
        self._line = bytearray()  # without its end so far
        self._lines: list[bytes] = []  # of the part that is not complete
        self._lines_size = 0  # bytes
        self._has_field = False
        self._data: list[bytes] = []
        self._comments: list[bytes] = []

    @property
    def pending_bytes(self) -> int:
        """Size of the part that is not complete."""
        return self._lines_size + len(self._line)

    def feed(self, data: bytes) -> Iterator[Part]:
        """The parts that a piece completes. To be iterated to its end before the next call."""
        for line in self._complete_lines(data):
            text = line.rstrip(b"\r\n")
            self._add_line(line)
            if self._at_start:
                self._at_start = False
                text = text.removeprefix(BYTE_ORDER_MARK)
            self._read_line(text)
            if not text or not self._has_field:
                yield self._take_part()

    def finish(self) -> Part:
        """What follows the last complete part at the end of the stream; without any bytes if nothing does.

        It has data if the stream ends within an event that has data, or may have: a reader discards such an event.
        """
        text = bytes(self._line)
        self._add_line(text)
        self._line.clear()
        if self._at_start:
            text = text.removeprefix(BYTE_ORDER_MARK)
        self._read_line(DATA_FIELD if text and DATA_FIELD.startswith(text) else text)
        return self._take_part()

    def _complete_lines(self, data: bytes) -> list[bytes]:
        if self._after_cr and data:
            self._after_cr = False
            if data.startswith(b"\n"):
                self._add_line(b"\n")
                data = data[1:]
        if not data:
            return []
        lines = data.splitlines(keepends=True)  # of bytes: at LF, CR and CRLF alone
        incomplete = b"" if lines[-1].endswith(LINE_ENDS) else lines.pop()
        if lines and self._line:
            lines[0] = bytes(self._line + lines[0])
            self._line.clear()
        self._line += incomplete
        self._after_cr = data.endswith(b"\r")
        return lines

    def _add_line(self, line: bytes) -> None:
        self._lines.append(line)
        self._lines_size += len(line)

    def _read_line(self, text: bytes) -> None:
        if text.startswith(b":"):
            self._comments.append(text[1:])
        elif text:
            self._has_field = True
            name, _, value = text.partition(b":")
            if name == DATA_FIELD:
                self._data.append(value.removeprefix(b" "))

    def _take_part(self) -> Part:
        part = Part(b"".join(self._lines), b"\n".join(self._data) if self._data else None, self._comments)
        self._lines, self._lines_size, self._has_field = [], 0, False
        self._data, self._comments = [], []
        return part


class EventParser:
    """The data of a stream's events, for readers that need nothing else.

    Holds at most `max_bytes` of an incomplete event.
    """

    def __init__(self, max_bytes: int = 1 << 20) -> None:
        self.max_bytes, self._parser = max_bytes, EventStreamParser()

    def feed(self, piece: bytes) -> list[bytes]:
        """The data of each event that the piece completes, if it has any. Raises ValueError on an event over the bound."""
        events = [part.data for part in self._parser.feed(piece) if part.data]
        if self._parser.pending_bytes > self.max_bytes:
            raise ValueError(f"event is over {self.max_bytes} bytes")
        return events

    def finish(self) -> None:
        """The stream has ended. Raises ValueError if it ended within an event."""
        if self._parser.finish().data is not None:
            raise ValueError("the stream ended within an event")

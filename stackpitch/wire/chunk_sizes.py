"""The sizes that the chunks of a body state. llhttp checks a body's framing, but does not tell the sizes."""

import re

_HEADER = re.compile(rb"0*([0-9A-Fa-f]*)[^\n]*\n")
_DIGITS = re.compile(rb"[0-9A-Fa-f]*")
MAX_DIGITS = 16  # of a size without leading zeros; llhttp accepts no more
LINE_END = 2  # bytes, behind a chunk's header and its data


class ChunkSizes:
    """Follows the chunks of a body. Only bytes that a strict parser has accepted may be fed.

    `stated`: data bytes of the latest chunk. While its header is incomplete these are a lower bound, as
    further digits only raise the number. `open`: the latest byte ended no chunk, or the last one has begun.
    """

    def __init__(self) -> None:
        self.stated = 0
        self.open = False
        self.last_chunk_begun = False  # only trailers follow
        self._header = b""  # the beginning of an incomplete header
        self._unread = 0  # bytes of the current chunk still to come, with the line end behind its data

    @property
    def missing(self) -> int:
        """Data bytes of the latest chunk that are still to come."""
        return self.stated if self._header else max(0, self._unread - LINE_END)

    def feed(self, data: bytes) -> None:
        """Takes the next bytes of the body."""
        data, position = self._header + data, self._unread
        self._header = b""
        while position < len(data) and not self.last_chunk_begun:
            header = _HEADER.match(data, position)
            if header is None:
                self._begin_header(data[position:])
                return
            self.stated = int(header.group(1) or b"0", 16)
            self.last_chunk_begun = not self.stated
            position = header.end() + self.stated + LINE_END
        self._unread = max(0, position - len(data))
        self.open = self._unread > 0 or self.last_chunk_begun

    def _begin_header(self, part: bytes) -> None:
        """Keeps what matters of an incomplete header."""
        self.open, self._unread = True, 0
        self._header = part.lstrip(b"0")[:MAX_DIGITS] or b"0"
        digits = _DIGITS.match(self._header)
        self.stated = int(digits.group(), 16) if digits is not None and digits.group() else 0

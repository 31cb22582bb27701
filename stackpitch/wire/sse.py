"""Server-sent events, as far as streamed answers use them: `data` lines; an empty line ends an event."""

from collections.abc import Iterable

DONE = b"data: [DONE]\n\n"


def event(data: bytes) -> bytes:
    """One event."""
    return b"data: " + data + b"\n\n"


def has_data(pieces: Iterable[bytes]) -> bool:
    """Whether any piece of a stream's body has more than comments and empty lines."""
    return any(_has_data(piece) for piece in pieces)


def _has_data(piece: bytes) -> bool:
    if piece[:1] not in (b":", b"\r", b"\n"):  # nearly always
        return bool(piece)
    return any(line and not line.startswith(b":") for line in piece.splitlines())


class EventParser:
    """Splits a stream's body, fed piece by piece, into events.

    Holds at most `max_bytes` of an incomplete event.
    """

    def __init__(self, max_bytes: int = 1 << 20) -> None:
        self.max_bytes, self.rest = max_bytes, b""

    def feed(self, piece: bytes) -> list[bytes]:
        """The data of each event that the piece completes. Raises ValueError on an event over the bound."""
        *complete, self.rest = (self.rest + piece).replace(b"\r\n", b"\n").split(b"\n\n")
        if len(self.rest) > self.max_bytes:
            raise ValueError(f"event is over {self.max_bytes} bytes")
        events = []
        for event_lines in complete:
            lines = [
                line[5:].removeprefix(b" ") for line in event_lines.split(b"\n") if line.startswith(b"data:")
            ]
            if lines:
                events.append(b"\n".join(lines))
        return events

"""Server-sent events, as far as streamed answers use them: `data` lines, an empty line ends an event."""

DONE = b"data: [DONE]\n\n"


def event(data: bytes) -> bytes:
    return b"data: " + data + b"\n\n"


class EventParser:
    """Takes the body piece by piece and gives the data of each whole event. Bounded by `most` bytes."""

    def __init__(self, most: int = 1 << 20) -> None:
        self.most, self.rest = most, b""

    def feed(self, piece: bytes) -> list[bytes]:
        """Raises ValueError on an event over the bound."""
        *whole, self.rest = (self.rest + piece).replace(b"\r\n", b"\n").split(b"\n\n")
        if len(self.rest) > self.most:
            raise ValueError(f"event is over {self.most} bytes")
        found = []
        for one in whole:
            lines = [line[5:].removeprefix(b" ") for line in one.split(b"\n") if line.startswith(b"data:")]
            if lines:
                found.append(b"\n".join(lines))
        return found

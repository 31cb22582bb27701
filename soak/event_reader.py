"""Reads a stream of events as the event-stream standard has it, by itself: not with the program's own parser."""

BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventReader:
    """Fed a stream's body in pieces of any size."""

    def __init__(self) -> None:
        self.text = b""  # of the line that has not ended, with each end of a line as LF
        self.after_cr = False
        self.at_start = True
        self.data: list[bytes] = []  # of the event that has not ended

    def feed(self, piece: bytes) -> list[bytes]:
        """The data of the events that the piece completes, those without any data left out."""
        if self.after_cr and piece:
            self.after_cr = False
            piece = piece.removeprefix(b"\n")
        self.after_cr = piece.endswith(b"\r") or (self.after_cr and not piece)
        self.text += piece.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, self.text = self.text.split(b"\n")
        events = []
        for line in lines:
            if self.at_start:
                line = line.removeprefix(BYTE_ORDER_MARK)
                self.at_start = False
            if line:
                self._field(line)
            elif self.data:
                events.append(b"\n".join(self.data))
                self.data = []
        return [one for one in events if one]

    def incomplete(self) -> bool:
        """Whether a stream that ends here ends within an event that has data, or may have."""
        line = self.text.removeprefix(BYTE_ORDER_MARK) if self.at_start else self.text
        name, colon, _ = line.partition(b":")
        return bool(self.data) or name == b"data" or (bool(name) and not colon and b"data".startswith(name))

    def _field(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        if name == b"data":
            self.data.append(value[1:] if value.startswith(b" ") else value)

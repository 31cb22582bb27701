"""Forms of a worker's answers, drawn from a seed: those that the pages allow, and departures from them at each point
of a message. What is drawn are classes of bytes, not what earlier incidents had."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from stackpitch.wire import http, sse

MAX_BODY = 256 << 10  # bytes that the pages allow any body
MAX_SIZE_BITS = 64
PAUSES = (0.02, 0.08, 0.3, 1.0, 2.5)  # seconds between two parts
EXTENSIONS = (b"", b"", b"", b";a", b";name=value", b';name="quoted; value"')
COMMENT, LOAD = b": keep-alive\n\n", b": Srv-Load: queue=1,util=0.5,x0=0.3\n\n"
NOT_EVENTS = (b"data: {}\n\n", b'data: {"choices":[]}\n\n', COMMENT, LOAD)
# Data that is neither a JSON object nor the end's word.
NO_EVENTS = (
    b"data: no event\n\n",
    b"data: {\n\n",
    b"data: {}\rdata: x\r\r",
    b"data:[DONE]]\r\n\r\n",
    b"id: 7\ndata: \x00\n\n",
    b"data: {\n: }\n\n",
)
# Bodies that end within the event of the end's word, or where it stands but is no event's data.
INCOMPLETE_ENDS = (
    b"data: [DONE]",
    b"data: [DONE]\n",
    b"data:[DONE]\r\n: Srv-Load: queue=1\r\n",
    b": data: [DONE]\n\n",
    b"event: done\nid: [DONE]\n\n",
    b"database: [DONE]\r\r",
    b"data: [DONE]\n\ndata: {",
    b"data: [DONE]\n\ndat",
)
UNREADABLE_SIZES = (
    b"",
    b"zz",
    b"-5",
    b"+5",
    b"0x5",
    b" 5",
    b"5 5",
    b"5_0",
    b"1" + b"0" * 16,
    b"\x00",
    b"\xff",
)
UNREADABLE_LENGTHS = ("-1", "1e3", "0x10", "five", "", "5, 6", "9" * 30)
HEAD_FIELDS = b"content-type: text/event-stream\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\n" + HEAD_FIELDS + b"transfer-encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Departure:
    """What is written in place of the rest of a message: `begin` once, then what `part` gives, `pause` seconds apart,
    as long as the other side takes it."""

    point: str
    begin: bytes
    part: Callable[[], bytes]
    pause: float

    def __str__(self) -> str:
        return f"{self.point}: {self.begin[:60]!r}, each {self.pause} s"


def chunk_header(random: Random, size: int) -> bytes:
    """A sound header: in either case, with leading zeros and extensions now and then."""
    digits = f"{size:x}" if random.random() < 0.5 else f"{size:X}"
    zeros = "0" * random.choice((0, 0, 0, 1, 20))
    return (zeros + digits).encode() + random.choice(EXTENSIONS) + b"\r\n"


def framed(random: Random, data: bytes) -> bytes:
    """The data in one sound chunk."""
    return chunk_header(random, len(data)) + data + b"\r\n"


def too_large(random: Random) -> int:
    """A size over what any body may have, of any number of bits."""
    bits = random.randint(MAX_BODY.bit_length(), MAX_SIZE_BITS)
    return max(MAX_BODY + 1, random.getrandbits(bits) | 1 << (bits - 1))


def always(data: bytes) -> Callable[[], bytes]:
    """A departure's part that is the same each time."""
    return lambda: data


class StreamDepartures:
    """Departures of a stream that has begun. `event` gives the next event that looks sound, `end` what ends the body."""

    def __init__(self, random: Random, event: Callable[[], bytes], end: bytes) -> None:
        self.random, self.event, self.end = random, event, end

    def draw(self) -> Departure:
        """A kind of departure, then one of its points, each as often as the others."""
        states = {"size too large": self._size_too_large, "size that does not fit": self._unfit_size}
        spoils = {
            "size unreadable": self._unreadable_size,
            "data that is no event": self._no_event,
            "chunk without its end": self._missing_end,
            "last chunk too early": self._early_end,
        }
        goes_on = {
            "size that goes on": self._endless_size,
            "extension that goes on": self._endless_extension,
            "data that goes on": self._endless_event,
            "between chunks": self._between,
            "trailers that go on": self._endless_trailers,
            "after the end's word": self._after_done,
        }
        points = self.random.choice([states, spoils, goes_on])
        point = self.random.choice(sorted(points))
        begin, part = points[point]()
        return Departure(point, begin, part, self.random.choice(PAUSES))

    def _filler(self) -> Callable[[], bytes]:
        """What may follow a break of the framing: nothing, or what looks sound, or not."""
        noise = self.random.randbytes(20)
        return self.random.choice(
            [
                always(b""),
                self.event,
                lambda: http.chunk(self.event()),
                always(COMMENT),
                always(http.chunk(COMMENT)),
                always(noise),
            ]
        )

    def _size_too_large(self) -> tuple[bytes, Callable[[], bytes]]:
        filler = self.random.choice(
            [self.event, self.event, self.event, always(COMMENT), always(b""), always(b"x")]
        )
        return chunk_header(self.random, too_large(self.random)), filler

    def _endless_size(self) -> tuple[bytes, Callable[[], bytes]]:
        digits = f"{too_large(self.random):x}".encode()
        begin = self.random.choice([b"", b"0", b"5", digits, digits[:3]])
        return begin, always(self.random.choice([b"", b"0", b"f"]))

    def _unreadable_size(self) -> tuple[bytes, Callable[[], bytes]]:
        return self.random.choice(UNREADABLE_SIZES) + b"\r\n", self._filler()

    def _unfit_size(self) -> tuple[bytes, Callable[[], bytes]]:
        data = self.event()
        size = max(1, len(data) + self.random.choice([-len(data) // 2, -3, -1, 1, 2, 7, 40]))
        return b"%x\r\n%b\r\n" % (size, data), lambda: http.chunk(self.event())

    def _endless_extension(self) -> tuple[bytes, Callable[[], bytes]]:
        return b"5;", always(self.random.choice([b"a", b"a" * 500, b'="b'[:2]]))

    def _no_event(self) -> tuple[bytes, Callable[[], bytes]]:
        return http.chunk(self.random.choice(NO_EVENTS)), self._filler()

    def _endless_event(self) -> tuple[bytes, Callable[[], bytes]]:
        part = self.random.choice([b"x", b"x" * 500, b" "])
        return http.chunk(b"data: "), always(http.chunk(part))

    def _missing_end(self) -> tuple[bytes, Callable[[], bytes]]:
        data = self.event()
        after = self.random.choice([b"", b"\n", b"\r", b"xx", b"  "])
        return b"%x\r\n%b" % (len(data), data) + after, self._filler() if after.strip() else always(b"")

    def _between(self) -> tuple[bytes, Callable[[], bytes]]:
        return b"", always(http.chunk(self.random.choice(NOT_EVENTS)))

    def _early_end(self) -> tuple[bytes, Callable[[], bytes]]:
        ends = [b"", *(http.chunk(one) for one in INCOMPLETE_ENDS)]
        return self.random.choice(ends) + http.LAST_CHUNK, self._filler()

    def _endless_trailers(self) -> tuple[bytes, Callable[[], bytes]]:
        return http.chunk(self.end) + b"0\r\n", always(self.random.choice([b"", b"a: b\r\n", b"a"]))

    def _after_done(self) -> tuple[bytes, Callable[[], bytes]]:
        parts = [b"", sse.DONE, *NOT_EVENTS, self.event()]
        part = self.random.choice(parts)
        return http.chunk(self.end), always(http.chunk(part) if part else b"")


def unsound_answer(random: Random) -> Departure:
    """In place of an answer from its first byte on: one that can't be used, or that states too much, and goes on."""
    points = {
        "no head": random.randbytes(40) + b"\r\n\r\n",
        "status": b"HTTP/1.1 %b OK\r\n\r\n" % random.choice([b"2x0", b"", b"99", b"20000", b"-1"]),
        "version": b"HTTP/%b 200 OK\r\n\r\n" % random.choice([b"9.9", b"", b"1", b"one"]),
        "field": b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % random.choice([b"a b: c", b": c", b"a: b\x00", b"a"]),
        "head that goes on": b"HTTP/1.1 200 OK\r\na: ",
        "answers before": b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n",
        "length too large": _with_length(random, str(too_large(random))),
        "length unreadable": _with_length(random, random.choice(UNREADABLE_LENGTHS)),
        "length too long": _with_length(random, str(random.randint(2, 60_000))),
        "two framings": _with_length(random, "5\r\ntransfer-encoding: chunked"),
        "no framing": b"HTTP/1.1 200 OK\r\n" + HEAD_FIELDS + b"\r\n",
        "chunk too large": STREAM_HEAD + chunk_header(random, too_large(random)),
        "chunk unreadable": STREAM_HEAD + random.choice(UNREADABLE_SIZES) + b"\r\n",
    }
    point = random.choice(sorted(points))
    begin = points[point]
    part = begin if point == "answers before" else random.choice([b"", b"x", b"x" * 300])
    return Departure(point, begin, always(part), random.choice(PAUSES))


def _with_length(random: Random, length: str) -> bytes:
    status = random.choice([200, 202, 204, 500])
    return http.head(status, [("content-type", "text/event-stream"), ("content-length", length)]) + b"{"


@dataclass(frozen=True, slots=True)
class SoundStream:
    """A whole answer in a form that is seldom but allowed: parts to be written one by one."""

    form: str
    parts: tuple[bytes, ...]


def sound_stream(random: Random, events: list[bytes], end: bytes) -> SoundStream:
    """The events and what ends the body, in one of the forms."""
    forms = {
        "one chunk": _in_one_chunk,
        "one chunk as large as a body may be": _in_the_largest_chunk,
        "chunks cut anywhere": _in_many_chunks,
        "with its length": _with_its_length,
        "answers before, trailers after": _with_more_around,
    }
    form = random.choice(sorted(forms))
    return SoundStream(form, tuple(forms[form](random, events, end)))


def _in_one_chunk(random: Random, events: list[bytes], end: bytes) -> list[bytes]:
    first, *others = [*events, end]
    header = chunk_header(random, sum(map(len, events)) + len(end))
    return [STREAM_HEAD, header + first, *others, b"\r\n" + http.LAST_CHUNK]


def _in_the_largest_chunk(random: Random, events: list[bytes], end: bytes) -> list[bytes]:
    missing = MAX_BODY - sum(map(len, events)) - len(end)
    size = missing // 4
    padding = [b":" + b"x" * (size - 3) + b"\n\n"] * 3
    padding.append(b":" + b"x" * (missing - 3 * size - 3) + b"\n\n")
    return _in_one_chunk(random, [*events, *padding], end)


def _in_many_chunks(random: Random, events: list[bytes], end: bytes) -> list[bytes]:
    parts = [STREAM_HEAD]
    for data in [*events, end]:
        cuts = sorted(
            {0, len(data), *(random.randint(1, len(data) - 1) for _ in range(random.randint(0, 6)))}
        )
        parts += [framed(random, data[start:stop]) for start, stop in itertools.pairwise(cuts)]
    return [*parts, b"0" * random.randint(1, 9) + b"\r\n\r\n"]


def _with_its_length(random: Random, events: list[bytes], end: bytes) -> list[bytes]:
    length = str(sum(map(len, events)) + len(end))
    return [http.head(200, [("content-type", "text/event-stream"), ("content-length", length)]), *events, end]


def _with_more_around(random: Random, events: list[bytes], end: bytes) -> list[bytes]:
    early = [b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"] * random.randint(1, 3)
    chunks = [framed(random, data) for data in [*events, end]]
    return [*early, STREAM_HEAD, *chunks, b"0\r\na: b\r\nc: d\r\n\r\n"]

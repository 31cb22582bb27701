"""Requests that are none, drawn from a seed: departures from a request's form at each of its points."""

from collections.abc import Mapping
from random import Random

from soak.message_forms import (
    PAUSES,
    UNREADABLE_LENGTHS,
    UNREADABLE_SIZES,
    Departure,
    always,
    chunk_header,
    too_large,
)

LINE = b"POST /v1/chat/completions HTTP/1.1\r\n"
FACTS = {
    "req-id": "%016x",
    "req-kind": "chat",
    "req-deadline-ms": "2000",
    "req-extra": "prompt_len=500,max_out=50",
}
CHUNKED = {"transfer-encoding": "chunked"}


def _head(number: int, changed: Mapping[str, str | None], line: bytes = LINE) -> bytes:
    """A head with an id of that number. `changed`: other values of its fields, or None to leave one out."""
    fields: dict[str, str | None] = {**FACTS, "host": "soak", "req-id": FACTS["req-id"] % number, **changed}
    lines = [f"{name}: {value}\r\n" for name, value in fields.items() if value is not None]
    return line + "".join(lines).encode("latin-1") + b"\r\n"


def unsound_request(random: Random, number: int) -> Departure:
    """What a client writes in place of a request, one of all points. `number`: of an id that nobody else uses."""
    unreadable = random.choice(UNREADABLE_LENGTHS)
    chunk = _head(number, CHUNKED)
    points = {
        "no request": random.randbytes(40) + b"\r\n\r\n",
        "request line": _head(
            number, {}, random.choice([b"POST\r\n", b"P(ST / HTTP/1.1\r\n", b"POST / HTTP/9.9\r\n"])
        ),
        "target that goes on": b"POST /",
        "head that goes on": LINE + b"a: ",
        "fields that go on": LINE,
        "field": LINE + random.choice([b"a b: c", b": c", b"a: b\x00", b"a"]) + b"\r\n\r\n",
        "no id": _head(number, {"req-id": None, "content-length": "2"}) + b"{}",
        "no class": _head(number, {"req-kind": "none such", "content-length": "2"}) + b"{}",
        "deadline": _head(number, {"req-deadline-ms": unreadable, "content-length": "2"}) + b"{}",
        "length unreadable": _head(number, {"content-length": unreadable}),
        "length too large": _head(number, {"content-length": str(too_large(random))}),
        "length too long": _head(number, {"content-length": "200000"}),
        "two framings": _head(number, CHUNKED | {"content-length": "2"}) + b"{}",
        "chunk too large": chunk + chunk_header(random, too_large(random)),
        "chunk unreadable": chunk + random.choice(UNREADABLE_SIZES) + b"\r\n",
        "chunk without an end": chunk + b"20000\r\n{",
        "size that goes on": chunk + b"0",
        "trailers that go on": chunk + b"2\r\n{}\r\n0\r\n",
    }
    point = random.choice(sorted(points))
    parts = {
        "fields that go on": b"a: b\r\n",
        "size that goes on": b"0",
        "trailers that go on": b"a: b\r\n",
        "no id": b"",
        "no class": b"",
        "deadline": b"",
    }
    part = parts.get(point, random.choice([b"", b"x", b"x" * 300]))
    return Departure(point, points[point], always(part), random.choice(PAUSES))

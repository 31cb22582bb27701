"""The wire's lines: what each holds, and how a value is read. Knows nothing of the module."""

import base64
import binascii
import json
import math
from collections.abc import Callable, Iterator
from typing import Any, BinaryIO

from stackpitch.plausible import number


class WireError(Exception):
    """Input that the wire does not allow; its text names line and field."""


class BadField(Exception):
    """A value that reads well but has no meaning there; its text is the field's name."""


def _number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError
    return value


def _ticks(text: str) -> int:
    """Milliseconds as whole tenths, never rounded up."""
    return math.floor(_number(text) * 10 + 1e-6)


def _count(text: str) -> int:
    value = _number(text)
    if value < 0:
        raise ValueError
    return int(value)


def _bool(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError
    return text == "1"


def _key(text: str) -> str:
    if len(text) != 16 or not text.isalnum():
        raise ValueError
    int(text, 16)
    return text


def _word(text: str) -> str:
    if not text:
        raise ValueError
    return text


def _object(text: str) -> dict[str, Any]:
    value = json.loads(text)
    if not isinstance(value, dict):
        raise ValueError
    return value


def _pairs(text: str) -> dict[str, float]:
    """A server's own figures, as told; which of them can be is judged by whoever uses them."""
    return {name: number(value) for name, value in (pair.split(":") for pair in text.split(","))}


def _octets(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as wrong:
        raise ValueError from wrong


Field = tuple[str, Callable[[str], Any], bool]  # name, reader, whether it may be absent


def _need(name: str, read: Callable[[str], Any]) -> Field:
    return name, read, False


def _may(name: str, read: Callable[[str], Any]) -> Field:
    return name, read, True


FIELDS: dict[str, tuple[Field, ...]] = {
    "BATCH": (_need("clock", _ticks), _need("batch", _count)),
    "EOF_BATCH": (),
    "SWITCH_TO": (_need("who", _count),),
    "PROVISION": (_need("randomSeed", int), _need("config", _object)),
    "ROSTER_CHANGE": (_need("how", _word), _may("seqNo", _count), _need("members", _count)),
    "ROW": (
        _need("server", _word),
        _need("hall", _word),
        _need("hw", _word),
        _need("stripe", _count),
        _need("availability", _word),
        _may("powerHint", _number),
        _may("launchedMs", _ticks),
    ),
    "INGRESS": (
        _need("id", _key),
        _may("againByClient", _bool),
        _may("prefixLen", _count),
        _need("type", _word),
        _need("nPrompt", _count),
        _may("thread", _key),
        _need("giveUpAtMs", _ticks),
        _may("systemPrompt", _key),
        _may("again", _bool),
        _may("outputCap", _count),
        _may("customer", _word),
        _may("expectedMs", _ticks),
    ),
    "COMPLETED": (
        _need("id", _key),
        _need("copy", _count),
        _need("server", _word),
        _need("disposition", _word),
        _may("waitTimeMs", _ticks),
        _may("over", _bool),
        _may("detail", number),
        _may("usage", _pairs),
    ),
    "CRASH_NOW": (),
    "CHECK_RESULT": (
        _need("disposition", _word),
        _may("waitTimeMs", _ticks),
        _need("server", _word),
        _may("usage", _pairs),
    ),
    "SEAT_NEWS": (
        _need("id", _key),
        _need("kind", _count),
        _may("value", _number),
        _need("server", _word),
        _may("copy", _count),
    ),
    "REMINDER": (_need("keyBack", _count),),
    "LEFT": (_need("id", _key),),
    "UNDER_WAY": (
        _need("id", _key),
        _need("server", _word),
        _need("copy", _count),
        _may("waitTimeMs", _ticks),
    ),
    "HEARD": (_need("who", _count), _may("octets", _octets)),
}


def read_lines(source: BinaryIO) -> Iterator[tuple[int, str, list[Any]]]:
    """Yields line number, message word and values; an absent value is None."""
    for number, raw in enumerate(source, 1):
        try:
            line = raw.decode("utf-8").rstrip("\r\n")
        except UnicodeDecodeError:
            raise WireError(f"line {number}: not UTF-8") from None
        if not line:
            continue
        word, _, rest = line.partition(" ")
        fields = FIELDS.get(word)
        if fields is None:
            raise WireError(f"line {number}: unknown message {word[:40]!r}")
        parts = rest.split(" ", len(fields) - 1) if rest and fields else []
        if len(parts) < len(fields):
            raise WireError(f"line {number}: {word} lacks field {fields[len(parts)][0]}")
        if not fields and rest:
            raise WireError(f"line {number}: {word} takes no field")
        values: list[Any] = []
        for (name, read, optional), part in zip(fields, parts):
            if part == "-" and optional:
                values.append(None)
                continue
            try:
                values.append(read(part))
            except (ValueError, RecursionError):
                raise WireError(f"line {number}: {word} field {name} is malformed: {part[:40]!r}") from None
        yield number, word, values

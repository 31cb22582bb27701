"""Parses the lines of the simulator's protocol: one message a line, its fields separated by spaces.

Independent of the decision module.
"""

import base64
import binascii
import json
import math
from collections.abc import Callable, Iterator
from typing import Any, BinaryIO

from stackpitch.plausible import parse_number


class WireError(Exception):
    """Input that violates the simulator's protocol; the message names the line and the field."""


class BadField(Exception):
    """A well-formed value that is invalid in its context; the message is the field's name."""


def _finite_number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError
    return value


def _ticks(text: str) -> int:
    """Milliseconds to whole tenths of a millisecond, never rounded up."""
    return math.floor(_finite_number(text) * 10 + 1e-6)


def _count(text: str) -> int:
    value = _finite_number(text)
    if value < 0:
        raise ValueError
    return int(value)


def _bool(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError
    return text == "1"


def _hex_key(text: str) -> str:
    if len(text) != 16 or not text.isalnum():
        raise ValueError
    int(text, 16)
    return text


def _nonempty(text: str) -> str:
    if not text:
        raise ValueError
    return text


def _json_object(text: str) -> dict[str, Any]:
    value = json.loads(text)
    if not isinstance(value, dict):
        raise ValueError
    return value


def _load_figures(text: str) -> dict[str, float]:
    """Load figures as the server reports them; `PlausibilityFilter` drops impossible values later."""
    return {name: parse_number(value) for name, value in (pair.split(":") for pair in text.split(","))}


def _base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise ValueError from error


Field = tuple[str, Callable[[str], Any], bool]  # name, parser, whether the value may be absent ("-")


def _required(name: str, parse: Callable[[str], Any]) -> Field:
    return name, parse, False


def _optional(name: str, parse: Callable[[str], Any]) -> Field:
    return name, parse, True


# The fields of each message, in their order on the line. The last field takes the rest of the line.
FIELDS: dict[str, tuple[Field, ...]] = {
    "BATCH": (_required("clock", _ticks), _required("batch", _count)),
    "EOF_BATCH": (),
    "SWITCH_TO": (_required("who", _count),),
    "PROVISION": (_required("randomSeed", int), _required("config", _json_object)),
    "ROSTER_CHANGE": (_required("how", _nonempty), _optional("seqNo", _count), _required("members", _count)),
    "ROW": (
        _required("server", _nonempty),
        _required("hall", _nonempty),
        _required("hw", _nonempty),
        _required("stripe", _count),
        _required("availability", _nonempty),
        _optional("powerHint", _finite_number),
        _optional("launchedMs", _ticks),
    ),
    "INGRESS": (
        _required("id", _hex_key),
        _optional("againByClient", _bool),
        _optional("prefixLen", _count),
        _required("type", _nonempty),
        _required("nPrompt", _count),
        _optional("thread", _hex_key),
        _required("giveUpAtMs", _ticks),
        _optional("systemPrompt", _hex_key),
        _optional("again", _bool),
        _optional("outputCap", _count),
        _optional("customer", _nonempty),
        _optional("expectedMs", _ticks),
    ),
    "COMPLETED": (
        _required("id", _hex_key),
        _required("copy", _count),
        _required("server", _nonempty),
        _required("disposition", _nonempty),
        _optional("waitTimeMs", _ticks),
        _optional("over", _bool),
        _optional("detail", parse_number),
        _optional("usage", _load_figures),
    ),
    "CRASH_NOW": (),
    "CHECK_RESULT": (
        _required("disposition", _nonempty),
        _optional("waitTimeMs", _ticks),
        _required("server", _nonempty),
        _optional("usage", _load_figures),
    ),
    "SEAT_NEWS": (
        _required("id", _hex_key),
        _required("kind", _count),
        _optional("value", _finite_number),
        _required("server", _nonempty),
        _optional("copy", _count),
    ),
    "REMINDER": (_required("keyBack", _count),),
    "LEFT": (_required("id", _hex_key),),
    "UNDER_WAY": (
        _required("id", _hex_key),
        _required("server", _nonempty),
        _required("copy", _count),
        _optional("waitTimeMs", _ticks),
    ),
    "HEARD": (_required("who", _count), _optional("octets", _base64)),
}


def read_lines(source: BinaryIO) -> Iterator[tuple[int, str, list[Any]]]:
    """Yields line number, message name and field values; an absent value is None. Raises WireError."""
    for line_number, raw in enumerate(source, 1):
        try:
            line = raw.decode("utf-8").rstrip("\r\n")
        except UnicodeDecodeError:
            raise WireError(f"line {line_number}: not UTF-8") from None
        if not line:
            continue
        message, _, rest = line.partition(" ")
        fields = FIELDS.get(message)
        if fields is None:
            raise WireError(f"line {line_number}: unknown message {message[:40]!r}")
        parts = rest.split(" ", len(fields) - 1) if rest and fields else []
        if len(parts) < len(fields):
            raise WireError(f"line {line_number}: {message} lacks field {fields[len(parts)][0]}")
        if not fields and rest:
            raise WireError(f"line {line_number}: {message} takes no field")
        values: list[Any] = []
        for (name, parse, optional), part in zip(fields, parts):
            if part == "-" and optional:
                values.append(None)
                continue
            try:
                values.append(parse(part))
            except (ValueError, RecursionError):
                raise WireError(
                    f"line {line_number}: {message} field {name} is malformed: {part[:40]!r}"
                ) from None
        yield line_number, message, values

"""ORCA load reports in the text forms of the `endpoint-load-metrics` header: `JSON {...}` and `TEXT a=1,b=2`.

Source: Envoy's documentation of Open Request Cost Aggregation. The binary form is not supported. Parsed
fields are flat, those of maps with a dot: `named_metrics.queue`. A value that is not a finite number makes
the whole report invalid, as a partial one would mislead.
"""

import math
from collections.abc import Mapping

import msgspec

from stackpitch.wire.decoding import decode

HEADER = "endpoint-load-metrics"
MAPS = ("named_metrics", "utilization", "request_cost")


class BadReport(ValueError):
    """A load report that can't be parsed; the message names the field."""


def _number(name: str, value: object) -> float:
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        number = math.nan
    if not math.isfinite(number) or isinstance(value, bool):
        raise BadReport(f"{name} is {str(value)[:40]!r}, a number is allowed")
    return number


def parse(text: str) -> dict[str, float]:
    """The value of each field. Raises BadReport."""
    form, _, rest = text.strip().partition(" ")
    if form == "JSON":
        return _parse_json(rest)
    if form == "TEXT":
        fields = {}
        for part in filter(None, (item.strip() for item in rest.split(","))):
            name, equals, value = part.partition("=")
            if not equals or not name:
                raise BadReport(f"{part[:40]!r} is not name=value")
            fields[name.strip()] = _number(name, value.strip())
        return fields
    raise BadReport(f"form is {form[:20]!r}, JSON and TEXT are allowed")


def _parse_json(text: str) -> dict[str, float]:
    try:
        tree = decode(text)
    except msgspec.DecodeError as error:
        raise BadReport(f"not JSON: {error}") from None
    if not isinstance(tree, dict):
        raise BadReport("not a JSON object")
    fields = {}
    for name, value in tree.items():
        if name in MAPS and isinstance(value, dict):
            fields.update({f"{name}.{key}": _number(f"{name}.{key}", item) for key, item in value.items()})
        else:
            fields[name] = _number(name, value)
    return fields


def as_json(fields: Mapping[str, float]) -> str:
    """The header's value in the JSON form."""
    tree: dict[str, object] = {}
    for name, value in fields.items():
        group, dot, key = name.partition(".")
        if dot and group in MAPS:
            inner = tree.setdefault(group, {})
            assert isinstance(inner, dict)
            inner[key] = value
        else:
            tree[name] = value
    return "JSON " + msgspec.json.encode(tree).decode()


def as_text(fields: Mapping[str, float]) -> str:
    """The header's value in the TEXT form."""
    return "TEXT " + ",".join(f"{name}={value:g}" for name, value in fields.items())

"""The part of a request that speaks of token ids, read only where there is one."""

from collections.abc import Mapping

import msgspec

from stackpitch.duties.vocabulary.errors import ParametersMalformed
from stackpitch.duties.vocabulary.parameters import IDS
from stackpitch.wire.decoding import decode

MOST_BYTES = 1 << 20  # of one field
LIMITS = ("max_tokens", "max_completion_tokens", "min_tokens")
DECODERS: dict[str, msgspec.json.Decoder[object]] = {
    "logit_bias": msgspec.json.Decoder(dict[str, float]),
    "stop_token_ids": msgspec.json.Decoder(list[int]),
    "allowed_token_ids": msgspec.json.Decoder(list[int]),
    "bad_words_ids": msgspec.json.Decoder(list[list[int]]),
}
SHAPES = {
    "logit_bias": "an object from ids to numbers",
    "stop_token_ids": "a list of ids",
    "allowed_token_ids": "a list of ids",
    "bad_words_ids": "a list of lists of ids",
}


class Asked(msgspec.Struct, frozen=True):
    """`ids`: by field, only those that hold any. `vocabulary`: digest that they are written for, None if nobody says.
    `profile`: the name of the one that the generation goes by, and `filled`: the fields that it was given by it."""

    ids: dict[str, object]
    vocabulary: str | None
    profile: str | None = None
    filled: frozenset[str] = frozenset()
    limits: dict[str, int] = {}  # of the request itself, counted in tokens of its vocabulary


def asked(fields: Mapping[str, bytes | msgspec.Raw]) -> dict[str, object]:
    """Fields of a body that hold token ids; empty for nearly all. Raises ParametersMalformed."""
    found: dict[str, object] = {}
    for name in IDS:
        raw = fields.get(name)
        if raw is None or bytes(raw) == b"null":
            continue
        if len(bytes(raw)) > MOST_BYTES:
            raise ParametersMalformed(name, f"{len(bytes(raw))} bytes", f"up to {MOST_BYTES}")
        try:
            value = DECODERS[name].decode(raw)
        except msgspec.DecodeError as wrong:
            raise ParametersMalformed(name, str(wrong)[:120], SHAPES[name]) from None
        if bad := [one for one in numbers(name, value) if one < 0]:
            raise ParametersMalformed(
                name, f"id {bad[0]}" if bad[0] != -1 else "what is no id", "ids from 0 on"
            )
        if value:
            found[name] = value
    return found


def numbers(name: str, value: object) -> list[int]:
    """All ids of a field; -1 for what is none."""
    if isinstance(value, dict):
        return [int(one) if one.isascii() and one.isdigit() and len(one) < 9 else -1 for one in value]
    found: list[int] = []
    for one in value if isinstance(value, list) else ():
        found += one if isinstance(one, list) else [one]
    return found


def limits(fields: Mapping[str, bytes | msgspec.Raw]) -> dict[str, int]:
    """Those that are counted in tokens. What is no number is left for the door to turn down."""
    found: dict[str, int] = {}
    for name in LIMITS:
        if name in fields:
            try:
                value = decode(fields[name], type=int | None)
            except msgspec.DecodeError:
                continue
            if value is not None:
                found[name] = value
    return found

"""JSON that a stranger sent, decoded so that whatever it is costs itself alone."""

from typing import Any, TypeVar, overload

import msgspec

T = TypeVar("T")


@overload
def decode(text: bytes | str, *, type: type[T]) -> T: ...
@overload
def decode(text: bytes | str, *, type: Any = Any) -> Any: ...
def decode(text: bytes | str, *, type: Any = Any) -> Any:
    """As `msgspec.json.decode`. Raises msgspec.DecodeError on everything that can't be decoded.

    Guards against text nested so deeply that the decoder gives up with a RecursionError, which nobody who expects
    malformed text would catch.
    """
    try:
        return msgspec.json.decode(text, type=type)
    except RecursionError:
        raise msgspec.DecodeError("it is nested too deeply") from None

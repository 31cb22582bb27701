"""Decodes JSON from untrusted peers."""

from typing import Any, TypeVar, overload

import msgspec

T = TypeVar("T")


@overload
def decode(text: bytes | str, *, type: type[T]) -> T: ...
@overload
def decode(text: bytes | str, *, type: Any = Any) -> Any: ...
def decode(text: bytes | str, *, type: Any = Any) -> Any:
    """As `msgspec.json.decode`, but raises msgspec.DecodeError on everything that can't be decoded.

    Text that is nested too deeply makes the decoder raise RecursionError, which callers that handle malformed
    text would not catch.
    """
    try:
        return msgspec.json.decode(text, type=type)
    except RecursionError:
        raise msgspec.DecodeError("it is nested too deeply") from None

"""The engine protocol: requests and answers of legs. `docs/engine-protocol.md` is its specification."""

from typing import Any, Literal

import msgspec

from stackpitch.wire import http
from stackpitch.wire.decoding import decode

STATE_HOLD, STATE_RELEASE, HEALTH = "/v1/state/hold", "/v1/state/release", "/health"
WEIGHTS = "/v1/weights"
# Header of a writer's answer: "fetched" if it transferred the KV state that the leg named.
STATE_HEADER = "x-kv-state"
# Header of a leg: the digest of the vocabulary that its token ids belong to.
VOCABULARY = "x-vocabulary"
GENERATE_PATHS = ("/v1/chat/completions", "/v1/completions")
LegKind = Literal["read", "write", "whole"]  # prefill, decode, both on one server


class Transfer(msgspec.Struct, omit_defaults=True):
    """`kv_transfer_params`: a prefill for a writer, or the KV state that a writer fetches from a reader."""

    state_id: str
    do_remote_decode: bool = False
    do_remote_prefill: bool = False
    remote_host: str | None = None
    remote_port: int | None = None
    remote_cell: int | None = None


class Details(msgspec.Struct):
    """Details of the prompt's tokens."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts as the engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: Any = None  # of any type: malformed details don't invalidate the answer

    @property
    def cached_tok(self) -> object:
        """The reported number of cached tokens, unchecked (see `PlausibilityFilter.cached_tok`)."""
        details = self.prompt_tokens_details
        return (
            details.get("cached_tokens", 0)
            if isinstance(details, dict)
            else 0
            if details is None
            else details
        )

    def cached_tok_within(self, prompt_tok: int) -> object:
        """The reported number of cached tokens, capped at `prompt_tok` if it fits the engine's prompt length.

        `prompt_tok` is an estimate from bytes: a count above it is plausible up to the engine's own count.
        """
        cached = self.cached_tok
        return (
            min(cached, prompt_tok) if type(cached) is int and 0 <= cached <= self.prompt_tokens else cached
        )


class ReadAnswer(msgspec.Struct):
    """The body of a reader's 200 answer."""

    kv_transfer_params: Transfer
    usage: Usage


class ErrorBody(msgspec.Struct):
    """The error in an error answer."""

    message: str = ""
    code: str | int | None = None
    type: str | None = None


class ErrorAnswer(msgspec.Struct):
    """The body of an error answer."""

    error: ErrorBody


class WeightsCall(msgspec.Struct):
    """The body of a call to load this version; like a query, it is answered at once."""

    model: str
    version: str


class WeightsAnswer(msgspec.Struct):
    """The versions that the engine runs now, by model."""

    weights: dict[str, str]


class StateCall(msgspec.Struct):
    """The body of the hold and release calls."""

    state_id: str
    tok: int = 0


class HoldAnswer(msgspec.Struct):
    """The answer to a hold call: whether the engine holds the KV state."""

    held: bool


class LastEvent(msgspec.Struct):
    """The event before [DONE], of which only the usage is decoded."""

    usage: Usage | None = None


FULL, NO_STATE, DRAINING = "engine_full", "no_state", "engine_draining"
OTHER_VOCABULARY = "other_vocabulary"  # the engine's vocabulary differs from that of the leg's token ids
# Codes of a 503 that prove that the leg never ran.
REFUSALS = {FULL, NO_STATE, DRAINING, OTHER_VOCABULARY}


def leg_request(
    target: str,
    host: str,
    fields: dict[str, msgspec.Raw],
    transfer: Transfer,
    streamed: bool,
    headers: http.Headers,
) -> bytes:
    """The request of a leg: the client's body with the transfer fields added."""
    body = dict(fields)
    body["kv_transfer_params"] = msgspec.Raw(msgspec.json.encode(transfer))
    body["stream"] = msgspec.Raw(b"true" if streamed else b"false")
    if streamed:
        body["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    else:
        body.pop("stream_options", None)
        body["max_tokens"] = msgspec.Raw(b"1")
        body.pop("max_completion_tokens", None)
    return http.request("POST", target, host, msgspec.json.encode(body), headers)


def parse_read_answer(body: bytes) -> ReadAnswer:
    """Raises ValueError on a body that is not a reader's answer."""
    try:
        return decode(body, type=ReadAnswer)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None


def refusal_code(status: int, body: bytes) -> str | None:
    """The code in an answer that proves that the leg never ran; None if nothing proves it."""
    if status != 503:
        return None
    try:
        code = decode(body, type=ErrorAnswer).error.code
    except msgspec.DecodeError:
        return None
    return code if isinstance(code, str) and code in REFUSALS else None


def parse_usage(data: bytes) -> Usage | None:
    """Usage in the data of a stream's event; None if it has none that can be read."""
    try:
        return decode(data, type=LastEvent).usage
    except msgspec.DecodeError:
        return None


def error_body(message: str, code: str, error_type: str) -> bytes:
    """The body of an error answer."""
    return msgspec.json.encode(
        {"error": {"message": message, "type": error_type, "param": None, "code": code}}
    )

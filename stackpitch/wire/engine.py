"""The engine protocol: what a leg's request and answer hold. `docs/engine-protocol.md` is its specification."""

from typing import Any, Literal

import msgspec

from stackpitch.wire import http
from stackpitch.wire.decoding import decode

STATE_HOLD, STATE_RELEASE, HEALTH = "/v1/state/hold", "/v1/state/release", "/health"
WEIGHTS = "/v1/weights"
STATE_HEADER = "x-kv-state"  # of a writer's answer: "fetched" if it took the state that the leg named
VOCABULARY = "x-vocabulary"  # of a leg: the digest of the one that its token ids are written for
GENERATE_PATHS = ("/v1/chat/completions", "/v1/completions")
LegKind = Literal["read", "write", "whole"]


class Transfer(msgspec.Struct, omit_defaults=True):
    """`kv_transfer_params`: whether this leg reads for a writer, or takes a state that waits at a reader."""

    state_id: str
    do_remote_decode: bool = False
    do_remote_prefill: bool = False
    remote_host: str | None = None
    remote_port: int | None = None
    remote_cell: int | None = None


class Details(msgspec.Struct):
    cached_tokens: int = 0


class Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: Any = None  # read whole whatever stands there: the answer itself is well

    @property
    def cached_tok(self) -> object:
        """What is told of tokens found kept, as told (`plausible.PlausibilityFilter.cached_tok`)."""
        details = self.prompt_tokens_details
        return (
            details.get("cached_tokens", 0)
            if isinstance(details, dict)
            else 0
            if details is None
            else details
        )

    def cached_tok_within(self, prompt_tok: int) -> object:
        """Where the prompt's length is our own reckoning from bytes: what fits the engine's own is no cause for doubt."""
        found = self.cached_tok
        return min(found, prompt_tok) if type(found) is int and 0 <= found <= self.prompt_tokens else found


class ReadAnswer(msgspec.Struct):
    """The body of a reader's 200."""

    kv_transfer_params: Transfer
    usage: Usage


class ErrorBody(msgspec.Struct):
    message: str = ""
    code: str | int | None = None
    type: str | None = None


class ErrorAnswer(msgspec.Struct):
    error: ErrorBody


class WeightsCall(msgspec.Struct):
    """Load this version; answered at once, as a look is."""

    model: str
    version: str


class WeightsAnswer(msgspec.Struct):
    """What it runs on now: versions by model."""

    weights: dict[str, str]


class StateCall(msgspec.Struct):
    """The body of hold and release."""

    state_id: str
    tok: int = 0


class HoldAnswer(msgspec.Struct):
    held: bool


class LastEvent(msgspec.Struct):
    """The event before [DONE], as far as it is looked at."""

    usage: Usage | None = None


FULL, NO_STATE, DRAINING = "engine_full", "no_state", "engine_draining"
OTHER_VOCABULARY = "other_vocabulary"  # than the leg was written for
REFUSALS = {FULL, NO_STATE, DRAINING, OTHER_VOCABULARY}  # codes of a 503 that prove the leg never ran


def leg_request(
    target: str,
    host: str,
    fields: dict[str, msgspec.Raw],
    transfer: Transfer,
    streamed: bool,
    headers: http.Headers,
) -> bytes:
    """One leg's request: the client's body with the transfer's fields put in."""
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
    """Raises ValueError on a body that is no reader's answer."""
    try:
        return decode(body, type=ReadAnswer)
    except msgspec.DecodeError as wrong:
        raise ValueError(str(wrong)) from None


def refusal_code(status: int, body: bytes) -> str | None:
    """The code by which an answer proves that the leg never ran; None if it proves nothing."""
    if status != 503:
        return None
    try:
        code = decode(body, type=ErrorAnswer).error.code
    except msgspec.DecodeError:
        return None
    return code if isinstance(code, str) and code in REFUSALS else None


def last_usage(tail: bytes) -> Usage | None:
    """Usage from the end of a streamed body: the event before [DONE]; None if it is not there whole."""
    events = tail.rstrip().split(b"\n\n")
    for one in reversed(events[-3:]):
        if one.startswith(b"data: {") and b'"usage"' in one:
            try:
                found = decode(one[6:], type=LastEvent).usage
            except msgspec.DecodeError:
                return None
            if found is not None:
                return found
    return None


def error_body(message: str, code: str, kind: str) -> bytes:
    return msgspec.json.encode({"error": {"message": message, "type": kind, "param": None, "code": code}})

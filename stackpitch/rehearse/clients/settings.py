"""What the stand-in clients are told at their start."""

from typing import Any

import msgspec


class ProductTraffic(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    name: str
    effect: str
    scope: str
    slo_ms: float
    slo_ms_per_ktok: float
    time_limit_ms: float
    share: float
    turns: float
    new_tok: float
    answer_tok: float
    limit_tok: int
    opening_tok: float
    openings: int
    opening_share: float


class Surge(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    kind: str
    at_s: float
    for_s: float
    part: float
    strength: float


class Speaking(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Of generations that say token ids. Shares are of those named in the line before."""

    files: dict[str, str]  # tokenizer.json by the vocabulary's name
    default: str  # the one that a generation is written for unless it says so
    products: dict[str, str] = {}  # those with another default
    share: float  # of generations
    named: float  # that name a vocabulary, any of them
    lost: float  # with ids whose text is no token of another vocabulary
    profiled: float  # that name a sampling profile instead
    profiles: dict[
        str, dict[str, Any]
    ]  # those that nobody edits: their fields that hold token ids, of the vocabulary `old`


class ClientSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    records: str
    seed: int
    start: int  # on the machine's monotonic clock, tenths of a millisecond
    length_s: float
    gateways: dict[str, tuple[str, int]]
    sticky: bool
    products: list[ProductTraffic]
    customers: dict[str, float]  # name (also the API key) to share
    rate_per_s: float
    think_s: float
    retries: int
    backoff_ms: float
    try_share: float
    impatient: float
    departs: float
    front_notice_s: float
    surges: list[Surge]
    speaking: Speaking | None = None

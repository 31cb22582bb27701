"""Where clients come in, engines, and what is served."""

from typing import Annotated, Literal

from pydantic import Field

from stackpitch.settings.model.base import Count, Milliseconds, Port, PositiveFloat, StrictModel


class Door(StrictModel):
    """Where clients come in, and what is taken from them at most."""

    host: str = "127.0.0.1"
    port: Port = 8080
    max_connections: Count = 4096  # one more is answered 503 and closed
    max_bodies: Count = 256 * 1024 * 1024  # bytes of request bodies held at once, over all connections
    max_body: Count = 4 * 1024 * 1024
    max_head: Count = 32 * 1024
    head_ms: Milliseconds = 5000  # for a whole head, from its first byte
    body_ms: Milliseconds = 10000  # for a whole body
    idle_ms: Milliseconds = 75000  # a kept connection without a request
    stall_ms: Milliseconds = 10000  # a client that takes nothing of what waits for it this long is cut off
    buffer: Count = 256 * 1024  # bytes that wait for a slow client, after which its engine is read no further
    bytes_per_tok: PositiveFloat = 4.0  # by which prompt tokens are reckoned from prompt bytes
    answer_margin_ms: Milliseconds = 50  # the module is told that clients give up so much earlier
    default_limit_tok: Count = 512  # output limit where the client states none


class Admin(StrictModel):
    host: str = "127.0.0.1"
    port: Port = 0


class Engines(StrictModel):
    """Connections to engines."""

    connect_ms: PositiveFloat = 250
    pool: Count = 256  # connections to one engine; a leg that finds none free in connect_ms is not sent
    idle_ms: PositiveFloat = 15000  # shorter than the engines' own, so that they seldom close first
    gap_ms: PositiveFloat = 5000  # a stream without a byte for this long has broken
    call_ms: PositiveFloat = 400  # for a release, hold, cancel or probe
    release_tries: Count = 3
    max_head: Count = 32 * 1024
    max_answer: Count = 64 * 1024 * 1024


class Product(StrictModel):
    effect: Literal["idempotent", "deduplicated", "side-effecting"]
    scope: Literal["all", "zone", "cell"] = "all"
    memory_ms: Milliseconds = 0
    slo_ms: PositiveFloat
    slo_ms_per_ktok: Milliseconds = 0
    token_gap_ms: Milliseconds = 60
    time_limit_ms: PositiveFloat
    revenue: Annotated[float, Field(ge=0)] = 1.0
    late_revenue: Annotated[float, Field(ge=0)] = 0.0
    models: list[str] = []  # model names that mean this product where no header says


class Customer(StrictModel):
    share: Annotated[float, Field(ge=0)] = 0.0
    quota_per_s: Annotated[float, Field(ge=0)] = 0.0
    keys: list[str] = []


class Kind(StrictModel):
    role: Literal["reader", "writer", "mixed"]
    memory_tok: Count


class Load(StrictModel):
    """Which fields of a load report mean what; empty: not told."""

    held_share: str = "named_metrics.kv_cache_usage_perc"
    slots_share: str = "application_utilization"
    queued: str = "named_metrics.num_requests_waiting"


class Stop(StrictModel):
    finish_ms: Milliseconds = 30000  # what is held after this is answered at once


class Logs(StrictModel):
    level: Literal["debug", "info", "warning", "error"] = "info"
    requests: Literal["debug", "info"] = "debug"  # the level of a generation's line
    form: Literal["json", "console"] = "json"
    hog_ms: PositiveFloat = 50  # a step of one task that holds up the loop for longer is logged

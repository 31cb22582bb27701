"""Settings of client connections, engine connections, products and customers."""

from typing import Annotated, Literal

from pydantic import Field

from stackpitch.settings.model.base import Count, Milliseconds, Port, PositiveFloat, StrictModel


class Door(StrictModel):
    """The listener for clients and the limits on what they send."""

    host: str = "127.0.0.1"
    port: Port = 8080
    max_connections: Count = 4096  # one more is answered 503 and closed
    max_bodies: Count = 256 * 1024 * 1024  # bytes of request bodies held at once, over all connections
    max_body: Count = 4 * 1024 * 1024
    max_head: Count = 32 * 1024
    head_ms: Milliseconds = 5000  # time limit of a whole head, from its first byte
    body_ms: Milliseconds = 10000  # time limit of a whole body
    idle_ms: Milliseconds = 75000  # a keep-alive connection without a request is closed after this
    # A client that reads nothing of the data that waits for it this long is disconnected.
    stall_ms: Milliseconds = 10000
    # Bytes that may wait for a slow client; beyond this the gateway stops reading from its engine.
    buffer: Count = 256 * 1024
    bytes_per_tok: PositiveFloat = 4.0  # estimates prompt tokens from prompt bytes
    # The decision module's time limit is this much earlier than the client's.
    answer_margin_ms: Milliseconds = 50
    default_limit_tok: Count = 512  # output limit where the client states none


class Admin(StrictModel):
    """The listener of the admin port."""

    host: str = "127.0.0.1"
    port: Port = 0


class Engines(StrictModel):
    """Connections to engines and calls to them."""

    connect_ms: PositiveFloat = 250
    pool: Count = 256  # connections to one engine; a leg that gets none within connect_ms is not sent
    idle_ms: PositiveFloat = 15000  # shorter than the engines' own, so that they seldom close first
    gap_ms: PositiveFloat = 5000  # a stream without an event for this long counts as broken
    call_ms: PositiveFloat = 400  # time limit of a release, hold, cancel or probe
    release_tries: Count = 3
    max_head: Count = 32 * 1024
    max_answer: Count = 64 * 1024 * 1024


class Product(StrictModel):
    """A product: what a repeated leg may do, its SLO time and its revenue."""

    effect: Literal["idempotent", "deduplicated", "side-effecting"]
    scope: Literal["all", "zone", "cell"] = "all"  # deduplicated only: the servers that drop repeats
    # Deduplicated only: how long servers remember a request, from the first leg that may have run.
    memory_ms: Milliseconds = 0
    slo_ms: PositiveFloat
    slo_ms_per_ktok: Milliseconds = 0  # added to slo_ms for each 1,000 prompt tokens
    token_gap_ms: Milliseconds = 60  # SLO of the mean gap between tokens
    time_limit_ms: PositiveFloat
    revenue: Annotated[float, Field(ge=0)] = 1.0
    late_revenue: Annotated[float, Field(ge=0)] = 0.0
    models: list[str] = []  # model names that select this product if no header does


class Customer(StrictModel):
    """A customer: its share, its quota and its API keys."""

    share: Annotated[float, Field(ge=0)] = 0.0
    quota_per_s: Annotated[float, Field(ge=0)] = 0.0  # requests per second over all gateways
    keys: list[str] = []


class Kind(StrictModel):
    """A kind of server: its role and its KV memory in tokens."""

    role: Literal["reader", "writer", "mixed"]
    memory_tok: Count


class Load(StrictModel):
    """The fields of a load report that hold each figure; empty: not reported."""

    held_share: str = "named_metrics.kv_cache_usage_perc"
    slots_share: str = "application_utilization"
    queued: str = "named_metrics.num_requests_waiting"


class Stop(StrictModel):
    """Shutdown."""

    finish_ms: Milliseconds = 30000  # requests still open after this are answered at once


class Logs(StrictModel):
    """Logging."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    requests: Literal["debug", "info"] = "debug"  # level of the line of each generation
    form: Literal["json", "console"] = "json"
    hog_ms: PositiveFloat = 50  # a step of one task that blocks the event loop for longer is logged

"""The data types that the decision module works on, and the calls between it and a gateway.

All times and durations are whole numbers of tenths of a millisecond; a time is that of the gateway's
monotonic clock. The gateway creates these objects and keeps their fields up to date; the module reads them.
Objects refer to each other directly: `name` is for the gateway's connections, logs and records.

Every dataclass has a docstring: without one, `dataclass` builds a signature text at import, which takes as
long as the rest of the import.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal, Protocol

Time = int
MS, SECOND = 10, 10_000
Effect = Literal["idempotent", "deduplicated", "side-effecting"]
Scope = Literal["all", "zone", "cell"]
Role = Literal["reader", "writer", "mixed"]
State = Literal["ready", "draining", "gone"]
Outcome = Literal[
    "streamed", "read", "error", "full", "time-out", "unreachable", "reset", "cancelled", "not-sent"
]
# Why the module refused a request: too long a wait, no server that may be sent to, or all attempts failed.
RefusalReason = Literal["overload", "no-server", "attempts"]
# Why held KV state is released: its worker may not have read the attempt that is in flight, an attempt failed
# that may have waited for it, a read may have completed without its answer arriving, or the request is over.
ReleaseReason = Literal["attempt-unread", "attempt-failed", "read-in-doubt", "request-over"]
# Outcomes after which a leg had no effect.
NEVER_RAN: frozenset[Outcome] = frozenset({"read", "full", "unreachable", "not-sent"})
# Outcomes that the worker reported itself, so the attempt had arrived there.
ANSWERED: frozenset[Outcome] = frozenset({"full", "error"})


@dataclass(frozen=True, slots=True, kw_only=True)
class ModuleSettings:
    """The deployment's settings for the module. Defaults are for fields that a deployment doesn't set."""

    number: int  # of this gateway, from 0
    gateways: int
    zone: str
    max_legs: int  # per generation
    max_retry_after: Time
    fall_multiple: float  # multiple of a cold server's capacity at which it fails under load
    must_ask: bool  # discovery sends the roster to subscribers only
    cold_from: float  # share of its full capacity that a server has when it starts
    warm_up: Time
    local_reads: bool  # writers can prefill as well
    peers: bool = False  # gateways can send each other messages
    probes: bool = False
    cancels: bool = False  # a leg can be cancelled after it was sent
    release: Time = SECOND // 2  # held KV state must be used or released within this time


@dataclass(slots=True, eq=False)
class Product:
    """A class of traffic: the effect of repeating a request, its SLOs and its revenue."""

    name: str
    effect: Effect
    scope: Scope  # for deduplicated only: which servers recognise a repeated request
    dedup_window: Time  # for deduplicated only: how long they do, from the first leg that may have run
    slo_time: Time
    slo_per_ktok: Time  # added to slo_time for each 1,000 prompt tokens
    token_gap: Time  # SLO for the mean gap between tokens
    time_limit: Time
    revenue: float
    late_revenue: float


@dataclass(slots=True, eq=False)
class Customer:
    """The customer that a request belongs to, with the agreed share and quota."""

    name: str
    share: float
    quota_per_s: float  # over all gateways


@dataclass(slots=True, eq=False)
class Server:
    """One model server, as the roster describes it."""

    name: str
    zone: str
    kind: str
    cell: int
    role: Role
    memory_tok: int
    state: State = "ready"
    weight: float = 1.0
    # The start time that the server reports, by a clock that may be wrong. None: it started long ago.
    started: Time | None = None
    # When this gateway first saw that start in a roster. None: the server is older than this gateway.
    start_first_seen: Time | None = None


@dataclass(slots=True, eq=False)
class Leg:
    """One attempt of a generation at one server."""

    gen: "Generation"
    number: int
    server: Server
    sent: Time
    streaming: bool = False
    outcome: Outcome | None = None  # None while it is in flight


@dataclass(slots=True, eq=False)
class Generation:
    """One request of a client, with the facts that the listener took from it."""

    name: str
    product: Product
    customer: Customer | None
    session: str | None
    shared: str | None  # name of the prompt prefix that it shares with other sessions
    shared_tok: int
    prompt_tok: int
    max_output_tok: int
    output_time_hint: Time | None  # rough output length, as the time it takes at the product's token gap
    arrived: Time
    deadline: Time  # when the client gives up on this request
    repeat: bool  # the client says that this is a retry
    resumed: bool  # the client comes back after a broken or moved stream
    over: bool = False  # the final answer was given, or the client has left
    refusal_reason: RefusalReason | None = None
    legs: list[Leg] = field(default_factory=list)

    def slo(self) -> Time:
        """The SLO for the time to the first token, which grows with the prompt."""
        return self.product.slo_time + self.product.slo_per_ktok * self.prompt_tok // 1000

    def in_flight(self) -> bool:
        """Whether any leg has no outcome yet."""
        return any(leg.outcome is None for leg in self.legs)

    def stream_started(self) -> bool:
        """Whether a stream has begun; all held KV state is free from then on."""
        return any(leg.streaming for leg in self.legs)

    def completed_reads(self) -> int:
        """How many legs are known to have left KV state at their servers."""
        return sum(leg.outcome == "read" for leg in self.legs)

    def may_have_run(self) -> list[Leg]:
        """Legs that may have had, or may yet have, their effect; of those at readers, only legs in flight."""
        return [
            leg
            for leg in self.legs
            if leg.outcome not in NEVER_RAN and (leg.server.role != "reader" or leg.outcome is None)
        ]


@dataclass(slots=True)
class Report:
    """A server's load report. A field is None if the server doesn't report it."""

    held_share: float | None = None
    slots_share: float | None = None
    queued: float | None = None


class Gateway(Protocol):
    """What the module may ask of its gateway. `limit` and `delay` are durations from now."""

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        """Starts a leg, which times out unless it streams or ends within `limit`."""
        ...

    def hold(self, gen: Generation, server: Server) -> None:
        """Asks a server to hold KV state for a generation. The answer is `Module.hold_answered`."""
        ...

    def release(self, gen: Generation, reason: ReleaseReason) -> None:
        """Releases the KV state that is held for a generation."""
        ...

    def throttle(self, gen: Generation, retry_after: Time) -> None:
        """The final answer: refused, and the client may retry without harm after `retry_after`."""
        ...

    def terminate(self, gen: Generation) -> None:
        """The final answer: refused, and the request may have run."""
        ...

    def cancel(self, leg: Leg) -> None:
        """Cancels a leg; its outcome follows."""
        ...

    def probe(self, server: Server) -> None:
        """Asks a server for its load. The answer is `Module.probe_answered`."""
        ...

    def move(self, gen: Generation) -> None:
        """Ends a stream and has the client ask again, so that another server continues it."""
        ...

    def call_later(self, delay: Time, call: Callable[[Time], None]) -> None:
        """Calls `call` with the time, once, after `delay`."""
        ...

    def send_to_peer(self, peer: int, message: bytes) -> None:
        """Sends a gossip message to the gateway of that number. It may be lost."""
        ...

    def subscribe(self) -> None:
        """Subscribes to the roster."""
        ...

    def log(self, text: str) -> None:
        """Logs a change of the module's state."""
        ...


class Module(Protocol):
    """What a gateway notifies the module of. `now` never decreases from call to call."""

    def roster(self, now: Time, servers: list[Server], complete: bool) -> None:
        """Servers that were added or have changed. `complete`: any server that is not listed is gone."""
        ...

    def roster_failed(self, now: Time) -> None:
        """A roster could not be fetched or used; the one in force stays."""
        ...

    def arrived(self, now: Time, gen: Generation) -> None:
        """A client has sent a request."""
        ...

    def stream_started(self, now: Time, leg: Leg) -> None:
        """The first token of a leg has arrived."""
        ...

    def ended(self, now: Time, leg: Leg, cached_tok: int, no_state: bool, report: Report | None) -> None:
        """A leg has its outcome. `cached_tok`: prompt tokens that the server found in its cache.
        `no_state`: the writer didn't find the KV state that it was to fetch."""
        ...

    def departed(self, now: Time, gen: Generation) -> None:
        """The client has left."""
        ...

    def hold_answered(self, now: Time, gen: Generation, server: Server, granted: bool) -> None:
        """A server has answered `Gateway.hold`."""
        ...

    def awaits_peer(self, gen: Generation) -> bool:
        """Whether the generation has no leg in flight because a peer's answer is awaited."""
        ...

    def peer_message(self, now: Time, peer: int, message: bytes) -> None:
        """A gossip message from the gateway of that number."""
        ...

    def probe_answered(self, now: Time, server: Server, healthy: bool, report: Report | None) -> None:
        """A server has answered `Gateway.probe`, or, if not `healthy`, failed to."""
        ...

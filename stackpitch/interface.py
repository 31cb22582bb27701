"""The plain types that the decision module works on, and what it may ask of a gateway.

Times and durations are whole tenths of a millisecond. The gateway makes these objects and keeps
their facts up to date; the module reads them. Objects point to each other; `name` is for the door.
Each has its docstring: without one a dataclass makes a signature at import, which takes as long as the rest of it.
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
RefusalReason = Literal[
    "overload", "no-server", "attempts"
]  # too long a wait; none may be sent to; none of them served
# Why what is held is released: its worker may not have read the attempt that is out, a read may have ended unseen, or the
# request is over.
ReleaseReason = Literal["attempt-unread", "read-in-doubt", "request-over"]
NEVER_RAN: frozenset[Outcome] = frozenset({"read", "full", "unreachable", "not-sent"})
ANSWERED: frozenset[Outcome] = frozenset(
    {"full", "error"}
)  # outcomes that a worker wrote: the attempt had arrived


@dataclass(frozen=True, slots=True, kw_only=True)
class ModuleSettings:
    """What a deployment's settings say to the module. Defaults: of settings that don't say."""

    number: int  # this gateway's, from 0
    gateways: int
    zone: str
    max_legs: int  # of a generation
    max_retry_after: Time
    fall_multiple: float  # of what a cold server can do, before it falls over
    must_ask: bool  # the list comes to those who subscribe alone
    cold_from: float  # part of its work that a server can do as it starts
    warm_up: Time
    local_reads: bool  # writers read, too
    peers: bool = False  # gateways may send each other words
    probes: bool = False
    cancels: bool = False  # a leg that was handed over may be taken back
    release: Time = SECOND // 2  # within which what is held is used or let go


@dataclass(slots=True, eq=False)
class Product:
    """A class of traffic: what repeating it does, its times and what it is worth."""

    name: str
    effect: Effect
    scope: Scope  # deduplicated only: the servers that drop repeats
    dedup_window: Time  # deduplicated only: how long they remember, from the first leg that may have run
    slo_time: Time
    slo_per_ktok: Time  # added to slo_time for each 1,000 prompt tokens
    token_gap: Time  # SLO for the mean gap between tokens
    time_limit: Time
    revenue: float
    late_revenue: float


@dataclass(slots=True, eq=False)
class Customer:
    """Whose work it is, with the share and quota agreed on."""

    name: str
    share: float
    quota_per_s: float  # over all gateways


@dataclass(slots=True, eq=False)
class Server:
    """One model server, as the list has it."""

    name: str
    zone: str
    kind: str
    cell: int
    role: Role
    memory_tok: int
    state: State = "ready"
    weight: float = 1.0
    started: Time | None = None  # as it is claimed, by a clock that may be wrong; None: long ago
    start_first_seen: Time | None = (
        None  # when this gateway was first told of that start; None: it was there before it came
    )


@dataclass(slots=True, eq=False)
class Leg:
    """One try of a generation at one server."""

    gen: "Generation"
    number: int
    server: Server
    sent: Time
    streaming: bool = False
    outcome: Outcome | None = None  # None: still out


@dataclass(slots=True, eq=False)
class Generation:
    """One request of a client, with the facts that its door took from it."""

    name: str
    product: Product
    customer: Customer | None
    session: str | None
    shared: str | None  # the beginning that it shares with other sessions
    shared_tok: int
    prompt_tok: int
    max_output_tok: int  # the most that the answer may hold
    output_time_hint: Time | None  # rough length of the answer as time at the product's token gap
    arrived: Time
    deadline: Time  # the client's time limit for this try
    repeat: bool  # the client says that it asks again
    resumed: bool  # comes back after a broken or moved stream
    over: bool = False  # has its final answer, or its client has left
    refusal_reason: RefusalReason | None = None  # why the module gave it up
    legs: list[Leg] = field(default_factory=list)

    def slo(self) -> Time:
        return self.product.slo_time + self.product.slo_per_ktok * self.prompt_tok // 1000

    def in_flight(self) -> bool:
        return any(leg.outcome is None for leg in self.legs)

    def stream_started(self) -> bool:
        """Whether a stream has begun, which lets go of all that is held."""
        return any(leg.streaming for leg in self.legs)

    def may_have_run(self) -> list[Leg]:
        """Legs that may have had, or may yet have, their effect; at readers only those still out."""
        return [
            leg
            for leg in self.legs
            if leg.outcome not in NEVER_RAN and (leg.server.role != "reader" or leg.outcome is None)
        ]


@dataclass(slots=True)
class Report:
    """A server's load report; None where it does not say."""

    held_share: float | None = None
    slots_share: float | None = None
    queued: float | None = None


class Gateway(Protocol):
    """What the module may ask for. `limit` and `delay` run from now."""

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg: ...
    def hold(self, gen: Generation, server: Server) -> None: ...
    def release(self, gen: Generation, why: ReleaseReason) -> None: ...
    def throttle(self, gen: Generation, retry_after: Time) -> None: ...
    def terminate(self, gen: Generation) -> None: ...
    def cancel(self, leg: Leg) -> None: ...
    def probe(self, server: Server) -> None: ...
    def move(self, gen: Generation) -> None: ...
    def call_later(self, delay: Time, call: Callable[[Time], None]) -> None: ...
    def send_to_peer(self, peer: int, octets: bytes) -> None: ...
    def subscribe(self) -> None: ...
    def log(self, text: str) -> None: ...


class Module(Protocol):
    """What a gateway tells the module; `now` never goes back."""

    def roster(self, now: Time, servers: list[Server], complete: bool) -> None: ...
    def roster_failed(self, now: Time) -> None: ...
    def arrived(self, now: Time, gen: Generation) -> None: ...
    def stream_started(self, now: Time, leg: Leg) -> None: ...
    def ended(self, now: Time, leg: Leg, kept_tok: int, no_state: bool, report: Report | None) -> None: ...
    def departed(self, now: Time, gen: Generation) -> None: ...
    def hold_answered(self, now: Time, gen: Generation, server: Server, granted: bool) -> None: ...
    def awaits_peer(self, gen: Generation) -> bool: ...  # without a leg out, while a peer is asked
    def peer_message(self, now: Time, peer: int, octets: bytes) -> None: ...
    def probe_answered(self, now: Time, server: Server, well: bool, report: Report | None) -> None: ...

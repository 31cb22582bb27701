"""The schema of a day: fleet, gateways, products with their traffic, clients, troubles, and the rules' figures."""

from typing import Annotated, Literal

from pydantic import Field

from stackpitch.rehearse.dayvocabulary import Vocabularies, Which
from stackpitch.rehearse.dayweights import Weights
from stackpitch.settings.model import (
    Customer,
    Duties,
    Engines,
    Kind,
    Load,
    Membership,
    Milliseconds,
    Module,
    Name,
    PositiveFloat,
    Product,
    StrictModel,
)

Share = Annotated[float, Field(ge=0, le=1)]
Seconds = Annotated[float, Field(ge=0)]

ENGINE_TROUBLES = (
    "hang",
    "silent",
    "slow",
    "slow-by-turns",
    "vanish",
    "deploy",
    "drain",
    "lose-answer",
    "refuse",
    "cut",
    "garble",
    "tail",
    "slow-handshake",
    "slow-link",
    "fail-at-once",
)
GATEWAY_TROUBLES = ("gateway-kill", "gateway-roll", "gateway-term", "gateway-stop")
VOTER_TROUBLES = ("voter-empty", "voter-older", "voter-twin")
NETWORK_TROUBLES = (
    "net-cut",
    "net-one-way",
    "net-slow",
    "net-hold",
    "net-repeat",
    "net-reorder",
    "net-half-close",
)
VOCABULARY_TROUBLES = ("vocabulary-roll", "vocabulary-profiles", "vocabulary-word")
WEIGHTS_TROUBLES = ("origin-corrupt", "origin-slow", "origin-refuse", "disk-full")
TRAFFIC_TROUBLES = ("burst", "heavy-tail", "hot-text")


class StandIn(Kind):
    """A kind of server as the gateway knows it, and how its stand-in works (see `engine.EngineSettings`)."""

    slots: Annotated[int, Field(ge=1)] = 32
    queue: Annotated[int, Field(ge=0)] = 32
    kept_tok: int = 400_000
    chunk: int = 2048
    step_ms: PositiveFloat = 12.0
    per_seq_ms: Milliseconds = 0.15
    read_per_s: PositiveFloat = 20_000.0
    near_per_s: PositiveFloat = 300_000.0
    far_per_s: PositiveFloat = 120_000.0


class Group(StrictModel):
    """Servers of one kind, spread over the cells in turn."""

    kind: Name
    count: Annotated[int, Field(ge=1)]
    cells: list[int] = [1]
    zone: str = "hall"
    born_cold: bool = False


class Traffic(StrictModel):
    """What a product's sessions are like; means of skewed draws."""

    share: Share
    turns: Annotated[float, Field(ge=1)] = 2.0
    new_tok: PositiveFloat = 300.0
    answer_tok: PositiveFloat = 60.0
    limit_tok: Annotated[int, Field(ge=1)] = 400
    opening_tok: Milliseconds = 1500.0
    openings: Annotated[int, Field(ge=1)] = 12
    opening_share: Share = 0.8


class Clients(StrictModel):
    rate_per_s: PositiveFloat = 12.0  # generations, later turns included
    think_s: Seconds = 1.5
    retries: Annotated[int, Field(ge=0)] = 2
    backoff_ms: Milliseconds = 150.0
    try_share: Share = 0.8  # a try is given up after this part of the product's time limit at the earliest
    impatient: Share = 0.01  # departs before the first token
    sticky: bool = False  # a session stays with its gateway while that answers
    departs: Share = 0.02  # departs mid-stream
    front_notice_s: Seconds = 1.5  # a gateway that refused is left out for this long


class Trouble(StrictModel):
    """`part` of those it may strike, or `cell` alone, or `names`; `strength` is what the kind takes it for.

    Among gateways' names, `owner` and `owner.DUTY` stand for the one that the network last saw act as owner, `receiver.SITE`
    for the first of a site's gateways that runs. Those of the origin strike gateways, a full disk sites, by name.
    Troubles of the network lie on the paths between those named and all others: both ways, or `way` seen from those named; or
    on `pairs`.
    """

    kind: Literal[
        "hang",
        "silent",
        "slow",
        "slow-by-turns",
        "vanish",
        "deploy",
        "drain",
        "lose-answer",
        "refuse",
        "cut",
        "garble",
        "tail",
        "slow-handshake",
        "slow-link",
        "fail-at-once",
        "gateway-kill",
        "gateway-roll",
        "gateway-term",
        "gateway-stop",
        "edits",
        "voter-empty",
        "voter-older",
        "voter-twin",
        "net-cut",
        "net-one-way",
        "net-slow",
        "net-hold",
        "net-repeat",
        "net-reorder",
        "net-half-close",
        "origin-corrupt",
        "origin-slow",
        "origin-refuse",
        "disk-full",
        "burst",
        "heavy-tail",
        "hot-text",
        "vocabulary-roll",
        "vocabulary-profiles",
        "vocabulary-word",
    ]
    at_s: Seconds
    for_s: Seconds = 5.0
    part: Share = 0.1
    role: Literal["any", "reader", "writer", "mixed"] = "any"
    cell: int | None = None
    names: list[Name] = []
    strength: Annotated[float, Field(ge=0)] = 1.0
    way: Literal["both", "in", "out"] = "both"
    pairs: list[Annotated[list[Name], Field(min_length=2, max_length=2)]] = []  # paths: from, to
    share: Share = 1.0  # of the messages on those paths
    vocabulary: Which = "new"  # that engines change to
    word: Literal["announce", "confirm", "call off"] = "announce"  # an operator's, on a change of vocabulary


class Figures(StrictModel):
    """The rules in figures."""

    answer_slack_ms: Milliseconds = 60.0  # past the client's limit, for loopback and the client's own loop
    drain_grace_ms: Milliseconds = 1000.0
    release_ms: Milliseconds = 500.0
    fall_ms: Milliseconds = 1000.0
    owner_ms: Milliseconds = 1000.0  # without an owner, beside a lease, while a majority of voters can talk
    handover_ms: Milliseconds = 500.0  # the same after SIGTERM


class Day(StrictModel):
    name: Name
    length_s: PositiveFloat
    tail_s: Seconds = 12.0  # at most, until all is answered
    seed: int = 1
    gateways: Annotated[int, Field(ge=1)] = 2
    kinds: dict[Name, StandIn] = Field(min_length=1)
    fleet: list[Group] = Field(min_length=1)
    module: Module = Module()
    engines: Engines = Engines()
    # Without `edits` gateways are told of each list, and doubt none.
    membership: Membership = Membership(watch=False, step_share=1.0, persist_ms=0)
    load: Load = Load()
    duties: Duties = (
        Duties()
    )  # `file` is the director's; calls between gateways then pass through a stand-in network
    vocabulary: Vocabularies | None = None
    weights: Weights | None = (
        None  # with `weights` among the duties' names: the director makes the files and the origin
    )
    reports: bool = True
    products: dict[Name, Product] = Field(min_length=1)
    traffic: dict[Name, Traffic] = Field(min_length=1)
    customers: dict[Name, Customer] = {}
    clients: Clients = Clients()
    notice_s: Seconds = 1.0  # the list tells of changes so late
    back_cold: bool = True
    rules: Figures = Figures()
    troubles: list[Trouble] = []
    bytes_per_tok: PositiveFloat = 4.0

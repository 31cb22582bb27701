"""What clients, stand-in workers and discovery saw: the only things that the oracle judges by. Times are monotonic
seconds of this machine."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Attempt:
    """A request that came in at a worker, as its socket showed it."""

    worker: str
    role: str
    began: float  # its first byte
    whole: float | None = None  # its last byte was in the worker's socket
    taken: float | None = (
        None  # the worker took it: later, if it was silent or did not run; None: its connection ended before
    )
    request: str = ""
    gateway: str = ""
    told_ms: int = 0  # the deadline that the worker was told
    ended: float | None = None  # its answer was handed over whole, or its connection ended
    outcome: str = ""  # read, streamed, declined, spoilt, gone
    state_since: float | None = (
        None  # a prefill worker had read the prompt, and holds its KV state from then on
    )
    fetched: float | None = None  # a decode worker had fetched the state and began its stream, or found none
    name: str = ""  # of this attempt, in the marks of its events
    events: list[float] = field(default_factory=list)  # when each got onto its way
    cut_off: bool = False  # its connection was ended while its worker wrote its stream
    pausing: bool = False  # its worker would have written the next event before a client gives up
    departed: float | None = None  # from then on its worker's stream was not sound
    departure: str = ""  # where, and with what
    ended_there: bool = False  # the gateway ended its connection, and not the network
    again: bool = False  # of a request whose client came again with the id of one that had its answer begun
    unchanged: bool = True  # the request came as its client had sent it


@dataclass(slots=True)
class Request:
    """One request of a client."""

    name: str
    product: str
    gateway: str
    limit: float
    begun: float | None = None  # its first byte was handed over
    sent: float | None = None  # its last byte was handed over
    left: float | None = None  # its client closed or reset
    status: int = 0
    began: float | None = None  # the answer's head came
    ended: float | None = None  # the answer was whole, or its connection ended
    whole: bool = False
    gave_up: bool = False  # its client waited no longer
    surplus: bytes = b""  # after the answer
    resent: bool = False  # on a new connection, the kept one having ended unanswered
    stopped: float | None = None  # when it had sent a part, and stopped
    events: list[float] = field(default_factory=list)  # when each came
    last_event: float | None = None  # when the latest came, of those too that end a stream
    content: list[str] = field(default_factory=list)  # what was wrong with the stream's content
    served_by: str = ""  # the attempt whose events came
    retry_after: float | None = None  # seconds, as the answer told them
    fresh: bool = False  # on a connection of its own
    kind: str = "good"  # what its client does: good, leaves, stops, reads slowly


@dataclass(slots=True)
class UnsoundRequest:
    """What a client sent that is no request, on a connection of its own."""

    gateway: str
    point: str  # where it departs from a request's form
    connected: float
    status: int = 0  # of the answer
    ended: float | None = None  # an answer or the connection's end came


@dataclass(slots=True)
class Release:
    """A call that lets go of what is held for a request."""

    request: str
    worker: str
    at: float  # the worker took it


@dataclass(slots=True)
class Pause:
    """A time in which a gateway process did not run, or did not exist."""

    gateway: str
    begin: float
    end: float
    killed: bool = False
    replaced: bool = False  # another process from then on, that was told nothing yet


@dataclass(slots=True)
class Stop:
    """A gateway was told to stop."""

    gateway: str
    told: float  # just before SIGTERM was sent
    ended: float  # its process had ended by itself, or SIGKILL was about to be sent
    killed: bool


@dataclass(slots=True)
class BrokenIo:
    """A time in which a gateway's connections were made to break at reads and writes."""

    gateway: str
    begin: float
    end: float


@dataclass(slots=True)
class Change:
    """Discovery had it that a worker is up again, or drains or is gone."""

    worker: str
    up: bool
    at: float


@dataclass(slots=True)
class Outage:
    """A time in which discovery could not be reached, or was silent."""

    begin: float
    end: float


@dataclass(slots=True)
class Watch:
    """A call that may wait, as discovery took it."""

    gateway: str
    began: float
    wait: float  # seconds


@dataclass(slots=True)
class Told:
    """A worker was listed as draining or gone, in an answer that discovery handed over to a gateway."""

    gateway: str
    worker: str
    at: float


@dataclass(slots=True)
class Start:
    """A worker started cold."""

    worker: str
    role: str
    at: float


@dataclass(slots=True)
class Record:
    """All of one run."""

    settings: dict[str, object]
    attempts: list[Attempt] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    releases: list[Release] = field(default_factory=list)
    unsound_requests: list[UnsoundRequest] = field(default_factory=list)
    pauses: list[Pause] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    crowded: set[str] = field(default_factory=set)  # gateways whose places for clients idle connections fill
    told: list[Told] = field(default_factory=list)
    told_up: list[Told] = field(default_factory=list)  # workers listed as up with a start, as `told`
    starts: list[Start] = field(default_factory=list)
    broken_io: list[BrokenIo] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    watches: list[Watch] = field(default_factory=list)
    joined: set[str] = field(default_factory=set)  # workers that were not there at the start
    places: dict[str, tuple[str, int]] = field(default_factory=dict)  # zone and cell of each worker
    restarts: int = 0  # of gateway processes
    most_retry_after: float = 0.0  # seconds, the most that the settings have allowed
    wrong: list[str] = field(default_factory=list)  # crashes, log lines and what else the run itself found
    troubles: list[str] = field(default_factory=list)  # the story, for people
    lag: float = 0.0  # the longest time in which this harness did not run

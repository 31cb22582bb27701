"""The places of a day: they stay, their processes come and go."""

from dataclasses import dataclass, field

from stackpitch.loop import Child
from stackpitch.rehearse.day import StandIn
from stackpitch.rehearse.dayvocabulary import Which

HOST = "127.0.0.1"
TRAP = "trap"  # an engine that no good list names, on days with edits


@dataclass(slots=True)
class Seat:
    """One engine's."""

    name: str
    kind: str
    made_of: StandIn
    cell: int
    zone: str
    port: int
    control: int
    cold: bool
    child: Child | None = None
    state: str = "ready"  # as the list will tell
    started_unix_ms: int | None = None
    vocabulary: Which = "old"  # on days that have two


@dataclass(slots=True)
class Post:
    """One gateway's."""

    name: str
    number: int
    port: int
    admin: int
    child: Child | None = None
    listed: dict[str, str] = field(default_factory=dict)  # states in its list
    telling: bool = False
    news: int = 0  # calls that were to be made
    votes: str = ""  # its voter's file
    ends: int = 0  # times that a trouble ended its process; the last of them brings it back


@dataclass(slots=True)
class Net:
    """The network between gateways' admin ports; `port` is its control, `links` what each ordered pair calls."""

    port: int
    links: dict[tuple[int, int], int]
    name: str = "network"
    child: Child | None = None


@dataclass(slots=True)
class Source:
    """The origin of weights; `files` by path."""

    port: int
    control: int
    files: dict[str, str] = field(default_factory=dict)
    name: str = "origin"
    child: Child | None = None

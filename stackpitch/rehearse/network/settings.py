"""What the stand-in network is told at its start and by calls."""

from typing import Literal

import msgspec

Kind = Literal["cut", "slow", "hold", "repeat", "reorder", "half-close"]


class Link(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Calls of gateway `sender` to gateway `to` come in at `port` and go on to `target`."""

    sender: int
    to: int
    port: int
    target: tuple[str, int]


class NetworkSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Times in milliseconds."""

    name: str = "network"
    host: str = "127.0.0.1"
    port: int  # for control
    records: str
    seed: int = 1
    links: list[Link]
    connect_ms: float = 1000.0
    patience_ms: float = 30_000.0  # for a receiver's answer, and for a caller that was left without one
    most_calls: int = 2048  # under way at once; more are lost
    latency_ms: float = 0.0  # of each path, beside faults


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One control call. `paths`: from, to. `strength` in milliseconds for slow, repeat and reorder (the longest delay).
    `part`: how many of the messages it strikes."""

    name: str
    on: bool
    kind: Kind = "cut"
    paths: list[tuple[int, int]] = []
    strength: float = 100.0
    part: float = 1.0

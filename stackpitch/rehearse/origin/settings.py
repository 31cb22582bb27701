"""What the stand-in origin is told at its start and by calls."""

from typing import Literal

import msgspec

Kind = Literal["spoil", "refuse", "slow", "breaks"]


class OriginSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """`files`: by path, the names of files on this machine."""

    name: str = "origin"
    host: str = "127.0.0.1"
    port: int
    control_port: int
    records: str
    seed: int = 1
    files: dict[str, str]


class OriginTrouble(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One control call. `strength`: see `Origin`, 0 ends it. `gateways`: those that it strikes, by number; none: all."""

    kind: Kind
    strength: int
    gateways: list[int] = []

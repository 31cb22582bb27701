"""The rules by name, what they go by, and what a breach says."""

from dataclasses import dataclass, field

NAMES = {1: "answered", 2: "effects", 3: "drains", 4: "cold", 5: "pinned"}


@dataclass(slots=True)
class RuleFigures:
    """All in tenths of a millisecond."""

    answer_slack: int
    drain_grace: int
    release: int
    connect: int  # a leg that reached no engine may have taken this long, unseen from outside
    max_legs: int


@dataclass(slots=True)
class Effects:
    """A product, as the rules see it."""

    effect: str
    scope: str
    memory: int


@dataclass(slots=True)
class Breach:
    rule: int
    key: str
    text: str
    story: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Leg:
    """One leg as an engine saw it."""

    engine: str
    key: str
    gen: str
    number: int
    gateway: str
    part: str
    at: int
    end: int | None = None
    refused: bool = False

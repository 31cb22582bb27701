"""The fleet's file and the weights', and how lists come into force."""

from typing import Annotated, Literal

from pydantic import Field, RootModel

from stackpitch.settings.model.base import Milliseconds, Name, PositiveFloat, StrictModel


class Membership(StrictModel):
    """How lists of servers come in and into force."""

    watch: bool = (
        True  # the files, and look at them each poll_ms as well; else they are read at start and when asked
    )
    settle_ms: Milliseconds = 100  # without a change, before files are read
    settle_most_ms: Milliseconds = 3000  # after which they are read though they still change
    poll_ms: PositiveFloat = 1000
    check_ms: PositiveFloat = 10000  # for a check, after which it is given up
    step_share: Annotated[float, Field(gt=0, le=1)] = (
        0.34  # of a role's ready servers that may be missing at once
    )
    step_ms: Milliseconds = 2000
    persist_ms: Milliseconds = 15000  # a list held back is taken once it has stood so long
    flap_count: Annotated[int, Field(ge=3)] = (
        6  # comings and goings of a server in flap_window_ms that keep it out
    )
    flap_window_ms: PositiveFloat = 30000
    flap_calm_ms: Milliseconds = 20000  # without one, before it is taken back


class Listed(StrictModel):
    """One server of the fleet's file."""

    name: Name
    host: str
    port: Annotated[int, Field(ge=1, le=65535)]
    kind: Name
    zone: str = ""
    cell: int = 0
    state: Literal["ready", "draining"] = "ready"
    weight: PositiveFloat = 1.0
    started_unix_ms: Annotated[int, Field(ge=0)] | None = None  # of its latest start; left out: long ago
    vocabulary: Annotated[str, Field(pattern=r"^([0-9a-f]{32})?$")] = (
        ""  # digest of its tokenizer's (docs/duties.md)
    )


class Fleet(StrictModel):
    """`digest`, if it is there, is that of the servers, as `stackpitch fleet check` prints it: a list is then taken only
    when it is whole."""

    version: Annotated[int, Field(ge=0)]
    digest: str = ""
    servers: list[Listed]


class Weights(RootModel[dict[Name, PositiveFloat]]):
    """Weight by server name."""

"""The schemas of the fleet file and the weights file, and how new server lists take effect."""

from typing import Annotated, Literal

from pydantic import Field, RootModel

from stackpitch.settings.model.base import (
    MAX_WHOLE,
    Integer,
    Milliseconds,
    Name,
    PositiveFloat,
    StrictModel,
    Whole,
)


class Membership(StrictModel):
    """How server lists are read and take effect."""

    # Watch the files, and poll them every poll_ms as well; otherwise they are read at start and on request.
    watch: bool = True
    settle_ms: Milliseconds = 100  # files are read once they have not changed for this long
    settle_most_ms: Milliseconds = 3000  # after this they are read even if they still change
    poll_ms: PositiveFloat = 1000
    check_ms: PositiveFloat = 10000  # time limit of a check
    # Share of a role's ready servers that one step may remove; steps are step_ms apart.
    step_share: Annotated[float, Field(gt=0, le=1)] = 0.34
    step_ms: Milliseconds = 2000
    persist_ms: Milliseconds = 15000  # a list that was held back is accepted once unchanged for this long
    # A server that is added or removed this often within flap_window_ms is kept out.
    flap_count: Annotated[int, Field(ge=3, le=MAX_WHOLE)] = 6
    flap_window_ms: PositiveFloat = 30000
    flap_calm_ms: Milliseconds = 20000  # time without such a change before it is accepted again


class Listed(StrictModel):
    """One server of the fleet file."""

    name: Name
    host: str
    port: Annotated[int, Field(ge=1, le=65535)]
    kind: Name
    zone: str = ""
    cell: Integer = 0
    state: Literal["ready", "draining"] = "ready"
    weight: PositiveFloat = 1.0
    started_unix_ms: Whole | None = None  # its latest start; omitted: long ago
    # Digest of its tokenizer's vocabulary (docs/duties.md); empty: unknown.
    vocabulary: Annotated[str, Field(pattern=r"^([0-9a-f]{32})?$")] = ""


class Fleet(StrictModel):
    """The fleet file.

    `digest`, if present, is the digest of the servers as `stackpitch fleet check` prints it; a list is then
    accepted only if it is complete.
    """

    version: Whole
    digest: str = ""
    servers: list[Listed]


class Weights(RootModel[dict[Name, PositiveFloat]]):
    """The weights file: weight by server name."""

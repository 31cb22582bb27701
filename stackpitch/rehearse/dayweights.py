"""The schema of a day's weights: sites and links, models and when they are wanted, edits of links.

Bytes and bytes a second; seconds of the day.
"""

from typing import Annotated

from pydantic import Field

from stackpitch.duties.weights.wanted import Label, Rate
from stackpitch.rehearse.dayvocabulary import Which
from stackpitch.settings.model import StrictModel

Seconds = Annotated[float, Field(ge=0)]


class SiteOfDay(StrictModel):
    bytes_per_s: Rate
    gateways: Annotated[list[Annotated[int, Field(ge=0)]], Field(min_length=1)]


class LinkOfDay(StrictModel):
    bytes_per_s: Rate
    sites: Annotated[list[Label], Field(min_length=1)]


class ModelOfDay(StrictModel):
    """Its bytes are drawn from the seed. `next_at_s`: another version is wanted from then on."""

    size: Annotated[int, Field(ge=1, le=1 << 28)]
    priority: Annotated[int, Field(ge=0, le=99)]
    sites: list[Label]
    piece: Annotated[int, Field(ge=1024, le=1 << 24)] = 65536
    at_s: Seconds = 0.0
    until_s: Seconds | None = None  # withdrawn
    by_s: Seconds | None = None  # wanted by
    next_at_s: Seconds | None = None
    vocabulary: Which | None = None  # that its last version comes with, where the day has two

    def comes_with(self, version: str) -> Which | None:
        return self.vocabulary if version == self.versions()[-1] else None

    def versions(self) -> list[str]:
        return ["1"] if self.next_at_s is None else ["1", "2"]

    def version(self, at: float) -> str | None:
        """None: it is not wanted."""
        if at < self.at_s or (self.until_s is not None and at >= self.until_s):
            return None
        return "2" if self.next_at_s is not None and at >= self.next_at_s else "1"


class LinkEdit(StrictModel):
    """A shared link's capacity from then on."""

    at_s: Seconds
    link: Label
    bytes_per_s: Rate


class Weights(StrictModel):
    """`burst_ms`: what a link may carry in any second beyond its capacity, as time at that capacity. `place_s`: what has
    been wanted for so long at the day's end is in place where nothing was in its way."""

    sites: Annotated[dict[Label, SiteOfDay], Field(min_length=1)]
    links: dict[Label, LinkOfDay] = {}
    models: Annotated[dict[Label, ModelOfDay], Field(min_length=1)]
    edits: list[LinkEdit] = []
    grant_ms: Annotated[float, Field(ge=200, le=10_000)] = 1000
    least_share: Annotated[float, Field(ge=0, le=0.5)] = 0.0
    burst_ms: Annotated[float, Field(ge=0)] = 250.0
    place_s: Seconds = 25.0

    def times(self) -> list[float]:
        """When the wanted file changes, without its first."""
        found = {edit.at_s for edit in self.edits}
        for model in self.models.values():
            found |= {at for at in (model.at_s, model.until_s, model.next_at_s) if at is not None}
        return sorted(found - {0.0})

    def rate(self, link: str, at: float) -> int:
        """The last edit by then."""
        done = [
            edit
            for edit in sorted(self.edits, key=lambda one: one.at_s)
            if edit.link == link and edit.at_s <= at
        ]
        return done[-1].bytes_per_s if done else self.links[link].bytes_per_s

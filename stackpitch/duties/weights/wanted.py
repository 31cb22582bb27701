"""The wanted file: models, the sites that want them, and the links to these sites. It is valid as a whole or not at all.

Sizes in bytes, rates in bytes a second, times in milliseconds. A link's capacity applies to each direction separately.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

from pydantic import Field, ValidationError, model_validator

from stackpitch.duties.weights.errors import WantedRejected
from stackpitch.duties.weights.manifest import Manifest
from stackpitch.settings.load import BadSettings, check, evaluate
from stackpitch.settings.model import HostPort, StrictModel
from stackpitch.settings.model.base import Whole

MAX_FILE_BYTES = 64 * 1024 * 1024
ORIGIN = "origin"  # the name of the origin as a source; no site may have it
# A name that is used for files too: no leading dot, so neither "." nor "..".
Label = Annotated[str, Field(min_length=1, max_length=80, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Rate = Annotated[int, Field(ge=1024, le=1 << 40)]


class Link(StrictModel):
    """A link that several sites share, between them and everything that is not behind it."""

    bytes_per_s: Rate
    sites: Annotated[list[Label], Field(min_length=1, max_length=1024)]


class Site(StrictModel):
    """A site's own link, and its gateways by `module.number`, one of which fetches for the site."""

    bytes_per_s: Rate
    gateways: Annotated[list[Annotated[int, Field(ge=0, le=1023)]], Field(min_length=1, max_length=1024)]


class Model(StrictModel):
    """The wanted version of a model, the sites that want it, and where the origin serves it."""

    version: Label
    priority: Annotated[int, Field(ge=0, le=99)]  # class; 0 is served before 1
    # When it is due; within a class the earlier is served first, those without last.
    by_unix_ms: Whole | None = None
    sites: Annotated[list[Label], Field(max_length=1024)]
    origin: HostPort
    # At the origin; no spaces, no line breaks.
    path: Annotated[str, Field(max_length=1024, pattern=r"^/[!-~]*$")]
    manifest: Manifest
    # The digest of its vocabulary: it is put in service once a change to that is allowed; if empty, at once.
    vocabulary: Annotated[str, Field(pattern=r"^([0-9a-f]{32})?$")] = ""


class Wanted(StrictModel):
    """The content of the wanted file."""

    version: Whole
    grant_ms: Annotated[float, Field(ge=200, le=10_000)] = 1000  # how long a grant lasts at most
    # The minimum share of each link for classes below the highest one that waits.
    least_share: Annotated[float, Field(ge=0, le=0.5)] = 0.0
    links: Annotated[dict[Label, Link], Field(max_length=256)] = {}
    sites: Annotated[dict[Label, Site], Field(min_length=1, max_length=1024)]
    models: Annotated[dict[Label, Model], Field(max_length=256)]

    @model_validator(mode="after")
    def names_are_known_and_once(self) -> "Wanted":
        if ORIGIN in self.sites:
            raise ValueError(
                f"sites.{ORIGIN}: found {ORIGIN!r}; allowed: any other name, as this one is the origin's"
            )
        homes: dict[int, str] = {}
        for name, site in self.sites.items():
            for number in site.gateways:
                if number in homes:
                    raise ValueError(
                        f"sites.{name}.gateways: found {number}; allowed: gateways that no other place names "
                        f"({homes[number]} has it)"
                    )
                homes[number] = name
        groups = [("links", name, link.sites) for name, link in self.links.items()]
        groups += [("models", name, model.sites) for name, model in self.models.items()]
        for kind, name, sites in groups:
            seen = set[str]()
            for member in sites:
                if member not in self.sites:
                    allowed = ", ".join(list(self.sites)[:20]) + (", ..." if len(self.sites) > 20 else "")
                    raise ValueError(f"{kind}.{name}.sites: found {member!r}; allowed: {allowed}")
                if member in seen:
                    raise ValueError(f"{kind}.{name}.sites: found {member!r} twice; allowed: each once")
                seen.add(member)
        return self


def checked(tree: object, path: Path | str) -> Wanted:
    """Validates an evaluated file. Raises WantedRejected."""
    try:
        return check(Wanted, tree, path)
    except BadSettings as error:
        raise WantedRejected(str(path), str(error)) from None


def checked_json(data: bytes, path: Path | str) -> Wanted:
    """Validates JSON. Raises WantedRejected."""
    try:
        return Wanted.model_validate_json(data)
    except ValidationError as error:
        raise WantedRejected(str(path), str(error)) from None


def read(path: Path, given: Mapping[str, str] | None = None) -> Wanted:
    """Reads and validates the file. Blocks: run it off the event loop. Raises WantedRejected."""
    try:
        size = path.stat().st_size
        if size > MAX_FILE_BYTES:
            raise WantedRejected(
                str(path), f"{path}: (whole): found {size} bytes; allowed: at most {MAX_FILE_BYTES}"
            )
        return checked(evaluate(path, given), path)
    except OSError as error:
        raise WantedRejected(str(path), f"{path}: {error.strerror}") from None
    except BadSettings as error:
        raise error if isinstance(error, WantedRejected) else WantedRejected(str(path), str(error)) from None

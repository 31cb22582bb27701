"""The wanted file: models, the sites that want them, and the links to these. Taken whole or not at all.

Bytes and bytes a second; milliseconds. A link's capacity counts for each direction by itself.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

from pydantic import Field, ValidationError, model_validator

from stackpitch.duties.weights.errors import WantedRejected
from stackpitch.duties.weights.manifest import Manifest
from stackpitch.settings.load import BadSettings, check, evaluate
from stackpitch.settings.model import HostPort, StrictModel

LARGEST = 64 * 1024 * 1024  # bytes of the file
ORIGIN = "origin"  # the name of the origin among the sources; no site may have it
# A name that becomes a file's: no leading dot, so neither "." nor "..".
Label = Annotated[str, Field(min_length=1, max_length=80, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Rate = Annotated[int, Field(ge=1024, le=1 << 40)]


class Link(StrictModel):
    """A link that several sites share, between them and all that is not behind it."""

    bytes_per_s: Rate
    sites: Annotated[list[Label], Field(min_length=1, max_length=1024)]


class Site(StrictModel):
    """A site's own link, and its gateways by `module.number`; the first that is heard is its receiver."""

    bytes_per_s: Rate
    gateways: Annotated[list[Annotated[int, Field(ge=0, le=1023)]], Field(min_length=1, max_length=1024)]


class Model(StrictModel):
    version: Label
    priority: Annotated[int, Field(ge=0, le=99)]  # class; 0 goes before 1
    by_unix_ms: Annotated[int, Field(ge=0)] | None = (
        None  # wanted by; within a class the earlier first, those without last
    )
    sites: Annotated[list[Label], Field(max_length=1024)]
    origin: HostPort
    path: Annotated[
        str, Field(max_length=1024, pattern=r"^/[!-~]*$")
    ]  # at the origin; no spaces, no line ends
    manifest: Manifest
    # Digest of the vocabulary that it comes with: it is put in service once a change to that one is allowed. Empty: at once.
    vocabulary: Annotated[str, Field(pattern=r"^([0-9a-f]{32})?$")] = ""


class Wanted(StrictModel):
    version: Annotated[int, Field(ge=0)]
    grant_ms: Annotated[float, Field(ge=200, le=10_000)] = 1000  # how long a grant lasts at most
    least_share: Annotated[float, Field(ge=0, le=0.5)] = (
        0.0  # of each link, for classes below the highest that waits
    )
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
            for one in sites:
                if one not in self.sites:
                    allowed = ", ".join(list(self.sites)[:20]) + (", ..." if len(self.sites) > 20 else "")
                    raise ValueError(f"{kind}.{name}.sites: found {one!r}; allowed: {allowed}")
                if one in seen:
                    raise ValueError(f"{kind}.{name}.sites: found {one!r} twice; allowed: each once")
                seen.add(one)
        return self


def checked(tree: object, path: Path | str) -> Wanted:
    """Raises WantedRejected."""
    try:
        return check(Wanted, tree, path)
    except BadSettings as wrong:
        raise WantedRejected(str(path), str(wrong)) from None


def checked_json(data: bytes, path: Path | str) -> Wanted:
    """Raises WantedRejected."""
    try:
        return Wanted.model_validate_json(data)
    except ValidationError as wrong:
        raise WantedRejected(str(path), str(wrong)) from None


def read(path: Path, given: Mapping[str, str] | None = None) -> Wanted:
    """Raises WantedRejected. Reads the disk: to be called aside."""
    try:
        size = path.stat().st_size
        if size > LARGEST:
            raise WantedRejected(
                str(path), f"{path}: (whole): found {size} bytes; allowed: at most {LARGEST}"
            )
        return checked(evaluate(path, given), path)
    except OSError as wrong:
        raise WantedRejected(str(path), f"{path}: {wrong.strerror}") from None
    except BadSettings as wrong:
        raise wrong if isinstance(wrong, WantedRejected) else WantedRejected(str(path), str(wrong)) from None

"""The bodies of this task's calls. From the owner, under its term: `begin`, `place`, `grant`, `service`. To it: `report`.

Each answer to the owner also carries a report, so that the owner knows a receiver's mark and state without delay.
"""

from typing import Annotated

import msgspec

from stackpitch.duties.weights.grants.grant import Lane, Mark
from stackpitch.loop import Time

Label = Annotated[str, msgspec.Meta(min_length=1, max_length=80, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z")]
Bits = Annotated[str, msgspec.Meta(max_length=1100, pattern=r"^[0-9a-f]*\Z")]  # a bit set of pieces, in hex
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]


class Begin(msgspec.Struct, frozen=True):
    """The owner asks for a report. A new term ends older grants. `site`: the gateway's site."""

    site: str


class Place(msgspec.Struct, frozen=True):
    """A version that the site should hold, with its manifest."""

    model: Label
    version: Label
    size: Annotated[int, msgspec.Meta(ge=1, le=1 << 50)]
    piece: Annotated[int, msgspec.Meta(ge=1, le=1 << 30)]
    whole: Digest
    pieces: Annotated[tuple[Digest, ...], msgspec.Meta(max_length=4096)]
    serial: int = 0  # increases within a term, so that a late copy of an earlier call has no effect


class Release(msgspec.Struct, frozen=True):
    """Puts this version in service at the site; "" withdraws the model there."""

    model: Label
    version: Annotated[str, msgspec.Meta(max_length=80, pattern=r"^([A-Za-z0-9][A-Za-z0-9._-]*)?\Z")]
    serial: int = 0  # as in `Place`


class Have(msgspec.Struct, frozen=True):
    """One version at a gateway. `known`: it has the manifest."""

    model: str
    version: str
    whole: str = ""  # digest of the complete file; if not the owner's, it is not the same version
    pieces: Bits = ""  # the pieces it has; empty if the version is placed
    placed: bool = False
    released: bool = False
    known: bool = True
    trouble: str = ""  # the `word` of an error that this version alone has


class Ran(msgspec.Struct, frozen=True):
    """The progress of a grant: `took` bytes in the time `lasted`. `done`: nothing was left to fetch under it."""

    lane: Lane
    serial: int
    took: int
    lasted: Time
    done: bool = False


class Spoilt(msgspec.Struct, frozen=True):
    """A source that is not asked for one version, or for any if `model` is "" (it does not answer)."""

    source: str
    model: str = ""
    version: str = ""


class Trouble(msgspec.Struct, frozen=True):
    """An error's `word` and text."""

    word: str
    text: str


class Report(msgspec.Struct, frozen=True):
    """The complete state of a gateway. Each replaces the one before, so reports may be lost or repeated."""

    site: str
    gateway: int
    mark: Mark
    revenue: float = 0.0  # of the requests that wait at this gateway
    have: Annotated[tuple[Have, ...], msgspec.Meta(max_length=1024)] = ()
    ran: Annotated[tuple[Ran, ...], msgspec.Meta(max_length=256)] = ()
    spoilt: Annotated[tuple[Spoilt, ...], msgspec.Meta(max_length=256)] = ()
    trouble: Trouble | None = None  # the disk can't be written: no grants until this is over


class Present(msgspec.Struct, frozen=True):
    """Sent with a gateway's acceptance of an announced owner."""

    revenue: Annotated[float, msgspec.Meta(ge=0)]  # of the requests that wait there


def bits(pieces: int) -> str:
    """A bit set of pieces in hex."""
    return f"{pieces:x}" if pieces else ""


def pieces(text: str) -> int:
    """The inverse of `bits`."""
    return int(text, 16) if text else 0

"""What passed: the origin's parts, and those between neighbours as the network handed them on."""

from collections.abc import Iterable
from dataclasses import dataclass

from stackpitch.loop import Time
from stackpitch.rehearse.judging.weights.country import ORIGIN, Country, Key
from stackpitch.rehearse.records import Record


@dataclass(frozen=True, slots=True)
class Transfer:
    at: Time
    source: str
    site: str
    model: str
    version: str
    first: int  # its first byte's place in the file
    size: int
    path: tuple[Key, ...]


def read(records: Iterable[Record], country: Country) -> list[Transfer]:
    """By time. What a gateway of no site asked for is left out."""
    found = []
    for one in records:
        if one["what"] == "served":
            model, _, version = one["path"].strip("/").partition("/")
            source, site = ORIGIN, country.site(one["to"])
        elif one["what"] == "part" and one["status"] == 206:
            model, _, version = one["path"].removeprefix("/weights/").partition("/")
            source, site = country.site(one["to"]) or "", country.site(one["sender"])
        else:
            continue
        if site is not None and source and source != site:
            path = tuple(country.path(source, site, one["at"]))
            found.append(Transfer(one["at"], source, site, model, version, one["first"], one["size"], path))
    return found

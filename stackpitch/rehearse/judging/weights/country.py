"""What was wanted when: the director's notes of the wanted file, and by them which links a transfer crosses.

A shared link lies between the sites behind it and all else, so a transfer crosses it if just one of its ends is behind it.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from stackpitch.loop import MS, Time
from stackpitch.rehearse.records import Record

ORIGIN = "origin"
Key = tuple[str, str]  # a link and "down" or "up"; a site's own link is "@site"


@dataclass(frozen=True, slots=True)
class Model:
    version: str
    priority: int
    sites: tuple[str, ...]
    size: int
    piece: int
    whole: str


@dataclass(slots=True)
class Edition:
    """The wanted file from `at` on. Rates in bytes a second."""

    at: Time
    grant: Time
    rates: dict[str, int]  # of shared links and, as "@site", of sites
    behind: dict[str, tuple[str, ...]]  # sites by shared link
    home: dict[int, str]  # gateways' sites
    models: dict[str, Model]


@dataclass(slots=True)
class Country:
    editions: list[Edition] = field(default_factory=list)
    classes: dict[str, int] = field(default_factory=dict)  # by model, as it was wanted last
    wholes: dict[tuple[str, str], str] = field(default_factory=dict)  # digests by model and version
    vocabularies: dict[tuple[str, str], str] = field(default_factory=dict)  # likewise; of those that name one

    def at(self, when: Time) -> Edition:
        """The file as it was; before the first one, that."""
        return self.editions[max(0, bisect_right(self.editions, when, key=lambda one: one.at) - 1)]

    def site(self, gateway: int | None) -> str | None:
        for one in reversed(self.editions):
            if gateway in one.home:
                return one.home[gateway]
        return None

    def path(self, source: str, site: str, when: Time) -> list[Key]:
        found = [(f"@{source}", "up")] if source != ORIGIN else []
        for link, sites in self.at(when).behind.items():
            if (source in sites) != (site in sites):
                found.append((link, "down" if site in sites else "up"))
        return [*found, (f"@{site}", "down")]

    def rate(self, link: str, begin: Time, end: Time) -> int:
        """The highest that was in force at any time in between."""
        later = [one.rates.get(link, 0) for one in self.editions if begin < one.at <= end]
        return max([self.at(begin).rates.get(link, 0), *later])


def read(records: Iterable[Record]) -> Country:
    found = Country()
    for one in records:
        if one["what"] != "wanted":
            continue
        models = {
            name: Model(
                model["version"],
                model["priority"],
                tuple(model["sites"]),
                model["size"],
                model["piece"],
                model["whole"],
            )
            for name, model in one["models"].items()
        }
        rates = {name: link["bytes_per_s"] for name, link in one["links"].items()}
        rates |= {f"@{name}": site["bytes_per_s"] for name, site in one["sites"].items()}
        found.editions.append(
            Edition(
                one["at"],
                round(one["grant_ms"] * MS),
                rates,
                {name: tuple(link["sites"]) for name, link in one["links"].items()},
                {number: name for name, site in one["sites"].items() for number in site["gateways"]},
                models,
            )
        )
        found.classes |= {name: model.priority for name, model in models.items()}
        found.vocabularies |= {
            (name, model["version"]): model["vocabulary"]
            for name, model in one["models"].items()
            if model.get("vocabulary")
        }
        found.wholes |= {(name, model.version): model.whole for name, model in models.items()}
    return found

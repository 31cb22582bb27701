"""When a site could have used a shared link for a model: its gateways there, its disk and the origin well, an owner settled.

Everything here errs towards "could not": what a verdict rests on has to be sure.
"""

from collections import defaultdict
from collections.abc import Iterable

from stackpitch.loop import SECOND, Time
from stackpitch.rehearse.judging import calm
from stackpitch.rehearse.judging.acts import Act
from stackpitch.rehearse.judging.holds import ASKING
from stackpitch.rehearse.judging.lives import FOREVER, Lives, Span
from stackpitch.rehearse.judging.weights.country import Country
from stackpitch.rehearse.records import Record

SETTLES: Time = (
    5 * SECOND
)  # after trouble with a gateway: another receiver is taken, or the same one heard again
DISK: Time = 17 * SECOND  # after a full disk: a receiver tries again every 10 s, and looks every 5
SPOILT: Time = 62 * SECOND  # a source that gave wrong bytes is left alone for a minute
FAILED: Time = 2 * SECOND  # one that refused, for this, doubled each time in a row
OWNED: Time = 4 * SECOND  # a new owner asks all gateways, and waits out what the last one granted


class Able:
    """`sites`: by site, when it could not for any model; `models`: for one; `owners`: nobody planned."""

    def __init__(self, records: list[Record], acts: Iterable[Act], lives: Lives, country: Country) -> None:
        self.sites: dict[str, list[Span]] = defaultdict(list)
        self.models: dict[tuple[str, str], list[Span]] = defaultdict(list)
        self.owners: list[Span] = []
        self.gateways: dict[int, list[Span]] = defaultdict(list)
        for number, site in country.editions[-1].home.items():
            self.gateways[number] = [
                (begin, min(end + SETTLES, FOREVER)) for begin, end in lives.away(number)
            ]
            self.sites[site] += self.gateways[number]
        for pair, spans in calm.faults(records).pairs.items():
            for number in pair:
                late = [(begin, min(end + SETTLES, FOREVER)) for begin, end in spans]
                self.gateways[number] += late
                self.sites[country.site(number) or ""] += late
        self._disks(records)
        self._origin(records, country)
        self._owners(acts)

    def _disks(self, records: list[Record]) -> None:
        full: dict[str, Time] = {}
        for one in records:
            if one["what"] == "disk" and one["full"]:
                full[one["site"]] = one["at"]
            elif one["what"] == "disk" and one["site"] in full:
                self.sites[one["site"]].append((full.pop(one["site"]), one["at"] + DISK))
        for site, since in full.items():
            self.sites[site].append((since, FOREVER))

    def _origin(self, records: list[Record], country: Country) -> None:
        """While it is ill for one of a site's gateways, and as long after as that one leaves it alone."""
        ill: dict[str, tuple[Time, list[int]]] = {}
        refusals: dict[str, list[Time]] = defaultdict(list)
        for one in records:
            at = one["at"]
            if one["what"] == "ill":
                since, numbers = ill.pop(one["kind"], (at, list[int]()))
                for site in {country.site(number) or "" for number in numbers}:
                    self.sites[site].append((since, at + SETTLES))
                if one["strength"]:
                    ill[one["kind"]] = at, one["gateways"] or list(country.editions[-1].home)
            elif one["what"] == "served" and one["spoilt"]:
                self.models[country.site(one["to"]) or "", one["path"].strip("/").split("/")[0]].append(
                    (at, at + SPOILT)
                )
            elif one["what"] == "turned away":
                site = country.site(one["to"]) or ""
                before = refusals[site] = [*(when for when in refusals[site] if at - when < SPOILT), at]
                self.sites[site].append((at, at + min(SPOILT, FAILED << min(len(before), 10))))
        for since, numbers in ill.values():
            for site in {country.site(number) or "" for number in numbers}:
                self.sites[site].append((since, FOREVER))

    def _owners(self, acts: Iterable[Act]) -> None:
        """From trouble with an owner, or the first sign of its successor, until that has had time to plan."""
        signs: dict[tuple[int, int], tuple[Time, int]] = {}
        for act in acts:
            if act.duty == "weights" and act.stamp[0] and act.kind not in ASKING:
                signs.setdefault(act.stamp, (act.came, act.sender))
        terms = sorted(signs.values())
        for number, (begin, owner) in enumerate(terms):
            end = terms[number + 1][0] if number + 1 < len(terms) else FOREVER
            self.owners.append((begin - OWNED if number else 0, begin + OWNED))
            self.owners += [
                (since, min(until, end + OWNED))
                for since, until in self.gateways[owner]
                if since < end and until > begin
            ]
        if not terms:
            self.owners.append((0, FOREVER))

    def through(self, site: str, model: str, begin: Time, end: Time) -> bool:
        """Nothing was in the way at any time in between."""
        spans = [*self.sites[site], *self.models[site, model], *self.owners]
        return not any(since < end and until > begin for since, until in spans)

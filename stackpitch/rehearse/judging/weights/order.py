"""W2: no byte of a lower class crosses a shared link while a higher one could have used it, but for one grant's time.

A higher model could have used the link if, all through the time before, a site behind it that could wanted it, had room on
its own link, and more of the model had still to cross the shared link than grants that run may hold already. What crosses
in a second all the same is a breach if it is more than `SLACK` of the capacity: rates are whole steps, and a lane's last
slice may be under way.
"""

from collections import defaultdict
from collections.abc import Iterable

from stackpitch.loop import SECOND, Time
from stackpitch.rehearse.judging.weights.able import Able
from stackpitch.rehearse.judging.weights.country import Country, Edition, Model
from stackpitch.rehearse.judging.weights.transfers import Transfer
from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules import Breach

SLACK = 0.15  # of the shared link's capacity, in a second
FULL = 0.7  # a site whose own link carries so much of its class or higher has no room
PLANS: Time = SECOND  # beyond a grant's time: a plan, the way of a report, the pace of a new lane
OPENS: Time = SECOND  # from when a model is told until the sites have asked to be granted


class Order:
    def __init__(
        self, transfers: list[Transfer], country: Country, able: Able, records: Iterable[Record], told: Time
    ) -> None:
        self.transfers, self.country, self.able, self.told = transfers, country, able, told
        self.placed: dict[tuple[str, str, str], Time] = {}
        for one in records:
            if one["what"] == "placed":
                self.placed.setdefault((one["site"], one["model"], one["version"]), one["at"])
        self.crossed: dict[tuple[str, str, str], set[int]] = defaultdict(
            set
        )  # link, model, version: pieces begun
        self.recent: list[Transfer] = []

    def class_of(self, one: Transfer) -> int:
        return self.country.classes.get(one.model, 99)

    def verdict(self, rule: int) -> list[Breach]:
        carried: dict[tuple[str, str, str], list[tuple[Time, int]]] = defaultdict(list)
        worst: dict[tuple[str, str, str], tuple[float, Time, str]] = {}
        begin = 0
        for number, one in enumerate(self.transfers):
            now = self.country.at(one.at)
            while self.transfers[begin].at <= one.at - SECOND:
                begin += 1
            self.recent = self.transfers[begin:number]
            for link in [name for name, way in one.path if way == "down" and not name.startswith("@")]:
                for name, site in self.unused(link, one, now):
                    key = link, name, site
                    carried[key] = [
                        *(old for old in carried[key] if old[0] > one.at - SECOND),
                        (one.at, one.size),
                    ]
                    share = sum(size for _, size in carried[key]) / max(1, now.rates.get(link, 0))
                    if share > max(SLACK, worst.get(key, (0.0,))[0]):
                        worst[key] = share, one.at, one.model
                model = now.models.get(one.model)
                if model is not None:
                    self.crossed[link, one.model, one.version].add(one.first // model.piece)
        return [
            Breach(
                rule,
                link,
                f"{link} carried {share:.0%} of its capacity in a second for {lower} while {site} could "
                f"have had more of {name} over it",
                [f"the second up to {at / 10:.1f} ms"],
            )
            for (link, name, site), (share, at, lower) in sorted(worst.items())
        ]

    def unused(self, link: str, one: Transfer, now: Edition) -> list[tuple[str, str]]:
        """Higher models, and sites, that could have had this part's place."""
        mine, found = self.class_of(one), []
        for name, model in now.models.items():
            if model.priority < mine and self.left(link, name, model, now):
                found += [
                    (name, site)
                    for site in model.sites
                    if site in now.behind.get(link, ()) and self.could(name, model, site, one.at, now)
                ]
        return found

    def left(self, link: str, name: str, model: Model, now: Edition) -> bool:
        """More pieces have still to cross than running grants may hold: one grant's time of each site's own link, and one
        piece."""
        pieces = -(-model.size // model.piece) - len(self.crossed[link, name, model.version])
        held = sum(
            now.rates[f"@{site}"] * now.grant // SECOND + model.piece
            for site in model.sites
            if site in now.behind.get(link, ())
        )
        return pieces * model.piece > held

    def could(self, name: str, model: Model, site: str, at: Time, now: Edition) -> bool:
        since = at - now.grant - PLANS
        if self.placed.get((site, name, model.version), at) < at or not self.able.through(
            site, name, since, at
        ):
            return False
        for edition in reversed(self.country.editions):  # the same file has been known for long enough
            if edition.at <= at and edition.at + self.told + OPENS > since:
                if edition.models.get(name) != model or edition.rates != now.rates:
                    return False
            elif edition.at <= at:
                if edition.models.get(name) != model or edition.rates != now.rates:
                    return False
                break
        else:
            return False
        room = sum(
            other.size
            for other in self.recent
            if other.site == site and self.class_of(other) <= model.priority
        )
        return room < FULL * now.rates[f"@{site}"]

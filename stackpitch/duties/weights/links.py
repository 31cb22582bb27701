"""Which links a transfer crosses, each in one direction, and what it costs there. Pure.

A shared link lies between the sites behind it and everything else: a transfer crosses it if just one of its two ends is
behind it. The origin is behind none. A site's own link is crossed by all that comes to it or leaves it.
"""

from stackpitch.duties.weights.wanted import ORIGIN, Wanted

Key = tuple[
    str, str
]  # a link and a direction, "down" to the sites or "up" from them; a site's own link is "@site"


class Links:
    def __init__(self, wanted: Wanted) -> None:
        self.capacity: dict[Key, int] = {}  # bytes a second
        self.behind: dict[str, tuple[str, ...]] = {ORIGIN: ()}  # the shared links of each site
        # By source and site, filled as they are asked for; they go with this object.
        self.paths: dict[tuple[str, str], tuple[Key, ...]] = {}
        self.costs: dict[tuple[str, str], float] = {}
        self.narrow: dict[tuple[str, str], int] = {}
        self.cheaper_ones: dict[str, frozenset[str]] = {}
        for name, link in wanted.links.items():
            self.capacity[name, "down"] = self.capacity[name, "up"] = link.bytes_per_s
        for name, site in wanted.sites.items():
            self.capacity[f"@{name}", "down"] = self.capacity[f"@{name}", "up"] = site.bytes_per_s
            self.behind[name] = tuple(link for link, one in wanted.links.items() if name in one.sites)

    def path(self, source: str, site: str) -> tuple[Key, ...]:
        found = self.paths.get((source, site))
        if found is None:
            mine, other = self.behind[site], self.behind[source]
            links = [(f"@{source}", "up")] if source != ORIGIN else []
            links += [(name, "up") for name in other if name not in mine]
            links += [(name, "down") for name in mine if name not in other]
            found = self.paths[source, site] = (*links, (f"@{site}", "down"))
        return found

    def cost(self, source: str, site: str) -> float:
        """Seconds of shared links that a byte takes: 0 between neighbours."""
        found = self.costs.get((source, site))
        if found is None:
            found = self.costs[source, site] = sum(
                1 / self.capacity[key] for key in self.path(source, site) if not key[0].startswith("@")
            )
        return found

    def cheaper(self, site: str) -> frozenset[str]:
        """The sites from which a byte comes cheaper than from the origin."""
        found = self.cheaper_ones.get(site)
        if found is None:
            most = self.cost(ORIGIN, site)
            found = self.cheaper_ones[site] = frozenset(
                other
                for other in self.behind
                if other not in (site, ORIGIN) and self.cost(other, site) < most
            )
        return found

    def narrowest(self, source: str, site: str) -> int:
        found = self.narrow.get((source, site))
        if found is None:
            found = self.narrow[source, site] = min(self.capacity[key] for key in self.path(source, site))
        return found

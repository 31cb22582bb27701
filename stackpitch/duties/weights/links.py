"""Which links a transfer crosses, each in one direction, and the cost of doing so. Pure.

A shared link lies between the sites behind it and everything else: a transfer crosses it if exactly one of its two ends
is behind it. The origin is behind none. A site's own link is crossed by everything that enters or leaves the site.
"""

from stackpitch.duties.weights.wanted import ORIGIN, Wanted

# A link and a direction, "down" to the sites or "up" from them; a site's own link is "@site".
Key = tuple[str, str]


class Links:
    """The links of one wanted set."""

    def __init__(self, wanted: Wanted) -> None:
        self.capacity: dict[Key, int] = {}  # bytes a second
        self.behind: dict[str, tuple[str, ...]] = {ORIGIN: ()}  # the shared links of each site
        # Caches by source and site, filled on first use; they live as long as this object.
        self.paths: dict[tuple[str, str], tuple[Key, ...]] = {}
        self.costs: dict[tuple[str, str], float] = {}
        self.narrowest_rates: dict[tuple[str, str], int] = {}
        self.cheaper_sites: dict[str, frozenset[str]] = {}
        for name, link in wanted.links.items():
            self.capacity[name, "down"] = self.capacity[name, "up"] = link.bytes_per_s
        for name, site in wanted.sites.items():
            self.capacity[f"@{name}", "down"] = self.capacity[f"@{name}", "up"] = site.bytes_per_s
            self.behind[name] = tuple(link for link, one in wanted.links.items() if name in one.sites)

    def path(self, source: str, site: str) -> tuple[Key, ...]:
        """The links from a source to a site."""
        found = self.paths.get((source, site))
        if found is None:
            site_links, source_links = self.behind[site], self.behind[source]
            links = [(f"@{source}", "up")] if source != ORIGIN else []
            links += [(name, "up") for name in source_links if name not in site_links]
            links += [(name, "down") for name in site_links if name not in source_links]
            found = self.paths[source, site] = (*links, (f"@{site}", "down"))
        return found

    def cost(self, source: str, site: str) -> float:
        """Seconds of shared links that a byte takes; 0 between neighbours."""
        found = self.costs.get((source, site))
        if found is None:
            found = self.costs[source, site] = sum(
                1 / self.capacity[key] for key in self.path(source, site) if not key[0].startswith("@")
            )
        return found

    def cheaper(self, site: str) -> frozenset[str]:
        """The sites from which a byte costs less than from the origin."""
        found = self.cheaper_sites.get(site)
        if found is None:
            origin_cost = self.cost(ORIGIN, site)
            found = self.cheaper_sites[site] = frozenset(
                other
                for other in self.behind
                if other not in (site, ORIGIN) and self.cost(other, site) < origin_cost
            )
        return found

    def narrowest(self, source: str, site: str) -> int:
        """The least capacity on the path, in bytes a second."""
        found = self.narrowest_rates.get((source, site))
        if found is None:
            found = self.narrowest_rates[source, site] = min(
                self.capacity[key] for key in self.path(source, site)
            )
        return found

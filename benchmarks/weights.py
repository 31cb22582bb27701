"""Weights to the sites: time to the last byte against its bound, use of links, bytes over shared links, cost of a plan.

    python -m benchmarks.weights [--sites 2 10 50]

The planner itself, in simulated time: calls take 10 to 20 ms each way, bytes flow at the granted rate, and receivers are
those of `rehearse.sites`. So it tells what the decisions cost and leave unused, not what disks, TCP or hashing do.
"""

import argparse
from time import perf_counter

from stackpitch.duties.weights.wanted import Wanted, checked
from stackpitch.loop import MS, SECOND
from stackpitch.rehearse.sites import Country

MB = 1_000_000
CAPACITY, PIECE = 100 * MB, 8 * MB


def wanted(sites: int, own: int, models: list[tuple[int, int]]) -> Wanted:
    """Regions of at most ten sites; each model (class, bytes) at all of them."""
    regions = -(-sites // 10)
    names = [[f"s{region}-{number}" for number in range(region, sites, regions)] for region in range(regions)]
    every = [name for region in names for name in region]
    return checked(
        {
            "version": 1,
            "sites": {name: {"bytes_per_s": own, "gateways": [number]} for number, name in enumerate(every)},
            "links": {
                f"u{number}": {"bytes_per_s": CAPACITY, "sites": region}
                for number, region in enumerate(names)
            },
            "models": {
                f"m{number}": {
                    "version": "1",
                    "priority": priority,
                    "sites": every,
                    "origin": "127.0.0.1:9",
                    "path": "/m",
                    "manifest": {
                        "size": size,
                        "piece": PIECE,
                        "whole": "0" * 64,
                        "pieces": ["0" * 64] * -(-size // PIECE),
                    },
                }
                for number, (priority, size) in enumerate(models)
            },
        },
        "benchmark",
    )


def bound(country: Country, size: int) -> float:
    """Seconds: bytes over the shared link's capacity, or over a site's own link; or, where all of a region's copies but
    the first leave by its sites' own links, those over all of these together."""
    found = 0.0
    for link in country.wanted.links.values():
        own = country.wanted.sites[link.sites[0]].bytes_per_s
        copies = len(link.sites)
        found = max(found, size / link.bytes_per_s, size / own, size * (copies - 1) / (copies * own))
    return found


def spread(sites: int, own: int) -> None:
    """One model of the top class to all."""
    size, country = 1000 * MB, Country(wanted(sites, own, [(0, 1000 * MB)]))
    country.own()
    country.run(600 * SECOND, lambda: len(country.done) == sites)
    took, least = max(country.done.values()) / SECOND, bound(country, size)
    over = [country.bytes_over(link) / size for link in country.wanted.links]
    print(
        f"{sites:>5} {own // MB:>6} {took:>8.2f} {least:>7.2f} {took / least:>6.2f} {max(over):>8.3f} "
        f"{sum(over) / len(over) * size / (CAPACITY * took):>7.2f} {len(country.over):>5}"
    )


def classes(sites: int) -> None:
    """Three classes at once, an urgent model after 3 s; when each is at every site."""
    models = [(2, 800 * MB), (1, 400 * MB), (0, 200 * MB)]
    country = Country(wanted(sites, 2 * CAPACITY, models))
    country.own()
    country.run(3 * SECOND)
    tree = wanted(sites, 2 * CAPACITY, [*models, (0, 100 * MB)])
    country.renew(tree)
    country.run(600 * SECOND, lambda: len(country.done) == sites * 4)
    ends = {
        name: max(at for (_, (model, _)), at in country.done.items() if model == name) / SECOND
        for name in tree.models
    }
    total = sum(size for _, size in models) + 100 * MB
    print(
        f"{sites:>5}  top {ends['m2']:.2f} (2.00)  urgent {ends['m3'] - 3:.2f} after it was wanted (1.00)  "
        f"middle {ends['m1']:.2f} (7.00)  low {ends['m0']:.2f} ({total / CAPACITY:.2f})  over capacity {len(country.over)}"
    )


def plans(sites: int) -> None:
    """What one plan costs here, with five models missing everywhere."""
    country = Country(wanted(sites, CAPACITY, [(number, 1000 * MB) for number in range(5)]))
    owner = country.own()
    country.run(2 * SECOND)
    took = []
    for number in range(30):
        begun = perf_counter()
        owner.plan(country.now + number * MS)
        took.append((perf_counter() - begun) * 1000)
    took.sort()
    print(f"{sites:>5} p50 {took[15]:.2f} ms, most {took[-1]:.2f} ms")


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--sites", type=int, nargs="+", default=[2, 10, 50])
    counts = words.parse_args().sites
    print(
        "1 GB to all sites, 100 MB/s shared by ten; times in s; shared: bytes over it, 1 is once per region"
    )
    print("sites own MB/s    took   bound  ratio   shared    used  over")
    for sites in counts:
        for own in (200 * MB, 100 * MB, 40 * MB):
            spread(sites, own)
    print("classes, own links of 200 MB/s; s until at all sites (bound)")
    for sites in counts:
        classes(sites)
    print("one plan, five models missing everywhere")
    for sites in counts:
        plans(sites)


if __name__ == "__main__":
    main()

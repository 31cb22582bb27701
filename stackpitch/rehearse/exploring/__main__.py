"""Explores one size, with or without a bug: states, depth and seconds, or the shortest story of a breach."""

import argparse
from dataclasses import fields

from stackpitch.rehearse.exploring.search import BUGS, Size, explore


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    for one in fields(Size):
        parser.add_argument(f"--{one.name}", type=int, default=one.default, metavar="N")
    parser.add_argument("--bug", action="append", default=[], choices=BUGS)
    parser.add_argument("--most", type=int, default=5_000_000, metavar="STATES")
    parser.add_argument("--seconds", type=float, default=3600.0)
    asked = parser.parse_args()
    size = Size(**{one.name: getattr(asked, one.name) for one in fields(Size)})
    found = explore(size, frozenset(asked.bug), asked.most, asked.seconds)
    end = (
        "a breach"
        if found.story
        else "none unexplored, no breach"
        if found.whole
        else "not explored to the end"
    )
    print(f"{size}: {found.states} states, depth {found.depth}, {found.seconds:.1f} s: {end}")
    for number, line in enumerate(found.story or (), 1):
        print(f"{number:4} {line}")
    return 0 if found.whole and not found.story else 1


raise SystemExit(main())

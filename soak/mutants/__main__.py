"""`python -m soak.mutants [NAME ...]`: plays mutants on seeds until each is found.

Exit 0: all that acted were found; 1: not all; 2: not run. Seeds are played beside each other, one process for each,
`--lanes` at once. A mutant is found on a seed if the oracle has a break there; whether it acted is counted by the mutant
itself.
"""

import argparse
import multiprocessing
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from soak.mutants import MUTANTS
from soak.mutants.searching import searched
from soak.playing import Setup
from soak.shim import NoCompiler, build

SEEDS, LANES, SECONDS, GATEWAYS = 20, 8, 18.0, 6


def main() -> int:
    words = argparse.ArgumentParser(prog="python -m soak.mutants", description=__doc__)
    words.add_argument("names", nargs="*", help="of mutants; none: all")
    words.add_argument("--list", action="store_true", help="one a line, with its term")
    words.add_argument("--seed", type=int, default=1, help="the first")
    words.add_argument("--seeds", type=int, default=SEEDS, help="so many at most for each")
    words.add_argument("--lanes", type=int, default=LANES, help="so many at once")
    words.add_argument("--seconds", type=float, default=SECONDS)
    words.add_argument("--gateways", type=int, default=GATEWAYS)
    given = words.parse_args()
    names = given.names or list(MUTANTS)
    if unknown := [one for one in names if one not in MUTANTS]:
        print(f"not run: no mutant is named {', '.join(unknown)}; --list names all")
        return 2
    if given.list:
        print("\n".join(f"{name:30} {MUTANTS[name].term:18} {MUTANTS[name].what}" for name in names))
        return 0
    try:
        library = build(Path(tempfile.mkdtemp(prefix="soak-shim-")))
    except NoCompiler as wrong:
        print(f"not run: {wrong}")
        return 2
    with ProcessPoolExecutor(given.lanes, multiprocessing.get_context("spawn")) as lanes:
        begun = [
            lanes.submit(
                searched,
                name,
                given.seed,
                given.seeds,
                Setup(library, given.seconds, given.gateways, ("-m", "soak.broken", name)),
            )
            for name in names
        ]
        searches = []
        for one in begun:
            searches.append(one.result())
            print(searches[-1], flush=True)
    acting = [one for one in searches if one.acted]
    found = [one for one in acting if one.found_after]
    soon = sum(one.found_after <= 5 for one in found)
    print(f"{len(searches)} mutants: {len(acting)} acted, {len(found)} of them found, {soon} within 5 seeds")
    return 0 if len(found) == len(acting) else 1


if __name__ == "__main__":
    sys.exit(main())

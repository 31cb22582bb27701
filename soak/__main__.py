"""`python -m soak --seed N --seconds S`: plays a seed; exit 0 kept, 1 a break, 2 not run."""

import argparse
import signal
import sys
import tempfile
from pathlib import Path

from soak.crossings import written
from soak.fleet import CannotStart
from soak.playing import PROGRAM, Setup, play
from soak.shim import NoCompiler, build


def main() -> int:
    words = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--seeds", type=int, default=1, help="so many, one after the other")
    words.add_argument("--seconds", type=float, default=30.0)
    words.add_argument("--gateways", type=int, default=0, help="0: drawn from the seed, 10 to 14")
    words.add_argument("--broken", default="", help="a mutant of soak/mutants, which has to be found")
    words.add_argument("--keep", action="store_true", help="keep the logs")
    words.add_argument("--crossings", type=Path, help="a file to which each seed adds what met")
    given = words.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended then, too
    try:
        library = build(Path(tempfile.mkdtemp(prefix="soak-shim-")))
    except NoCompiler as wrong:
        print(f"not run: {wrong}")
        return 2
    program = ("-m", "soak.broken", given.broken) if given.broken else PROGRAM
    setup = Setup(library, given.seconds, given.gateways, program, given.keep)
    found = 0
    for seed in range(given.seed, given.seed + given.seeds):
        try:
            outcome = play(seed, setup)
        except CannotStart as wrong:
            print(f"not run: {wrong}")
            return 2
        print(outcome.text, flush=True)
        if given.crossings is not None:
            with given.crossings.open("a") as file:
                file.write(f"{written(outcome.crossings)}\n")
        found += bool(outcome.breaks)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())

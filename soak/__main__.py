"""`python -m soak --seed N --seconds S`: plays a seed; exit 0 kept, 1 a break, 2 not run."""

import argparse
import asyncio
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

from soak.fleet import CannotStart, Fleet
from soak.oracle import Judge, served
from soak.plan import drawn
from soak.run import Run
from soak.shim import NoCompiler, build

MOST_SHOWN = 12  # breaks of one run
PROGRAM = ["-m", "stackpitch.platform"]


def play(
    seed: int, seconds: float, gateways: int, library: Path | None, program: list[str], keep: bool
) -> list[str]:
    """The breaks that were found; prints the run's story if there are any. Raises CannotStart."""
    plan = drawn(seed, seconds, gateways)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    fleet = Fleet(plan, seed, folder, library, program)
    begun = time.monotonic()
    try:
        asyncio.run(Run(fleet, print).play())
    finally:
        fleet.end()
    breaks = list(Judge(fleet.record).breaks())
    print(
        f"seed {seed}: {'kept' if not breaks else f'{len(breaks)} breaks'}; {plan.gateways} gateways, "
        f"{len(plan.troubles)} troubles, {time.monotonic() - begun:.0f} s; {served(fleet.record)}; "
        f"lag {fleet.record.lag:.2f} s; injected {fleet.injected()}",
        flush=True,
    )
    if breaks:
        print("\n".join(f"    {one}" for one in fleet.record.troubles))
        print("\n".join(f"  {one}" for one in breaks[:MOST_SHOWN]), flush=True)
    if breaks or keep:
        print(f"  logs: {folder}", flush=True)
    else:
        shutil.rmtree(folder)
    return breaks


def main() -> int:
    words = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--seeds", type=int, default=1, help="so many, one after the other")
    words.add_argument("--seconds", type=float, default=30.0)
    words.add_argument("--gateways", type=int, default=0, help="0: drawn from the seed, 10 to 14")
    words.add_argument("--broken", default="", help="a fault of soak/broken.py, which has to be found")
    words.add_argument("--keep", action="store_true", help="keep the logs")
    given = words.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended then, too
    try:
        library = build(Path(tempfile.mkdtemp(prefix="soak-shim-")))
    except NoCompiler as wrong:
        print(f"not run: {wrong}")
        return 2
    program = ["-m", "soak.broken", given.broken] if given.broken else PROGRAM
    found = 0
    for seed in range(given.seed, given.seed + given.seeds):
        try:
            found += bool(play(seed, given.seconds, given.gateways, library, program, given.keep))
        except CannotStart as wrong:
            print(f"not run: {wrong}")
            return 2
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())

"""`python -m soak.duties --seed N`: the day of owners as processes, with faults of the voters' disk and of the wall clock.

The day judges itself from outside (`docs/rehearsals.md`). Exit 0 kept, 1 a break, 2 not run.
"""

import argparse
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from soak.shim import Kind, NoCompiler, Shim, build

DAY = "days/owners.jsonnet"
VOTERS_FILES = "votes"  # in their paths
RATES = {Kind.OPEN: 30, Kind.READ: 20, Kind.WRITE: 20, Kind.SYNC: 30, Kind.HALF_WRITE: 200}
STEPS = (0, 30_000, -30_000, 3_600_000, -3_600_000)  # milliseconds that the wall clock is off, by seed


def play(seed: int, library: Path) -> tuple[int, str]:
    """The day's exit code and what it printed."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-duties-{seed}-"))
    shim = Shim(folder, library, seed)
    shim.set(RATES)
    shim.step_wall_clock(STEPS[seed % len(STEPS)])
    done = subprocess.run(
        [sys.executable, "-m", "stackpitch", "rehearse", DAY, "--set", f"seed={seed}", "--keep", str(folder)],
        env={**os.environ, **shim.environment(), "FAULTS_FILES": VOTERS_FILES},
        capture_output=True,
        text=True,
    )
    found = {kind.name.lower(): count for kind, count in shim.injected().items() if count}
    return done.returncode, f"{done.stdout[-1500:]}{done.stderr[-1500:]}\ninjected {found}; records: {folder}"


def main() -> int:
    words = argparse.ArgumentParser(prog="python -m soak.duties", description=__doc__)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--seeds", type=int, default=1, help="so many, one after the other")
    given = words.parse_args()
    try:
        library = build(Path(tempfile.mkdtemp(prefix="soak-shim-")))
    except NoCompiler as wrong:
        print(f"not run: {wrong}")
        return 2
    found = 0
    for seed in range(given.seed, given.seed + given.seeds):
        code, text = play(seed, library)
        print(f"seed {seed}: {'kept' if not code else f'exit {code}'}\n{text}", flush=True)
        found += bool(code)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())

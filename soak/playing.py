"""Plays one seed from its plan to its verdict."""

import asyncio
import os
import shutil
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from soak.crossings import Crossing, met
from soak.fleet import Fleet
from soak.mutants.acting import ACTED, acts
from soak.oracle import breaks as breaks_of
from soak.oracle.seen import Seen
from soak.oracle.summary import excuses, served
from soak.plan import drawn
from soak.run import Run

MOST_SHOWN = 12  # breaks of one run
PROGRAM = ("-m", "stackpitch.platform")


@dataclass(frozen=True, slots=True)
class Setup:
    """What the seeds of one call have in common. `library`: of faults of system calls; None: none are injected."""

    library: Path | None
    seconds: float = 30.0
    gateways: int = 0  # 0: drawn from the seed
    program: tuple[str, ...] = PROGRAM
    keep: bool = False  # the logs


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of one seed. `acted`: how often a mutant did."""

    breaks: list[str]
    acted: int
    crossings: Counter[Crossing]
    text: str  # the run's line, and its story where something broke


def play(seed: int, setup: Setup) -> Outcome:
    """Raises CannotStart."""
    plan = drawn(seed, setup.seconds, setup.gateways)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    fleet = Fleet(plan, seed, folder, setup.library, list(setup.program))
    begun, used = time.monotonic(), time.process_time()
    run = Run(fleet, print)
    try:
        asyncio.run(run.play())
    finally:
        fleet.end()
    took, own = time.monotonic() - begun, time.process_time() - used
    seen = Seen(fleet.record)
    breaks = list(breaks_of(seen))
    acted = acts(folder / ACTED)
    lines = [
        f"seed {seed}: {'kept' if not breaks else f'{len(breaks)} breaks'}; {plan.gateways} gateways, "
        f"{plan.pressure.name}, pace {plan.pace:.0f}, {len(plan.troubles)} troubles, {took:.0f} s; "
        f"{served(fleet.record)}; {excuses(seen)}; "
        f"lag {fleet.record.lag:.2f} s, {own / took / (os.cpu_count() or 1):.2f} of the machine; "
        f"injected {fleet.injected()}"
    ]
    if breaks:
        lines += [f"    {one}" for one in fleet.record.troubles]
        lines += [f"  {one}" for one in breaks[:MOST_SHOWN]]
    if (breaks and setup.program == PROGRAM) or setup.keep:
        lines.append(f"  logs: {folder}")
    else:
        shutil.rmtree(folder)
    return Outcome(breaks, acted, met(fleet.record, run.events), "\n".join(lines))

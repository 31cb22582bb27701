"""One day with many seeds, in made-up time, as many at once as there are processors."""

import json
import os
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from stackpitch import settings as settings_package
from stackpitch.rehearse.day import Day
from stackpitch.rehearse.virtual import play


def one(day: Path, given: Mapping[str, str], seed: int) -> dict[str, Any]:
    """What a seed gave; `error` if the day could not be played to its end."""
    try:
        read = settings_package.read(Day, day, {**given, "seed": str(seed)})
        return {"seed": seed, "error": "", **play(read, None, lambda text: None).as_json()}
    except settings_package.BadSettings as wrong:
        return {"seed": seed, "error": str(wrong)}
    except Exception as wrong:  # what a seed finds must not hide what the others do
        return {"seed": seed, "error": f"{type(wrong).__name__}: {wrong}"}


def search(day: Path, given: Mapping[str, str], seeds: range, as_json: bool) -> int:
    """Exit code: 1 if a seed broke a rule or could not be played."""
    with ProcessPoolExecutor(len(os.sched_getaffinity(0))) as pool:
        found = list(pool.map(partial(one, day, given), seeds))
    bad = [told for told in found if told["error"] or not told["kept"]]
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return 1 if bad else 0
    console = Console(width=140)
    table = Table()
    for column in ("seed", "kept", "G", "generations", "legs a generation", "breaches"):
        table.add_column(column, justify="left" if column == "breaches" else "right")
    for told in found:
        if told["error"]:
            table.add_row(str(told["seed"]), "no", "", "", "", escape(told["error"][:200]))
        else:
            table.add_row(
                str(told["seed"]),
                "yes" if told["kept"] else "[red]no[/]",
                f"{told['g']:.3f}",
                str(told["generations"]),
                f"{told['legs_per_generation']:.2f}",
                escape("; ".join(breach["text"] for breach in told["breaches"][:3])),
            )
    console.print(table)
    worth = [told["g"] for told in found if not told["error"]]
    console.print(
        f"{len(found) - len(bad)} of {len(found)} seeds kept all rules; G {min(worth, default=0):.3f} to "
        f"{max(worth, default=0):.3f}",
        highlight=False,
    )
    return 1 if bad else 0

"""`stackpitch rehearse --seeds`: one scenario with many seeds in virtual time, in parallel processes."""

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


def run_seed(day: Path, variables: Mapping[str, str], seed: int) -> dict[str, Any]:
    """The outcome of one seed as JSON values; `error` is empty if the scenario ran to its end."""
    try:
        scenario = settings_package.read(Day, day, {**variables, "seed": str(seed)})
        return {"seed": seed, "error": "", **play(scenario, None, lambda text: None).as_json()}
    except settings_package.BadSettings as error:
        return {"seed": seed, "error": str(error)}
    except Exception as error:  # a seed that crashes must not hide the results of the others
        return {"seed": seed, "error": f"{type(error).__name__}: {error}"}


def search(day: Path, variables: Mapping[str, str], seeds: range, as_json: bool) -> int:
    """Runs all seeds and prints the results. Exit code: 1 if a seed broke a rule or could not be run."""
    with ProcessPoolExecutor(len(os.sched_getaffinity(0))) as pool:
        results = list(pool.map(partial(run_seed, day, variables), seeds))
    failures = [result for result in results if result["error"] or not result["kept"]]
    if as_json:
        click.echo(json.dumps(results, indent=2))
        return 1 if failures else 0
    console = Console(width=140)
    table = Table()
    for column in ("seed", "kept", "G", "generations", "legs a generation", "breaches"):
        table.add_column(column, justify="left" if column == "breaches" else "right")
    for result in results:
        if result["error"]:
            table.add_row(str(result["seed"]), "no", "", "", "", escape(result["error"][:200]))
        else:
            table.add_row(
                str(result["seed"]),
                "yes" if result["kept"] else "[red]no[/]",
                f"{result['g']:.3f}",
                str(result["generations"]),
                f"{result['legs_per_generation']:.2f}",
                escape("; ".join(breach["text"] for breach in result["breaches"][:3])),
            )
    console.print(table)
    revenue_shares = [result["g"] for result in results if not result["error"]]
    console.print(
        f"{len(results) - len(failures)} of {len(results)} seeds kept all rules; "
        f"G {min(revenue_shares, default=0):.3f} to {max(revenue_shares, default=0):.3f}",
        highlight=False,
    )
    return 1 if failures else 0

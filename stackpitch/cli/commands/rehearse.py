"""`stackpitch rehearse`: fault-injection scenarios against gateways and simulated engines."""

import json
import sys
from pathlib import Path

import click

from stackpitch import settings as settings_package
from stackpitch.cli.options import SET_OPTION, CommandError, parse_variables
from stackpitch.loop import RealWorld
from stackpitch.settings import BadSettings


@click.command(epilog="Example: stackpitch rehearse days/bad-day.jsonnet --set seed=3 --json")
@click.argument("day", type=click.Path(path_type=Path))
@SET_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of tables.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Keep the run's records and logs in this folder."
)
@click.option(
    "--virtual",
    is_flag=True,
    help="Run in one process in virtual time: much faster, and the same result every time.",
)
@click.option(
    "--seeds",
    metavar="A..B",
    help="With --virtual: run the scenario with each of these seeds and print one line for each.",
)
@click.option(
    "--broken",
    type=click.Choice(
        [
            "answered",
            "effects",
            "drains",
            "cold",
            "pinned",
            "fenceless",
            "leaseless",
            "forgetful",
            "hasty",
            "restless",
            "unsynced",
            "ownerless",
            "unpaced",
            "classless",
            "unchecked",
            "hurried",
            "babel",
            "across",
            "willful",
        ]
    ),
    help="Run gateways with this deliberate fault, to test that the checker detects it.",
)
def rehearse(
    day: Path,
    sets: tuple[str, ...],
    as_json: bool,
    keep: Path | None,
    virtual: bool,
    seeds: str | None,
    broken: str | None,
) -> None:
    """Run a fault-injection scenario on loopback and check the five rules; exit 1 if one is broken."""
    from rich.console import Console

    from stackpitch.cli.show import show as show_outcome
    from stackpitch.rehearse.day import Day
    from stackpitch.rehearse.director import play

    progress = Console(stderr=True)
    if seeds is not None:
        if not virtual or broken:
            raise CommandError("--seeds requires --virtual and excludes --broken")
        first, dots, last = (seeds or "").partition("..")
        if not (dots and first.isdigit() and last.isdigit() and int(first) <= int(last)):
            raise CommandError(f"--seeds {seeds!r}: expected A..B, for example 1..50")
        from stackpitch.cli.seeds import search

        sys.exit(search(day, parse_variables(sets), range(int(first), int(last) + 1), as_json))

    def report(text: str) -> None:
        progress.print(f"[dim]{text}[/]", highlight=False)

    try:
        scenario = settings_package.read(Day, day, {"seed": "1"} | parse_variables(sets))
        if virtual:
            from stackpitch.rehearse.virtual import play as play_virtual

            outcome = play_virtual(scenario, keep, report, broken)
        else:
            outcome = play(RealWorld(scenario.seed), scenario, keep, broken, report)
    except BadSettings as error:
        raise CommandError(str(error)) from None
    except ValueError as error:
        raise CommandError(f"{day}: {error}") from None
    except RuntimeError as error:
        click.echo(f"stackpitch: {day}: the scenario could not be run: {error}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(json.dumps(outcome.as_json(), indent=2))
    else:
        show_outcome(outcome, Console())
    sys.exit(0 if outcome.finished and not outcome.breaches else 1)

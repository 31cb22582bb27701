"""Days with troubles."""

import json
import sys
from pathlib import Path

import click

from stackpitch import settings as settings_package
from stackpitch.cli.asking import SET, Asked, given
from stackpitch.loop import RealWorld
from stackpitch.settings import BadSettings


@click.command(epilog="Example: stackpitch rehearse days/bad-day.jsonnet --set seed=3 --json")
@click.argument("day", type=click.Path(path_type=Path))
@SET
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of tables.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep records and logs in this folder.")
@click.option(
    "--virtual",
    is_flag=True,
    help="Play it in one process and made-up time: much faster, the same every time.",
)
@click.option(
    "--seeds", metavar="A..B", help="With --virtual: play the day with each of these seeds, one line each."
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
    help="Break the gateways on purpose, to see the checker catch it.",
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
    """Play a day with troubles on loopback and judge the five rules; exit 1 if one is broken."""
    from rich.console import Console

    from stackpitch.cli.show import show as show_outcome
    from stackpitch.rehearse.day import Day
    from stackpitch.rehearse.director import play

    progress = Console(stderr=True)
    if seeds is not None:
        if not virtual or broken:
            raise Asked("--seeds goes with --virtual, not with --broken")
        first, dots, last = (seeds or "").partition("..")
        if not (dots and first.isdigit() and last.isdigit() and int(first) <= int(last)):
            raise Asked(f"--seeds {seeds!r}: A..B is wanted, as 1..50")
        from stackpitch.cli.seeds import search

        sys.exit(search(day, given(sets), range(int(first), int(last) + 1), as_json))

    def say(text: str) -> None:
        progress.print(f"[dim]{text}[/]", highlight=False)

    try:
        read = settings_package.read(Day, day, {"seed": "1"} | given(sets))
        if virtual:
            from stackpitch.rehearse.virtual import play as play_virtual

            outcome = play_virtual(read, keep, say, broken)
        else:
            outcome = play(RealWorld(read.seed), read, keep, broken, say)
    except BadSettings as wrong:
        raise Asked(str(wrong)) from None
    except ValueError as wrong:
        raise Asked(f"{day}: {wrong}") from None
    except RuntimeError as wrong:
        click.echo(f"stackpitch: {day}: the day could not be played: {wrong}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(json.dumps(outcome.as_json(), indent=2))
    else:
        show_outcome(outcome, Console())
    sys.exit(0 if outcome.finished and not outcome.breaches else 1)

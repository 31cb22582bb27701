"""`stackpitch expect`: the command's options; `stackpitch.cli.expect` runs it."""

import os
import sys
from pathlib import Path

import click

from stackpitch.cli.options import SET_OPTION, CommandError, parse_variables
from stackpitch.settings import BadSettings


@click.command(
    epilog="Example: stackpitch expect expectations/hall-20 -c expectations/hall-20/gateway.jsonnet"
)
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option("-c", "--config", type=click.Path(path_type=Path), help="Settings file (Jsonnet).")
@SET_OPTION
@click.option(
    "--fleet",
    type=click.Path(path_type=Path),
    help="Use this fleet's file instead of the one that the settings name.",
)
@click.option(
    "--against",
    type=click.Path(path_type=Path),
    help="A second settings file: list the statements whose result differs, even if both hold.",
)
@click.option("--only", multiple=True, metavar="NAME", help="Evaluate only this statement; may be repeated.")
@click.option(
    "--explain",
    multiple=True,
    metavar="NAME",
    help="Show step by step how this statement was evaluated; may be repeated.",
)
@click.option(
    "--draws",
    type=click.IntRange(1, 1000),
    default=3,
    show_default=True,
    help="Dry runs of each statement, each with other sessions.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of text.")
@click.option(
    "--junit", type=click.Path(path_type=Path), help="Also write the result as JUnit XML to this file."
)
@click.option(
    "--coverage", is_flag=True, help="Show the parts of the configuration that no statement touches."
)
@click.option(
    "--mutations",
    is_flag=True,
    help="Mutation testing: change one setting at a time and list the changes that no statement detects.",
)
@click.option(
    "--servers",
    type=click.IntRange(0),
    help="With --mutations: the number of servers whose entries are changed; 24 by default.",
)
@click.option(
    "--jobs",
    type=click.IntRange(1, 256),
    default=lambda: len(os.sched_getaffinity(0)),
    help="Worker processes; by default one for each processor.",
)
@click.option("--watch", is_flag=True, help="Run again whenever one of the files changes.")
@click.option(
    "--format", "form", is_flag=True, help="Rewrite the files in the canonical layout; needs no settings."
)
@click.option(
    "--check",
    is_flag=True,
    help="With --format: write nothing; exit 1 if a file is not in the canonical layout.",
)
def expect(
    files: tuple[Path, ...],
    config: Path | None,
    sets: tuple[str, ...],
    fleet: Path | None,
    against: Path | None,
    only: tuple[str, ...],
    explain: tuple[str, ...],
    draws: int,
    as_json: bool,
    junit: Path | None,
    coverage: bool,
    mutations: bool,
    servers: int | None,
    jobs: int,
    watch: bool,
    form: bool,
    check: bool,
) -> None:
    """Evaluate statements about routing (*.expect files, or folders of them); exit 1 if one does not hold."""
    from stackpitch.cli import expect as implementation
    from stackpitch.expect.parse import BadStatement

    try:
        if form:
            changed = list(implementation.formatted(files, check))
            for path in changed:
                click.echo(f"{path}: {'not in the canonical layout' if check else 'rewritten'}")
            sys.exit(1 if check and changed else 0)
        if config is None:
            raise CommandError("-c SETTINGS is required")
        sys.exit(
            implementation.main(
                files,
                config,
                parse_variables(sets),
                fleet,
                draws,
                only,
                against,
                explain,
                as_json,
                junit,
                coverage,
                mutations,
                servers,
                watch,
                jobs,
            )
        )
    except (BadStatement, BadSettings) as error:
        raise CommandError(str(error)) from None

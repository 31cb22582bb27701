"""Statements on what the router does."""

import os
import sys
from pathlib import Path

import click

from stackpitch.cli.asking import SET, Asked, given
from stackpitch.settings import BadSettings


@click.command(
    epilog="Example: stackpitch expect expectations/hall-20 -c expectations/hall-20/gateway.jsonnet"
)
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option("-c", "--config", type=click.Path(path_type=Path), help="Settings, a Jsonnet file.")
@SET
@click.option(
    "--fleet",
    type=click.Path(path_type=Path),
    help="A fleet's file other than the one that the settings name.",
)
@click.option(
    "--against",
    type=click.Path(path_type=Path),
    help="Other settings: list what differs, also where both hold.",
)
@click.option("--only", multiple=True, metavar="NAME", help="Just this statement; may be repeated.")
@click.option(
    "--explain", multiple=True, metavar="NAME", help="Show how this statement was decided, step by step."
)
@click.option(
    "--draws",
    type=click.IntRange(1, 1000),
    default=3,
    show_default=True,
    help="Plays of a statement on one generation, each with other sessions.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of text.")
@click.option("--junit", type=click.Path(path_type=Path), help="Write JUnit XML to this file as well.")
@click.option("--coverage", is_flag=True, help="Show what no statement touches.")
@click.option(
    "--mutations",
    is_flag=True,
    help="Change each setting in turn; list the changes that no statement notices.",
)
@click.option("--servers", type=click.IntRange(0), help="With --mutations: change so many servers, not 24.")
@click.option(
    "--jobs",
    type=click.IntRange(1, 256),
    default=lambda: len(os.sched_getaffinity(0)),
    help="Processes that share the statements; one for each processor.",
)
@click.option("--watch", is_flag=True, help="Run again whenever a file changes.")
@click.option(
    "--format", "form", is_flag=True, help="Write the files in their one form; no configuration is needed."
)
@click.option("--check", is_flag=True, help="With --format: write nothing, exit 1 if it would change a file.")
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
    """Try statements (*.expect files, or folders of them) on what the router does; exit 1 if one does not hold."""
    from stackpitch.cli import expect as ours
    from stackpitch.expect.parse import BadStatement

    try:
        if form:
            changed = list(ours.formatted(files, check))
            for path in changed:
                click.echo(f"{path}: {'not in its form' if check else 'written anew'}")
            sys.exit(1 if check and changed else 0)
        if config is None:
            raise Asked("-c SETTINGS is wanted")
        sys.exit(
            ours.main(
                files,
                config,
                given(sets),
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
    except (BadStatement, BadSettings) as wrong:
        raise Asked(str(wrong)) from None

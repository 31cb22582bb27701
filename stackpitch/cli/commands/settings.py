"""Checking and showing settings."""

import json
import sys
from pathlib import Path

import click

from stackpitch import settings as settings_package
from stackpitch.cli.asking import CONFIG, SET, Asked, given
from stackpitch.settings import BadSettings, Fleet, Settings


@click.group()
def settings() -> None:
    """Check and show settings."""


@settings.command(epilog="Example: stackpitch settings check -c deploy/gateway.jsonnet")
@CONFIG
@SET
def check(config: Path, sets: tuple[str, ...]) -> None:
    """Check settings, and the fleet's file that they name."""
    from stackpitch.membership.bundle import read_bundle

    found = read_bundle(config, given(sets))
    if found.problems:
        click.echo("\n".join(found.problems), err=True)
        sys.exit(1)
    read = settings_package.read(Settings, config, given(sets))
    click.echo(
        f"{config}: good; {len(read.products)} products, {len(read.customers)} customers; "
        f"{read.roster}: version {found.version}, {len(found.entries)} servers; {found.guards} guards hold"
    )


@settings.command(epilog="Example: stackpitch settings show -c deploy/gateway.jsonnet")
@CONFIG
@SET
def show(config: Path, sets: tuple[str, ...]) -> None:
    """Print settings as evaluated, with all defaults."""
    try:
        click.echo(settings_package.read(Settings, config, given(sets)).model_dump_json(indent=2))
    except BadSettings as wrong:
        raise Asked(str(wrong)) from None


@settings.command(epilog="Example: stackpitch settings schema fleet")
@click.argument("what", type=click.Choice(["gateway", "fleet"]), default="gateway")
def schema(what: str) -> None:
    """Print the JSON Schema of the gateway's settings or of the fleet's file."""
    click.echo(json.dumps(settings_package.schema(Settings if what == "gateway" else Fleet), indent=2))

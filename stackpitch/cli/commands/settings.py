"""`stackpitch settings`: checks and prints settings and their JSON Schema."""

import json
import sys
from pathlib import Path

import click

from stackpitch import settings as settings_package
from stackpitch.cli.options import CONFIG_OPTION, SET_OPTION, CommandError, parse_variables
from stackpitch.settings import BadSettings, Fleet, Settings


@click.group()
def settings() -> None:
    """Check and show settings."""


@settings.command(epilog="Example: stackpitch settings check -c deploy/gateway.jsonnet")
@CONFIG_OPTION
@SET_OPTION
def check(config: Path, sets: tuple[str, ...]) -> None:
    """Check settings and the fleet's file that they name."""
    from stackpitch.membership.bundle import read_bundle

    bundle = read_bundle(config, parse_variables(sets))
    if bundle.problems:
        click.echo("\n".join(bundle.problems), err=True)
        sys.exit(1)
    gateway_settings = settings_package.read(Settings, config, parse_variables(sets))
    click.echo(
        f"{config}: good; {len(gateway_settings.products)} products, {len(gateway_settings.customers)} customers; "
        f"{gateway_settings.roster}: version {bundle.version}, {len(bundle.entries)} servers; "
        f"{bundle.guards} guards hold"
    )


@settings.command(epilog="Example: stackpitch settings show -c deploy/gateway.jsonnet")
@CONFIG_OPTION
@SET_OPTION
def show(config: Path, sets: tuple[str, ...]) -> None:
    """Print the evaluated settings, with all defaults."""
    try:
        click.echo(settings_package.read(Settings, config, parse_variables(sets)).model_dump_json(indent=2))
    except BadSettings as error:
        raise CommandError(str(error)) from None


@settings.command(epilog="Example: stackpitch settings schema fleet")
@click.argument("what", type=click.Choice(["gateway", "fleet"]), default="gateway")
def schema(what: str) -> None:
    """Print the JSON Schema of the gateway's settings or of the fleet's file."""
    click.echo(json.dumps(settings_package.schema(Settings if what == "gateway" else Fleet), indent=2))

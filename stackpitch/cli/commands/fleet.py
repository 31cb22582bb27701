"""`stackpitch fleet`: lists of servers, in files and in force at a running gateway."""

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from stackpitch import settings as settings_package
from stackpitch.cli.options import CONFIG_OPTION, SET_OPTION, CommandError, parse_variables
from stackpitch.settings import BadSettings, Settings


@click.group()
def fleet() -> None:
    """Check and compare lists of servers; show and change the list in force at a running gateway."""


PATH = click.Path(path_type=Path)
ADMIN_OPTION = click.option(
    "--admin", metavar="HOST:PORT", help="Address of the gateway's admin port, if -c does not give it."
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")


def admin_address(config: Path | None, sets: tuple[str, ...], admin: str | None) -> tuple[str, int]:
    """Host and port of the gateway's admin port, from `--admin` or else the settings. Raises CommandError."""
    if admin is not None:
        host, _, port = admin.rpartition(":")
        if not port.isdigit():
            raise CommandError(f"--admin {admin!r}: expected HOST:PORT")
        return host or "127.0.0.1", int(port)
    if config is None:
        raise CommandError("-c SETTINGS or --admin HOST:PORT is required")
    try:
        settings = settings_package.read(Settings, config, parse_variables(sets))
    except BadSettings as error:
        raise CommandError(str(error)) from None
    if not settings.admin.port:
        raise CommandError(
            f"{config}: admin.port is 0 (chosen by the operating system): pass --admin HOST:PORT"
        )
    return settings.admin.host, settings.admin.port


def call_admin(address: tuple[str, int], method: str, target: str) -> tuple[int, Any]:
    """Status and decoded JSON body of one request to the admin port. Raises CommandError."""
    from stackpitch.cli.fleet import NoAnswer, call

    try:
        return call(address, method, target)
    except NoAnswer as error:
        raise CommandError(str(error)) from None


@fleet.command("check", epilog="Example: stackpitch fleet check new-fleet.json -c deploy/gateway.jsonnet")
@click.argument("file", type=PATH)
@CONFIG_OPTION
@SET_OPTION
def fleet_check(file: Path, config: Path, sets: tuple[str, ...]) -> None:
    """Check a fleet's file against settings and print its digest."""
    from stackpitch.cli.fleet import fleet_digest, read_fleet

    try:
        fleet_file = read_fleet(file, settings_package.read(Settings, config, parse_variables(sets)))
    except BadSettings as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    matches = not fleet_file.digest or fleet_file.digest == fleet_digest(fleet_file)
    click.echo(
        f"{file}: {'good' if matches else 'digest does not match its content'}; "
        f"version {fleet_file.version}, {len(fleet_file.servers)} servers, digest {fleet_digest(fleet_file)}"
    )
    sys.exit(0 if matches else 1)


@fleet.command("diff", epilog="Example: stackpitch fleet diff old.json new.json -c deploy/gateway.jsonnet")
@click.argument("old", type=PATH)
@click.argument("new", type=PATH)
@CONFIG_OPTION
@SET_OPTION
@JSON_OPTION
def fleet_diff(old: Path, new: Path, config: Path, sets: tuple[str, ...], as_json: bool) -> None:
    """Show what changes between two lists, and how each server's share of traffic changes."""
    from rich.console import Console

    from stackpitch.cli import fleet as implementation

    try:
        settings = settings_package.read(Settings, config, parse_variables(sets))
        before, after = implementation.read_fleet(old, settings), implementation.read_fleet(new, settings)
    except BadSettings as error:
        raise CommandError(str(error)) from None
    change, shares_before, shares_after = (
        implementation.compare(before, after),
        implementation.traffic_shares(settings, before),
        implementation.traffic_shares(settings, after),
    )
    if as_json:
        click.echo(
            implementation.format_json(
                msgspec.to_builtins(change) | {"before": shares_before, "after": shares_after}
            )
        )
    else:
        implementation.show_change(Console(soft_wrap=True), change, shares_before, shares_after)


@fleet.command("status", epilog="Example: stackpitch fleet status -c deploy/gateway.jsonnet")
@click.option("-c", "--config", type=PATH)
@SET_OPTION
@ADMIN_OPTION
@JSON_OPTION
def fleet_status(config: Path | None, sets: tuple[str, ...], admin: str | None, as_json: bool) -> None:
    """Show the list in force and lists held back, with reasons; exit 1 if the last list was not accepted."""
    from rich.console import Console

    from stackpitch.cli import fleet as implementation

    _, status = call_admin(admin_address(config, sets, admin), "GET", "/fleet")
    if as_json:
        click.echo(implementation.format_json(status))
    else:
        implementation.show_status(Console(soft_wrap=True), status)
    sys.exit(1 if status["last"] in ("rejected", "held back") else 0)


@fleet.command("history", epilog="Example: stackpitch fleet history -c deploy/gateway.jsonnet")
@click.option("-c", "--config", type=PATH)
@SET_OPTION
@ADMIN_OPTION
@JSON_OPTION
def fleet_history(config: Path | None, sets: tuple[str, ...], admin: str | None, as_json: bool) -> None:
    """Show the lists that a gateway has stored, and those that it did not accept."""
    from rich.console import Console

    from stackpitch.cli import fleet as implementation

    _, history = call_admin(admin_address(config, sets, admin), "GET", "/fleet/history")
    click.echo(implementation.format_json(history)) if as_json else implementation.show_history(
        Console(soft_wrap=True), history
    )


def post_change(config: Path | None, sets: tuple[str, ...], admin: str | None, target: str) -> None:
    """Posts a change of the list in force and prints the new version; exits with 1 if it is rejected."""
    _, answer = call_admin(admin_address(config, sets, admin), "POST", target)
    if answer["rejected"]:
        click.echo(answer["rejected"], err=True)
        sys.exit(1)
    click.echo(f"version {answer['version']} in force, {answer['servers']} servers")


@fleet.command("confirm", epilog="Example: stackpitch fleet confirm 3fa9 -c deploy/gateway.jsonnet")
@click.argument("digest")
@click.option("-c", "--config", type=PATH)
@SET_OPTION
@ADMIN_OPTION
def fleet_confirm(digest: str, config: Path | None, sets: tuple[str, ...], admin: str | None) -> None:
    """Put the held-back list with this digest (a prefix is enough) into force at once and completely."""
    post_change(config, sets, admin, f"/fleet/confirm?digest={digest}")


@fleet.command("rollback", epilog="Example: stackpitch fleet rollback -c deploy/gateway.jsonnet")
@click.argument("digest", default="")
@click.option("-c", "--config", type=PATH)
@SET_OPTION
@ADMIN_OPTION
def fleet_rollback(digest: str, config: Path | None, sets: tuple[str, ...], admin: str | None) -> None:
    """Return to a stored list (the previous one, unless a digest is given) until the files change."""
    post_change(config, sets, admin, f"/fleet/rollback?digest={digest}")

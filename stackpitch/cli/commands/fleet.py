"""Lists of servers, in files and as a running gateway has them in force."""

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from stackpitch import settings as settings_package
from stackpitch.cli.asking import CONFIG, SET, Asked, given
from stackpitch.settings import BadSettings, Settings


@click.group()
def fleet() -> None:
    """Check and compare lists of servers; see and change what a running gateway has in force."""


FILE = click.Path(path_type=Path)
ADMIN = click.option("--admin", metavar="HOST:PORT", help="The gateway's admin port, if -c does not say it.")
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")


def admin_of(config: Path | None, sets: tuple[str, ...], admin: str | None) -> tuple[str, int]:
    if admin is not None:
        host, _, port = admin.rpartition(":")
        if not port.isdigit():
            raise Asked(f"--admin {admin!r}: HOST:PORT is wanted")
        return host or "127.0.0.1", int(port)
    if config is None:
        raise Asked("-c SETTINGS or --admin HOST:PORT is wanted")
    try:
        read = settings_package.read(Settings, config, given(sets))
    except BadSettings as wrong:
        raise Asked(str(wrong)) from None
    if not read.admin.port:
        raise Asked(f"{config}: admin.port: the system chooses it; say --admin HOST:PORT")
    return read.admin.host, read.admin.port


def asked_of(address: tuple[str, int], method: str, target: str) -> tuple[int, Any]:
    from stackpitch.cli.fleet import NoAnswer, call

    try:
        return call(address, method, target)
    except NoAnswer as wrong:
        raise Asked(str(wrong)) from None


@fleet.command("check", epilog="Example: stackpitch fleet check new-fleet.json -c deploy/gateway.jsonnet")
@click.argument("file", type=FILE)
@CONFIG
@SET
def fleet_check(file: Path, config: Path, sets: tuple[str, ...]) -> None:
    """Check a fleet's file against settings, and print its digest."""
    from stackpitch.cli.fleet import checked, told

    try:
        read = checked(file, settings_package.read(Settings, config, given(sets)))
    except BadSettings as wrong:
        click.echo(str(wrong), err=True)
        sys.exit(1)
    right = not read.digest or read.digest == told(read)
    click.echo(
        f"{file}: {'good' if right else 'its digest is another'}; version {read.version}, {len(read.servers)} servers, "
        f"digest {told(read)}"
    )
    sys.exit(0 if right else 1)


@fleet.command("diff", epilog="Example: stackpitch fleet diff old.json new.json -c deploy/gateway.jsonnet")
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@CONFIG
@SET
@AS_JSON
def fleet_diff(old: Path, new: Path, config: Path, sets: tuple[str, ...], as_json: bool) -> None:
    """Show what changes between two lists, and what that does to shares of traffic."""
    from rich.console import Console

    from stackpitch.cli import fleet as ours

    try:
        read = settings_package.read(Settings, config, given(sets))
        before, after = ours.checked(old, read), ours.checked(new, read)
    except BadSettings as wrong:
        raise Asked(str(wrong)) from None
    found, one, other = ours.differ(before, after), ours.shares(read, before), ours.shares(read, after)
    if as_json:
        click.echo(ours.as_json(msgspec.to_builtins(found) | {"before": one, "after": other}))
    else:
        ours.show_change(Console(soft_wrap=True), found, one, other)


@fleet.command("status", epilog="Example: stackpitch fleet status -c deploy/gateway.jsonnet")
@click.option("-c", "--config", type=FILE)
@SET
@ADMIN
@AS_JSON
def fleet_status(config: Path | None, sets: tuple[str, ...], admin: str | None, as_json: bool) -> None:
    """Show what a gateway has in force, what it holds back and why; exit 1 if its last list was not taken."""
    from rich.console import Console

    from stackpitch.cli import fleet as ours

    _, status = asked_of(admin_of(config, sets, admin), "GET", "/fleet")
    if as_json:
        click.echo(ours.as_json(status))
    else:
        ours.show_status(Console(soft_wrap=True), status)
    sys.exit(1 if status["last"] in ("rejected", "held back") else 0)


@fleet.command("history", epilog="Example: stackpitch fleet history -c deploy/gateway.jsonnet")
@click.option("-c", "--config", type=FILE)
@SET
@ADMIN
@AS_JSON
def fleet_history(config: Path | None, sets: tuple[str, ...], admin: str | None, as_json: bool) -> None:
    """Show the lists that a gateway has kept, and those that it did not take."""
    from rich.console import Console

    from stackpitch.cli import fleet as ours

    _, history = asked_of(admin_of(config, sets, admin), "GET", "/fleet/history")
    click.echo(ours.as_json(history)) if as_json else ours.show_history(Console(soft_wrap=True), history)


def changed_by(config: Path | None, sets: tuple[str, ...], admin: str | None, target: str) -> None:
    _, answer = asked_of(admin_of(config, sets, admin), "POST", target)
    if answer["rejected"]:
        click.echo(answer["rejected"], err=True)
        sys.exit(1)
    click.echo(f"version {answer['version']} in force, {answer['servers']} servers")


@fleet.command("confirm", epilog="Example: stackpitch fleet confirm 3fa9 -c deploy/gateway.jsonnet")
@click.argument("digest")
@click.option("-c", "--config", type=FILE)
@SET
@ADMIN
def fleet_confirm(digest: str, config: Path | None, sets: tuple[str, ...], admin: str | None) -> None:
    """Bring the held list with this digest (its beginning is enough) into force, at once and whole."""
    changed_by(config, sets, admin, f"/fleet/confirm?digest={digest}")


@fleet.command("rollback", epilog="Example: stackpitch fleet rollback -c deploy/gateway.jsonnet")
@click.argument("digest", default="")
@click.option("-c", "--config", type=FILE)
@SET
@ADMIN
def fleet_rollback(digest: str, config: Path | None, sets: tuple[str, ...], admin: str | None) -> None:
    """Go back to a kept list (the one before, unless a digest says which) until the files change."""
    changed_by(config, sets, admin, f"/fleet/rollback?digest={digest}")

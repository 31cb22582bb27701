"""Options that several commands share, and the error that ends a command on wrong usage."""

from pathlib import Path

import click


class CommandError(click.ClickException):
    """Wrong usage or invalid input: printed as one line on standard error, with exit code 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        click.echo(f"stackpitch: {self.message}", err=True)


def parse_variables(pairs: tuple[str, ...]) -> dict[str, str]:
    """The values of `--set NAME=VALUE` by name; the last one of a name counts. Raises CommandError."""
    values = {}
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals:
            raise CommandError(f"--set {pair!r}: expected NAME=VALUE")
        values[name] = value
    return values


SET_OPTION = click.option(
    "--set",
    "sets",
    multiple=True,
    metavar="NAME=VALUE",
    help="Set an external variable of the Jsonnet template (std.extVar); may be repeated.",
)
CONFIG_OPTION = click.option(
    "-c",
    "--config",
    "config",
    required=True,
    type=click.Path(path_type=Path),
    help="Settings file (Jsonnet).",
)

"""What commands are asked: wrongly, with one plain line, or by options that several share."""

from pathlib import Path

import click


class Asked(click.ClickException):
    """Asked wrongly."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        click.echo(f"stackpitch: {self.message}", err=True)


def given(pairs: tuple[str, ...]) -> dict[str, str]:
    found = {}
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals:
            raise Asked(f"--set {pair!r}: NAME=VALUE is wanted")
        found[name] = value
    return found


SET = click.option(
    "--set",
    "sets",
    multiple=True,
    metavar="NAME=VALUE",
    help="An external variable of the template (std.extVar); may be repeated.",
)
CONFIG = click.option(
    "-c",
    "--config",
    "config",
    required=True,
    type=click.Path(path_type=Path),
    help="Settings, a Jsonnet file.",
)

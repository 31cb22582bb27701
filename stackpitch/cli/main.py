"""The root command, `stackpitch COMMAND`.

Exit codes: 0: success; 1: the command ran and its check or request failed; 2: wrong usage or invalid input,
reported on standard error.
"""

import click

from stackpitch.cli.commands import ALL


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Route LLM requests to engines that run prefill (reading) and decode (writing) separately."""


for command in ALL:
    main.add_command(command)

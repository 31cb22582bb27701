"""`stackpitch serve`, its hidden checker process, and hidden gateways with a deliberate fault."""

import sys
from pathlib import Path

import click

from stackpitch import settings as settings_package
from stackpitch.cli.options import CONFIG_OPTION, SET_OPTION, CommandError, parse_variables
from stackpitch.loop import RealWorld
from stackpitch.settings import BadSettings, Settings

# Address space of the checker process: a template whose evaluation grows without end fails in it.
MAX_CHECKER_BYTES = 2 << 30


@click.command(epilog="Example: stackpitch serve -c deploy/gateway.jsonnet")
@CONFIG_OPTION
@SET_OPTION
def serve(config: Path, sets: tuple[str, ...]) -> None:
    """Run a gateway until SIGTERM; SIGHUP reloads the fleet's file."""
    from stackpitch.gateway.serve import serve as run

    try:
        settings = settings_package.read(Settings, config, parse_variables(sets))
        world = RealWorld(settings.seed)
        world.run(run(world, settings, config=config, given=parse_variables(sets)))
    except BadSettings as error:
        raise CommandError(str(error)) from None
    except OSError as error:
        raise CommandError(f"{config}: client or admin listener: {error.strerror}") from None


@click.command(hidden=True)
def checker() -> None:
    """Read and check files as requested by a gateway on standard input, until it is closed."""
    import resource

    from stackpitch.membership.bundle import serve_lines

    resource.setrlimit(resource.RLIMIT_AS, (MAX_CHECKER_BYTES, MAX_CHECKER_BYTES))
    serve_lines(sys.stdin.buffer, sys.stdout.buffer)


@click.command(hidden=True)
@click.argument("rule")
@CONFIG_OPTION
@click.pass_context
def broken(context: click.Context, rule: str, config: Path) -> None:
    """Run a gateway with a deliberate fault (`rehearse --broken`), or one that stops itself at a bad moment."""
    from stackpitch.rehearse.broken import BREAKS
    from stackpitch.rehearse.stopping import STOPS

    (BREAKS | STOPS)[rule]()
    context.invoke(serve, config=config, sets=())

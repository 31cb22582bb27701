"""Gateways, the checker that each has, and gateways that break a rule on purpose."""

import sys
from pathlib import Path

import click

from stackpitch import settings as settings_package
from stackpitch.cli.asking import CONFIG, SET, Asked, given
from stackpitch.loop import RealWorld
from stackpitch.settings import BadSettings, Settings

CHECKER_BYTES = 2 << 30


@click.command(epilog="Example: stackpitch serve -c deploy/gateway.jsonnet")
@CONFIG
@SET
def serve(config: Path, sets: tuple[str, ...]) -> None:
    """Run a gateway until SIGTERM; SIGHUP reads the fleet's file anew."""
    from stackpitch.gateway.serve import serve as run

    try:
        read = settings_package.read(Settings, config, given(sets))
        world = RealWorld(read.seed)
        world.run(run(world, read, config=config, given=given(sets)))
    except BadSettings as wrong:
        raise Asked(str(wrong)) from None
    except OSError as wrong:
        raise Asked(f"{config}: door or admin port: {wrong.strerror}") from None


@click.command(hidden=True)
def checker() -> None:
    """Read and check files as a gateway asks on standard input, until it is closed."""
    import resource

    from stackpitch.membership.bundle import serve_lines

    resource.setrlimit(
        resource.RLIMIT_AS, (CHECKER_BYTES, CHECKER_BYTES)
    )  # a template that grows without end
    serve_lines(sys.stdin.buffer, sys.stdout.buffer)


@click.command(hidden=True)
@click.argument("rule")
@CONFIG
@click.pass_context
def broken(context: click.Context, rule: str, config: Path) -> None:
    """Run a gateway that breaks one rule, as `rehearse --broken` starts them, or stops itself at a bad moment."""
    from stackpitch.rehearse.broken import BREAKS
    from stackpitch.rehearse.stopping import STOPS

    (BREAKS | STOPS)[rule]()
    context.invoke(serve, config=config, sets=())

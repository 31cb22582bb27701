"""Processes that a rehearsal starts besides its gateways: engines, clients, network, origin of weights."""

from pathlib import Path

import click
import msgspec

from stackpitch import settings as settings_package
from stackpitch.cli.options import CommandError
from stackpitch.loop import RealWorld
from stackpitch.settings import BadSettings


@click.command(epilog="Example: stackpitch engine engine.json")
@click.argument("file", type=click.Path(path_type=Path))
def engine(file: Path) -> None:
    """Run one simulated engine, as `rehearse` does."""
    from stackpitch.rehearse.engine import EngineSettings, run_engine

    try:
        settings = msgspec.convert(settings_package.evaluate(file), EngineSettings)
    except (msgspec.ValidationError, BadSettings) as error:
        raise CommandError(f"{file}: {error}") from None
    world = RealWorld(settings.seed)
    try:
        world.run(run_engine(world, settings))
    except OSError as error:
        raise CommandError(
            f"{file}: port {settings.port} or {settings.control_port}: {error.strerror}"
        ) from None


@click.command(hidden=True)
@click.argument("file", type=click.Path(path_type=Path))
def clients(file: Path) -> None:
    """Run a scenario's simulated clients, as `rehearse` does."""
    from stackpitch.rehearse.clients import ClientSettings, run_clients

    settings = msgspec.convert(settings_package.evaluate(file), ClientSettings)
    world = RealWorld(settings.seed)
    world.run(run_clients(world, settings))


@click.command(hidden=True)
@click.argument("file", type=click.Path(path_type=Path))
def network(file: Path) -> None:
    """Run a scenario's simulated network between gateways, as `rehearse` does."""
    from stackpitch.rehearse.network import NetworkSettings, run_network

    settings = msgspec.convert(settings_package.evaluate(file), NetworkSettings)
    world = RealWorld(settings.seed)
    world.run(run_network(world, settings))


@click.command(hidden=True)
@click.argument("file", type=click.Path(path_type=Path))
def origin(file: Path) -> None:
    """Run a scenario's simulated origin of model weights, as `rehearse` does."""
    from stackpitch.rehearse.origin import OriginSettings, run_origin

    settings = msgspec.convert(settings_package.evaluate(file), OriginSettings)
    world = RealWorld(settings.seed)
    world.run(run_origin(world, settings))

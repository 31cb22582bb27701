"""The stand-in network from its start to SIGTERM."""

import signal
from pathlib import Path

import msgspec

from stackpitch.loop import MS, Coro, Group, World
from stackpitch.rehearse.network.control import Control
from stackpitch.rehearse.network.passing import Passing
from stackpitch.rehearse.network.settings import Fault, NetworkSettings
from stackpitch.rehearse.network.weather import Weather
from stackpitch.rehearse.records import Recorder


def run_network(world: World, settings: NetworkSettings) -> Coro[None]:
    """Raises OSError on a port that is taken."""
    recorder = Recorder(world, Path(settings.records), settings.name)
    weather = Weather(settings.seed, int(settings.latency_ms * MS))
    passing = Passing(world, settings, recorder, weather)
    caught = world.signals(signal.SIGTERM, signal.SIGINT)

    def change(fault: Fault) -> None:
        recorder.note("fault", **msgspec.to_builtins(fault))
        weather.change(fault)
        passing.changed()

    control = Control(world, change, lambda: passing.owners)

    def body(group: Group) -> Coro[None]:
        for link in settings.links:
            listener = world.listen((settings.host, link.port))
            group.spawn(passing.serve(group, link, listener), f"link {link.sender} to {link.to}")
        group.spawn(control.serve(group, world.listen((settings.host, settings.port))), "control")
        recorder.note("up", links=len(settings.links))
        yield from caught()
        group.cancel()

    yield from world.group(body)

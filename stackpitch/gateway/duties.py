"""From settings to a gateway's duties. Imported only where settings name voters."""

from stackpitch.duties.carrier import Duties, Figures
from stackpitch.gateway.logs import Log
from stackpitch.loop import World
from stackpitch.settings import Settings
from stackpitch.settings.made import ticks


def figures(settings: Settings) -> Figures:
    one = settings.duties
    addresses = tuple((host, int(port)) for host, _, port in (address.rpartition(":") for address in settings.peers.admin))
    return Figures(one.fleet, settings.module.number, addresses, tuple(one.voters), tuple(one.names), one.file, one.generation,
                   ticks(one.lease_ms), one.drift, ticks(one.call_ms), ticks(one.announce_ms), one.max_calls)


def duties(world: World, settings: Settings, log: Log) -> Duties:
    return Duties(world, log, figures(settings))

"""From settings to a gateway's duties. Imported only where settings name voters; a duty's work only where they name it."""

from typing import Any

from stackpitch.duties.carrier import Duties, Figures
from stackpitch.gateway.admin import Streamer
from stackpitch.gateway.host import Host
from stackpitch.gateway.logs import Log
from stackpitch.loop import Coro, Stream, World
from stackpitch.settings import Settings
from stackpitch.settings.made import ticks
from stackpitch.wire import http


def figures(settings: Settings) -> Figures:
    one = settings.duties
    addresses = tuple((host, int(port)) for host, _, port in (address.rpartition(":") for address in settings.peers.admin))
    return Figures(one.fleet, settings.module.number, addresses, tuple(one.voters), tuple(one.names), one.file, one.generation,
                   ticks(one.lease_ms), one.drift, ticks(one.call_ms), ticks(one.announce_ms), one.max_calls)


def duties(world: World, settings: Settings, log: Log, host: Host) -> tuple[Duties, dict[str, Streamer]]:
    """The duties, and what the admin port gives of them beside calls, by the beginning of the path."""
    made, streams = Duties(world, log, figures(settings)), dict[str, Streamer]()
    if settings.duties.weights is not None:
        _weights(world, settings, log, host, made, streams)
    return made, streams


def _weights(world: World, settings: Settings, log: Log, host: Host, made: Duties, streams: dict[str, Streamer]) -> None:
    from stackpitch.duties.weights import serving
    from stackpitch.duties.weights.work import WeightsWork
    from stackpitch.gateway.loading import SiteEngines

    def say(word: str, **fields: Any) -> None:
        (log.error if "remedy" in fields else log.info)(word, **fields)

    def revenue() -> float:
        return sum(ask.gen.product.revenue for ask in host.asks.values())

    def given(request: http.RequestReader, stream: Stream) -> Coro[bool]:
        return (yield from serving.answer(world, work.receiver, request, stream))

    assert settings.duties.weights is not None
    engines = SiteEngines(world, host, settings.module.zone)
    work = WeightsWork(world, made, settings.duties.weights, world.fresh(), settings.peers.admin.__getitem__, engines,
                       revenue=revenue, log=say)
    made.add(work)
    streams[serving.PREFIX] = given

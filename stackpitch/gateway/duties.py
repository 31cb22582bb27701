"""From settings to a gateway's duties. Imported only where settings name voters; a duty's work only where they name it."""

from collections.abc import Callable
from typing import Any

from stackpitch.duties.carrier import Duties, DutiesConfig
from stackpitch.gateway.admin import Admin, StreamHandler
from stackpitch.gateway.client_listener import ClientListener
from stackpitch.gateway.host import Host
from stackpitch.gateway.logs import Log
from stackpitch.loop import Coro, Stream, World
from stackpitch.settings import Settings
from stackpitch.settings.convert import ticks
from stackpitch.wire import http


def figures(settings: Settings) -> DutiesConfig:
    one = settings.duties
    addresses = tuple(
        (host, int(port)) for host, _, port in (address.rpartition(":") for address in settings.peers.admin)
    )
    return DutiesConfig(
        one.fleet,
        settings.module.number,
        addresses,
        tuple(one.voters),
        tuple(one.names),
        one.file,
        one.generation,
        ticks(one.lease_ms),
        one.drift,
        ticks(one.call_ms),
        ticks(one.announce_ms),
        one.max_calls,
    )


def duties(
    world: World, settings: Settings, log: Log, host: Host, door: ClientListener, admin: Admin
) -> Duties:
    """The duties, with what the door and the admin port give them and are given by them."""
    made = Duties(world, log, figures(settings))
    admin.body_handlers["/duty"], admin.max_body = made.handle_request, made.LARGEST
    admits: Callable[[str], bool] = _any
    if settings.duties.vocabulary is not None:
        admits = _vocabulary(world, settings, log, host, made, door, admin)
    if settings.duties.weights is not None:
        _weights(world, settings, log, host, made, admin.stream_handlers, admits)
    return made


def _any(vocabulary: str) -> bool:
    """Where nobody judges vocabularies, each may be put in service."""
    return True


def _vocabulary(
    world: World, settings: Settings, log: Log, host: Host, made: Duties, door: ClientListener, admin: Admin
) -> Callable[[str], bool]:
    """Gives what tells a release whether servers may run on a vocabulary."""
    from stackpitch.duties.vocabulary.judging import Files, InChild, InSteps
    from stackpitch.duties.vocabulary.work import VocabularyWork
    from stackpitch.gateway import token_ids
    from stackpitch.gateway.vocabulary_filter import VocabularyFilter

    one = settings.duties.vocabulary
    assert one is not None
    files = Files(one.vocabularies, one.profiles, tuple(settings.customers), tuple(settings.products))
    way = InChild(world, ticks(one.judge_ms)) if world.pipes else InSteps(world)
    work = VocabularyWork(
        world,
        made,
        files,
        way,
        lambda: token_ids.count_vocabularies(host.roster),
        lambda text: log.info("vocabulary", text=text),
        one.most_share,
    )
    made.add(work)
    door.token_translator = token_ids.TokenIdTranslator(work, host.roster)
    host.set_extra_rule(VocabularyFilter(host.roster, host.requests).allows)
    admin.routes |= token_ids.routes(work, admin.routes["POST", "/fleet/confirm"])
    return work.admits


def _weights(
    world: World,
    settings: Settings,
    log: Log,
    host: Host,
    made: Duties,
    streams: dict[str, StreamHandler],
    admits: Callable[[str], bool],
) -> None:
    from stackpitch.duties.weights import serving
    from stackpitch.duties.weights.work import WeightsWork
    from stackpitch.gateway.engine_weights import SiteEngines

    def say(word: str, **fields: Any) -> None:
        if "remedy" in fields:
            failures.labels(word.removeprefix("weights_")).inc()
        (log.error if "remedy" in fields else log.info)(word, **fields)

    def revenue() -> float:
        return sum(ask.gen.product.revenue for ask in host.requests.values())

    def given(request: http.RequestParser, stream: Stream) -> Coro[bool]:
        return (yield from serving.answer(world, work.receiver, request, stream))

    assert settings.duties.weights is not None
    engines = SiteEngines(world, host, settings.module.zone)
    work = WeightsWork(
        world,
        made,
        settings.duties.weights,
        world.unique_id(),
        settings.peers.admin.__getitem__,
        engines,
        admits=admits,
        revenue=revenue,
        log=say,
    )
    failures = host.metrics.register_weights(work.receiver.states, lambda: work.receiver.trouble is not None)
    made.add(work)
    streams[serving.PREFIX] = given

"""Builds a gateway's coordinated tasks from its settings.

Imported only where the settings name voting replicas; each task's modules only where they name that task.
"""

from collections.abc import Callable
from typing import Any

from stackpitch.duties.carrier import Duties, DutiesConfig
from stackpitch.gateway.admin import Admin, StreamHandler
from stackpitch.gateway.host import Host
from stackpitch.gateway.logs import Log
from stackpitch.gateway.openai_listener import OpenAIListener
from stackpitch.loop import Coro, Stream, World
from stackpitch.settings import Settings
from stackpitch.settings.convert import ticks
from stackpitch.wire import http


def build_figures(settings: Settings) -> DutiesConfig:
    """The parameters of leases and calls between gateways."""
    part = settings.duties
    addresses = tuple(
        (host, int(port)) for host, _, port in (address.rpartition(":") for address in settings.peers.admin)
    )
    return DutiesConfig(
        part.fleet,
        settings.module.number,
        addresses,
        tuple(part.voters),
        tuple(part.names),
        part.file,
        part.generation,
        ticks(part.lease_ms),
        part.drift,
        ticks(part.call_ms),
        ticks(part.announce_ms),
        part.max_calls,
    )


def build_duties(
    world: World, settings: Settings, log: Log, host: Host, client_listener: OpenAIListener, admin: Admin
) -> Duties:
    """The coordinated tasks, connected to the listener, the host and the admin port."""
    duties = Duties(world, log, build_figures(settings))
    admin.body_handlers["/duty"], admin.max_body = duties.handle_request, duties.LARGEST
    admits: Callable[[str], bool] = _admit_any
    if settings.duties.vocabulary is not None:
        admits = _add_vocabulary(world, settings, log, host, duties, client_listener, admin)
    if settings.duties.weights is not None:
        _add_weights(world, settings, log, host, duties, admin.stream_handlers, admits)
    return duties


def _admit_any(vocabulary: str) -> bool:
    """Without the vocabulary task any vocabulary may be put in service."""
    return True


def _add_vocabulary(
    world: World,
    settings: Settings,
    log: Log,
    host: Host,
    duties: Duties,
    client_listener: OpenAIListener,
    admin: Admin,
) -> Callable[[str], bool]:
    """Adds the vocabulary task.

    Returns the check whether servers may run on a vocabulary, for releases of weights.
    """
    from stackpitch.duties.vocabulary.judging import Files, InChild, InSteps
    from stackpitch.duties.vocabulary.work import VocabularyWork
    from stackpitch.gateway import token_ids
    from stackpitch.gateway.vocabulary_filter import VocabularyFilter

    part = settings.duties.vocabulary
    assert part is not None
    files = Files(part.vocabularies, part.profiles, tuple(settings.customers), tuple(settings.products))
    runner = InChild(world, ticks(part.judge_ms)) if world.pipes else InSteps(world)
    work = VocabularyWork(
        world,
        duties,
        files,
        runner,
        lambda: token_ids.count_vocabularies(host.roster),
        lambda text: log.info("vocabulary", text=text),
        part.most_share,
    )
    duties.add(work)
    client_listener.token_translator = token_ids.TokenIdTranslator(work, host.roster)
    host.set_extra_rule(VocabularyFilter(host.roster, host.requests).allows)
    admin.routes |= token_ids.routes(work, admin.routes["POST", "/fleet/confirm"])
    return work.admits


def _add_weights(
    world: World,
    settings: Settings,
    log: Log,
    host: Host,
    duties: Duties,
    stream_handlers: dict[str, StreamHandler],
    admits: Callable[[str], bool],
) -> None:
    from stackpitch.duties.weights import serving
    from stackpitch.duties.weights.work import WeightsWork
    from stackpitch.gateway.engine_weights import SiteEngines

    def log_event(word: str, **fields: Any) -> None:
        if "remedy" in fields:
            errors.labels(word.removeprefix("weights_")).inc()
        (log.error if "remedy" in fields else log.info)(word, **fields)

    def revenue() -> float:
        return sum(ask.gen.product.revenue for ask in host.requests.values())

    def serve_weights(request: http.RequestParser, stream: Stream) -> Coro[bool]:
        return (yield from serving.answer(world, work.receiver, request, stream))

    assert settings.duties.weights is not None
    engines = SiteEngines(world, host, settings.module.zone)
    work = WeightsWork(
        world,
        duties,
        settings.duties.weights,
        world.unique_id(),
        settings.peers.admin.__getitem__,
        engines,
        admits=admits,
        revenue=revenue,
        log=log_event,
    )
    errors = host.metrics.register_weights(work.receiver.states, lambda: work.receiver.trouble is not None)
    duties.add(work)
    stream_handlers[serving.PREFIX] = serve_weights

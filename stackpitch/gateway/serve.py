"""Builds a gateway from its settings and runs it until it is signalled to stop."""

import signal
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from stackpitch.gateway import logs
from stackpitch.gateway.admin import Admin, RouteHandler
from stackpitch.gateway.bounds import CONNECTION_REST, Bounds
from stackpitch.gateway.engines import EngineBackend
from stackpitch.gateway.facts import RequestParser
from stackpitch.gateway.host import GossipSettings, Host
from stackpitch.gateway.metrics import Metrics
from stackpitch.gateway.openai_listener import OpenAIListener
from stackpitch.gateway.roster import Roster
from stackpitch.gateway.roster_manager import RosterManager
from stackpitch.interface import Time
from stackpitch.loop import SECOND, Coro, Group, World
from stackpitch.settings import Settings
from stackpitch.settings.convert import customers, kinds, module_arguments, preferences, products, ticks

if TYPE_CHECKING:
    from stackpitch.duties.carrier import Duties


def build_reading(settings: Settings) -> RequestParser:
    """What the listener needs to take a generation's facts from a request."""
    by_name = products(settings)
    models = {model: by_name[name] for name, part in settings.products.items() for model in part.models}
    known = customers(settings)
    keys = {key: known[name] for name, part in settings.customers.items() for key in part.keys}
    return RequestParser(by_name, models, keys, settings.door.bytes_per_tok, settings.door.default_limit_tok)


def build_bounds(settings: Settings) -> Bounds:
    """The limits of connections, answers and waits."""
    engines, door_settings = settings.engines, settings.door
    return Bounds(
        pool=engines.pool,
        connect=ticks(engines.connect_ms),
        idle=ticks(engines.idle_ms),
        gap=ticks(engines.gap_ms),
        call=ticks(engines.call_ms),
        release_tries=engines.release_tries,
        max_head=engines.max_head,
        max_answer=engines.max_answer,
        max_stated=engines.max_answer,
        buffer=door_settings.buffer,
        stall=ticks(door_settings.stall_ms),
        watchdog=ticks(door_settings.answer_margin_ms) // 2,
        request_level=logs.LEVELS[settings.logs.requests],
        settle=CONNECTION_REST,
    )


def build_host(world: World, group: Group, settings: Settings, log: logs.Log, metrics: Metrics) -> Host:
    """The host with its decision module."""
    load = settings.load
    return Host(
        world,
        group,
        log,
        metrics,
        settings.name,
        Roster(world, kinds(settings)),
        build_bounds(settings),
        EngineBackend((load.held_share, load.slots_share, load.queued)),
        settings.seed,
        preferences(settings, world.wall_ms() * 10 - world.now()),
        module_arguments(settings),
        GossipSettings(
            settings.peers.admin,
            settings.module.number,
            ticks(settings.peers.word_ms),
            settings.peers.max_words,
        ),
    )


def serve(
    world: World,
    settings: Settings,
    ready: Callable[[int, int], None] | None = None,
    config: Path | None = None,
    given: Mapping[str, str] | None = None,
) -> Coro[None]:
    """Runs a gateway. Raises BadSettings without a list to start with, OSError on a port that is taken.

    SIGTERM and SIGINT: no new requests are accepted; those in progress are finished, and after
    `stop.finish_ms` the rest is answered with a refusal. SIGHUP: the files are read again. `ready` is called
    with the ports of the listener and of the admin port. `config` and `given`: where the settings come from.
    """
    log = logs.make_logger(settings.name, settings.logs.level, settings.logs.form)
    metrics = Metrics()

    def on_long_step(name: str, spent: Time) -> None:
        metrics.long_steps.inc()
        log.warning("hog", task=name, ms=spent / 10)

    world.on_slow_step, world.slow_step_limit = on_long_step, ticks(settings.logs.hog_ms)
    caught = world.signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    door_settings = settings.door

    def body(group: Group) -> Coro[None]:
        host = build_host(world, group, settings, log, metrics)
        client_listener = OpenAIListener(
            world,
            host,
            log,
            metrics,
            build_reading(settings),
            max_connections=door_settings.max_connections,
            max_bodies=door_settings.max_bodies,
            max_body=door_settings.max_body,
            max_head=door_settings.max_head,
            head=ticks(door_settings.head_ms),
            body=ticks(door_settings.body_ms),
            idle=ticks(door_settings.idle_ms),
            stall=ticks(door_settings.stall_ms),
            margin=ticks(door_settings.answer_margin_ms),
        )
        manager = RosterManager(world, group, log, metrics, host, settings, config, given)

        def apply_settings(new: Settings) -> None:
            client_listener.request_parser = build_reading(new)
            host.set_preferences(preferences(new, host.brain.preferences.epoch))

        manager.on_new_settings = apply_settings
        manager.begin()
        listener = world.listen((door_settings.host, door_settings.port))
        admin_listener = world.listen((settings.admin.host, settings.admin.port))
        group.spawn(client_listener.serve(group, listener), "door")
        admin = Admin(world, _admin_routes(host, manager, metrics))
        duties = _build_duties(world, settings, log, host, client_listener, admin)
        if duties is not None:
            group.spawn(duties.run(), "duties")
        group.spawn(admin.serve(group, admin_listener), "admin")
        group.spawn(_sweep(world, host), "sweep")
        group.spawn(manager.run(), "keeper")
        log.info(
            "serving",
            door=listener.address[1],
            admin=admin_listener.address[1],
            version=host.roster.version,
        )
        if ready is not None:
            ready(listener.address[1], admin_listener.address[1])
        while (number := (yield from caught())) == signal.SIGHUP:
            group.spawn(_reload(manager), "reload")
        log.info("stopping", signal=number, held=len(host.requests))
        listener.finish()
        client_listener.close_idle()
        if duties is not None:
            yield from duties.leave()  # bounded by the limit of one call between gateways
        task = world.current
        host.on_empty = task.wake
        with world.limit(ticks(settings.stop.finish_ms)):
            while client_listener.accepting or host.requests or host.pending_calls:
                yield from world.sleep(50)
        host.on_empty = None
        left = len(host.requests)
        host.stop()
        with world.limit(SECOND):
            while host.requests or host.pending_calls or client_listener.connections:
                yield from world.sleep(20)
        log.info("stopped", answered_at_the_end=left)
        group.cancel()

    yield from world.group(body)


def _build_duties(
    world: World, settings: Settings, log: logs.Log, host: Host, client_listener: OpenAIListener, admin: Admin
) -> "Duties | None":
    """None, without importing them, unless the settings name voting replicas."""
    if not settings.duties.voters:
        return None
    from stackpitch.gateway.duties import build_duties

    return build_duties(world, settings, log, host, client_listener, admin)


def _reload(manager: RosterManager) -> Coro[None]:
    yield from manager.reload()


def _admin_routes(
    host: Host, manager: RosterManager, metrics: Metrics
) -> dict[tuple[str, str], RouteHandler]:
    def answered(error: str | None) -> tuple[int, bytes]:
        body = {"version": host.roster.version, "rejected": error} | manager.status()
        return (200 if error is None else 422), msgspec.json.encode(body)

    def render_metrics(query: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        metrics.relayed_bytes.set(host.relayed_bytes)
        metrics.connections.labels("engines").set(sum(pool.open for pool in host.pools.values()))
        return 200, metrics.render()

    def roster(query: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        servers = [
            {
                "name": server.name,
                "kind": server.kind,
                "zone": server.zone,
                "cell": server.cell,
                "state": server.state,
                "address": list(host.roster.addresses[server]),
            }
            for server in host.roster.addresses
        ]
        return 200, msgspec.json.encode({"version": host.roster.version, "servers": servers})

    def status(query: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        return 200, msgspec.json.encode(manager.status())

    def history(query: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        return 200, msgspec.json.encode(manager.history())

    def reload(query: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        return answered((yield from manager.reload(force=query.get("force") == "1")))

    def peer(query: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        return (200 if host.receive_gossip(query.get("from", ""), query.get("word", "")) else 400), b"{}"

    def confirm(query: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        return answered(manager.confirm(query.get("digest", "")))

    def rollback(query: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        return answered(manager.rollback(query.get("digest", "")))

    return {
        ("GET", "/metrics"): render_metrics,
        ("GET", "/roster"): roster,
        ("POST", "/roster/reload"): reload,
        ("GET", "/fleet"): status,
        ("GET", "/fleet/history"): history,
        ("POST", "/fleet/confirm"): confirm,
        ("POST", "/fleet/rollback"): rollback,
        ("POST", "/peer"): peer,
    }


def _sweep(world: World, host: Host) -> Coro[None]:
    while True:
        yield from world.sleep(SECOND)
        for pool in host.pools.values():
            pool.sweep()

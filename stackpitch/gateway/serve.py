"""Puts a gateway together from its settings and runs it until it is told to stop."""

import signal
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from stackpitch.gateway import logs
from stackpitch.gateway.admin import Admin, RouteHandler
from stackpitch.gateway.bounds import Bounds
from stackpitch.gateway.client_listener import ClientListener
from stackpitch.gateway.engines import EngineBackend
from stackpitch.gateway.facts import RequestParser
from stackpitch.gateway.host import GossipSettings, Host
from stackpitch.gateway.metrics import Metrics
from stackpitch.gateway.roster import Roster
from stackpitch.gateway.roster_manager import RosterManager
from stackpitch.interface import Time
from stackpitch.loop import SECOND, Coro, Group, World
from stackpitch.settings import Settings
from stackpitch.settings.convert import customers, kinds, module_arguments, preferences, products, ticks

if TYPE_CHECKING:
    from stackpitch.duties.carrier import Duties


def build_reading(settings: Settings) -> RequestParser:
    made = products(settings)
    models = {model: made[name] for name, one in settings.products.items() for model in one.models}
    known = customers(settings)
    keys = {key: known[name] for name, one in settings.customers.items() for key in one.keys}
    return RequestParser(made, models, keys, settings.door.bytes_per_tok, settings.door.default_limit_tok)


def build_bounds(settings: Settings) -> Bounds:
    engines, door = settings.engines, settings.door
    return Bounds(
        pool=engines.pool,
        connect=ticks(engines.connect_ms),
        idle=ticks(engines.idle_ms),
        gap=ticks(engines.gap_ms),
        call=ticks(engines.call_ms),
        release_tries=engines.release_tries,
        max_head=engines.max_head,
        max_answer=engines.max_answer,
        buffer=door.buffer,
        stall=ticks(door.stall_ms),
        watchdog=ticks(door.answer_margin_ms) // 2,
        request_level=logs.LEVELS[settings.logs.requests],
    )


def build_host(world: World, group: Group, settings: Settings, log: logs.Log, metrics: Metrics) -> Host:
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

    SIGTERM and SIGINT: no new work; what is held is finished, and answered after `stop.finish_ms`. SIGHUP: the files
    are read anew. `ready` is told the ports of door and admin. `config` and `given`: where the settings come from.
    """
    log = logs.make_logger(settings.name, settings.logs.level, settings.logs.form)
    metrics = Metrics()

    def on_hog(name: str, spent: Time) -> None:
        metrics.long_steps.inc()
        log.warning("hog", task=name, ms=spent / 10)

    world.on_slow_step, world.slow_step_limit = on_hog, ticks(settings.logs.hog_ms)
    caught = world.signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    door_settings = settings.door

    def body(group: Group) -> Coro[None]:
        carrier = build_host(world, group, settings, log, metrics)
        door = ClientListener(
            world,
            carrier,
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
        manager = RosterManager(world, group, log, metrics, carrier, settings, config, given)

        def take(new: Settings) -> None:
            door.request_parser = build_reading(new)
            carrier.set_preferences(preferences(new, carrier.brain.preferences.epoch))

        manager.new_settings = take
        manager.begin()
        listener = world.listen((door_settings.host, door_settings.port))
        admin_listener = world.listen((settings.admin.host, settings.admin.port))
        group.spawn(door.serve(group, listener), "door")
        admin = Admin(world, _admin_routes(carrier, manager, metrics))
        duties = _duties(world, settings, log, carrier, door, admin)
        if duties is not None:
            group.spawn(duties.run(), "duties")
        group.spawn(admin.serve(group, admin_listener), "admin")
        group.spawn(_sweep(world, carrier), "sweep")
        group.spawn(manager.run(), "keeper")
        log.info(
            "serving",
            door=listener.address[1],
            admin=admin_listener.address[1],
            version=carrier.roster.version,
        )
        if ready is not None:
            ready(listener.address[1], admin_listener.address[1])
        while (number := (yield from caught())) == signal.SIGHUP:
            group.spawn(_told(manager), "reload")
        log.info("stopping", signal=number, held=len(carrier.requests))
        listener.finish()
        door.close_idle()
        if duties is not None:
            yield from duties.leave()  # bounded by the limit of one call between gateways
        task = world.current
        carrier.on_empty = task.wake
        with world.limit(ticks(settings.stop.finish_ms)):
            while door.accepting or carrier.requests or carrier.pending_calls:
                yield from world.sleep(50)
        carrier.on_empty = None
        left = len(carrier.requests)
        carrier.stop()
        with world.limit(SECOND):
            while carrier.requests or carrier.pending_calls or door.connections:
                yield from world.sleep(20)
        log.info("stopped", answered_at_the_end=left)
        group.cancel()

    yield from world.group(body)


def _duties(
    world: World, settings: Settings, log: logs.Log, carrier: Host, door: ClientListener, admin: Admin
) -> "Duties | None":
    """None, and not even imported, unless settings name voters."""
    if not settings.duties.voters:
        return None
    from stackpitch.gateway.duties import duties

    return duties(world, settings, log, carrier, door, admin)


def _told(manager: RosterManager) -> Coro[None]:
    yield from manager.reload()


def _admin_routes(
    carrier: Host, manager: RosterManager, metrics: Metrics
) -> dict[tuple[str, str], RouteHandler]:
    def answered(wrong: str | None) -> tuple[int, bytes]:
        body = {"version": carrier.roster.version, "rejected": wrong} | manager.status()
        return (200 if wrong is None else 422), msgspec.json.encode(body)

    def text(asked: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        metrics.relayed_bytes.set(carrier.relayed_bytes)
        metrics.connections.labels("engines").set(sum(one.open for one in carrier.pools.values()))
        return 200, metrics.render()

    def roster(asked: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        servers = [
            {
                "name": one.name,
                "kind": one.kind,
                "zone": one.zone,
                "cell": one.cell,
                "state": one.state,
                "address": list(carrier.roster.addresses[one]),
            }
            for one in carrier.roster.addresses
        ]
        return 200, msgspec.json.encode({"version": carrier.roster.version, "servers": servers})

    def status(asked: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        return 200, msgspec.json.encode(manager.status())

    def history(asked: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        return 200, msgspec.json.encode(manager.history())

    def reload(asked: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        return answered((yield from manager.reload(force=asked.get("force") == "1")))

    def peer(asked: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        return (200 if carrier.receive_gossip(asked.get("from", ""), asked.get("word", "")) else 400), b"{}"

    def confirm(asked: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        return answered(manager.confirm(asked.get("digest", "")))

    def rollback(asked: Mapping[str, str]) -> Coro[tuple[int, bytes]]:
        yield from ()
        return answered(manager.rollback(asked.get("digest", "")))

    return {
        ("GET", "/metrics"): text,
        ("GET", "/roster"): roster,
        ("POST", "/roster/reload"): reload,
        ("GET", "/fleet"): status,
        ("GET", "/fleet/history"): history,
        ("POST", "/fleet/confirm"): confirm,
        ("POST", "/fleet/rollback"): rollback,
        ("POST", "/peer"): peer,
    }


def _sweep(world: World, carrier: Host) -> Coro[None]:
    while True:
        yield from world.sleep(SECOND)
        for pool in carrier.pools.values():
            pool.sweep()

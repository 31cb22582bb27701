"""Puts a gateway of the platform together from its configuration and runs it until it is told to stop."""

import gc
import signal
from collections.abc import Callable, Mapping
from typing import Any

from stackpitch.benchlink import settings as reading
from stackpitch.gateway import pacing
from stackpitch.gateway.host import Host
from stackpitch.gateway.leg import Bounds
from stackpitch.gateway.pool import Budget
from stackpitch.gateway.roster import Roster
from stackpitch.interface import Time
from stackpitch.loop import MS, SECOND, Coro, Group, World
from stackpitch.platform import config, watching
from stackpitch.platform.discovery import Discovery
from stackpitch.platform.door import PlatformDoor
from stackpitch.platform.leases import Servers
from stackpitch.platform.lines import Lines, NoCounts
from stackpitch.platform.watching import TRIES
from stackpitch.preferences import Preferences

OWN = 7  # descriptors: three standard streams, epoll, two for signals, the listener
PASSING = 2  # a client's connection that was just accepted, and the configuration while it is read anew
UNSEEN = 3  # of libraries that whoever starts the program loads into it
RESERVE = OWN + PASSING + UNSEEN + TRIES + PlatformDoor.told_why
CLIENTS = 0.42  # of the rest: the platform's clients hold a third at most for requests
MAX_BODY, MAX_HEAD = 256 << 10, 16 << 10  # bytes; the protocol's bound, and what no head of it reaches
GAP = SECOND * 35 // 10  # a client is kept waiting 5 s at most after a server's last event; seen a quarter later
SAY = 30 * SECOND  # between two lines that tell what became of each product
COUNT = 10 * SECOND  # between two that tell what each product met
STILL_COMING = 7 * SECOND // 10  # after SIGTERM connections still come


def bounds(settings: reading.Tree, engines: int, buffer: int) -> Bounds:
    """`engines`: connections to servers; `buffer`: bytes that may wait for a client. Times from the settings' own bounds."""
    allowed, extra = settings.tree("bounds"), settings.tree("extra")
    connect = allowed.ticks("connectTimeoutMs", 250)
    return Bounds(
        pool=engines, connect=connect, idle=allowed.ticks("connIdleMs", 30_000) * 7 // 10, gap=GAP,
        call=min(connect, extra.ticks("releaseMs", 500) // 4), release_tries=12, max_head=MAX_HEAD, max_answer=4 << 20,
        buffer=buffer, stall=GAP, watch=20 * MS, request_level=0, rest=10 * MS)


def serve(world: World, given: Mapping[str, str],
          ready: Callable[[Host, PlatformDoor], None] | None = None) -> Coro[None]:
    """Runs a gateway. Raises BadConfig, and OSError on an address that is taken.

    SIGTERM: not ready any more; what comes within 0.7 s is taken, what is taken is answered. SIGHUP: the configuration
    is read anew, and discovery watched at its address. `ready` is told what was put together.
    """
    caught = world.signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    conf = config.read(given)
    log: Any = Lines(conf.name)
    counts: Any = NoCounts()
    sockets = min(conf.sockets, world.descriptors())  # shares of more than there are would let idle clients take all
    if sockets < config.LEAST["sockets"]:
        raise config.BadConfig(f"the process may hold {sockets} descriptors; {config.LEAST['sockets']} at least are wanted")
    clients = int((sockets - RESERVE) * CLIENTS)
    engines = sockets - RESERVE - clients
    arguments = config.parts(conf.settings, reading.arguments)
    products = config.parts(conf.settings, reading.products)
    customers = config.parts(conf.settings, reading.customers)
    kinds = config.parts(conf.settings, reading.kinds)
    part = conf.memory_mb << 17  # bytes, an eighth: of what clients send, and again of what waits for them
    limits = config.parts(conf.settings, lambda tree: bounds(tree, engines, pacing.buffer(part, clients, MAX_BODY)))

    def body(group: Group) -> Coro[None]:
        host = Host(world, group, log, counts, conf.name, Roster(world, kinds), limits, Servers(), conf.seed,
                    Preferences(), arguments, budget=Budget(engines))
        door = PlatformDoor(
            world, host, log, counts, None, max_connections=clients, max_bodies=part, max_body=MAX_BODY,
            max_head=MAX_HEAD, head=SECOND * 7 // 10, body=SECOND * 7 // 10, idle=10 * SECOND, stall=GAP,
            margin=10 * MS, fresh=SECOND * 12 // 10)
        door.products, door.customers = products, customers
        discovery = Discovery(world, host, log, conf.discovery, conf.known,
                              watching.times(watching.share(conf.name, conf.seed)))
        host.begin()
        listener = world.listen(conf.listen)
        group.spawn(door.serve(group, listener), "door")
        group.spawn(discovery.run(), "discovery")
        group.spawn(_sweep(world, host), "sweep")
        group.spawn(_each(world, SAY, log.classes), "classes")
        group.spawn(_each(world, COUNT, lambda: log.counters(host.counters)), "counters")
        group.spawn(_ready(world, door, discovery), "ready")
        log.info("serving", descriptors=sockets, clients=clients, engines=engines, servers=len(discovery.entries),
                 **{part: conf.settings.values.get(part) for part in ("report", "bounds", "guarantees")})
        if ready is not None:
            ready(host, door)
        # What the program itself consists of need not be looked at each second. Nor is it now: a look would cost as
        # much as two readings of a list of 1,024 servers, and imports leave but some 200 objects to collect.
        gc.freeze()
        while (yield from caught()) == signal.SIGHUP:
            try:
                discovery.aim(config.read(given).discovery)
                log.info("reloaded", discovery=discovery.target)
            except config.BadConfig as wrong:
                log.error("reload_failed", why=str(wrong))
        log.info("stopping", held=len(host.asks), connections=door.connections)
        door.close_idle()
        yield from world.sleep(STILL_COMING)
        listener.finish()
        while door.accepting or host.asks or host.calls or door.connections:
            door.close_idle()
            yield from world.sleep(20 * MS)
        log.classes()
        log.counters(host.counters)
        log.info("stopped")
        group.cancel()

    yield from world.group(body)


def _ready(world: World, door: PlatformDoor, discovery: Discovery) -> Coro[None]:
    """Ready with a fresh list; with the known one alone if discovery is silent."""
    with world.limit(SECOND // 2):
        while not discovery.fresh:
            yield from world.sleep(5 * MS)
    door.ready = True


def _each(world: World, span: Time, call: Callable[[], None]) -> Coro[None]:
    while True:
        yield from world.sleep(span)
        call()


def _sweep(world: World, host: Host) -> Coro[None]:
    """Each second. Tasks, generations and readers point at each other, and by itself the collector would let a good
    thousand that are done lie around, with their bodies, before it looks at those that lived for a second."""
    while True:
        yield from world.sleep(SECOND)
        gc.collect()
        for pool in host.pools.values():
            pool.sweep()

"""Puts a gateway of the platform together from its configuration and runs it until it is told to stop."""

import errno
import gc
import signal
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from stackpitch.gateway.host import Host
from stackpitch.gateway.permission import accepts_until, retry_elsewhere_after
from stackpitch.gateway.pool import Budget
from stackpitch.gateway.roster import Roster
from stackpitch.gateway.trace import TRACE_ALL
from stackpitch.interface import Time
from stackpitch.loop import MS, SECOND, Coro, Group, LocalFault, World
from stackpitch.platform import config, watching
from stackpitch.platform.discovery import Discovery
from stackpitch.platform.lines import JsonLog, NullMetrics
from stackpitch.platform.listener import PlatformListener
from stackpitch.platform.plan import CLIENT_SHARE as CLIENT_SHARE
from stackpitch.platform.plan import GAP, MAX_BODY, MAX_HEAD, make_plan
from stackpitch.platform.plan import RESERVED_DESCRIPTORS as RESERVED_DESCRIPTORS
from stackpitch.platform.reloading import Reloader
from stackpitch.platform.server_client import PlatformServerClient
from stackpitch.preferences import Preferences

T = TypeVar("T")
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SAY = 30 * SECOND  # between two lines that tell what became of each product
COUNT = 10 * SECOND  # between two that tell what each product met
HEARTBEAT = (
    100 * MS
)  # so exactly is known how long a request may have waited for the process; servers are told within 150
MOMENTARY = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN)
START_TRIES, START_PAUSE = 20, 50 * MS


def serve(
    world: World, given: Mapping[str, str], ready: Callable[[Host, PlatformListener], None] | None = None
) -> Coro[None]:
    """Runs a gateway. Raises BadConfig, and OSError on an address that is taken.

    SIGTERM: not ready any more; what comes within 0.7 s is taken, what is taken is answered, and what comes later on
    connections that are still open is refused. SIGHUP: the configuration is read anew (`reloading`). `ready` is told what
    was put together.
    """
    caught = yield from _patiently(world, lambda: world.signals(*STOP_SIGNALS, signal.SIGHUP))
    conf = config.read(given)
    log: Any = JsonLog(conf.name)
    counts: Any = NullMetrics()
    plan = make_plan(conf, world.max_descriptors())

    def body(group: Group) -> Coro[None]:
        budget = Budget(plan.engines - plan.calls, plan.calls)
        host = Host(
            world,
            group,
            log,
            counts,
            conf.name,
            Roster(world, plan.kinds),
            plan.bounds,
            PlatformServerClient(),
            conf.seed,
            Preferences(),
            plan.arguments,
            budget=budget,
        )
        door = PlatformListener(
            world,
            host,
            log,
            counts,
            None,
            max_connections=plan.clients,
            max_bodies=plan.bodies,
            max_body=MAX_BODY,
            max_head=MAX_HEAD,
            head=SECOND * 7 // 10,
            body=SECOND * 7 // 10,
            idle=10 * SECOND,
            stall=GAP,
            margin=10 * MS,
            fresh=SECOND * 12 // 10,
        )
        door.products, door.customers = plan.products, plan.customers
        door.told_to_stop = lambda: world.first_signal_time(STOP_SIGNALS)
        discovery = Discovery(
            world,
            host,
            log,
            conf.discovery,
            conf.known,
            watching.watch_times(watching.gateway_spread(conf.name, conf.seed)),
        )
        reloading = Reloader(world, log, given, plan, host, budget, door, discovery)
        host.trace_limiter.log_all = given.get(TRACE_ALL) == "all"
        host.begin()
        listener = yield from _patiently(world, lambda: world.listen(conf.listen))
        group.spawn(door.serve(group, listener), "door")
        group.spawn(discovery.run(), "discovery")
        group.spawn(_sweep(world, host), "sweep")
        group.spawn(_each(world, SAY, log.log_outcomes), "classes")
        group.spawn(_each(world, COUNT, lambda: _tell_counts(world, host, door, log)), "counters")
        group.spawn(_each(world, HEARTBEAT, _nothing), "heartbeat")
        group.spawn(_ready(world, door, discovery), "ready")
        log.info(
            "serving",
            descriptors=plan.sockets,
            clients=plan.clients,
            engines=plan.engines,
            servers=len(discovery.entries),
            **{part: conf.settings.values.get(part) for part in ("report", "bounds", "guarantees")},
        )
        if ready is not None:
            ready(host, door)
        # What the program itself consists of need not be looked at each second. Nor is it now: a look would cost as
        # much as two readings of a list of 1,024 servers, and imports leave but some 200 objects to collect.
        gc.freeze()
        while (yield from caught()) == signal.SIGHUP:
            group.spawn(reloading.reload_patiently(), "reload")
        told = world.first_signal_time(STOP_SIGNALS) or world.now()
        door.retry_after = retry_elsewhere_after(reloading.plan.arguments["max_retry_after"])
        door.close_idle()
        group.spawn(_reloads(caught, reloading), "reloads")
        log.info(
            "stopping",
            held=len(host.requests),
            connections=door.connections,
            unseen_ms=(world.now() - told) / MS,
            takes_for_ms=max(0, accepts_until(told) - world.now()) / MS,
        )
        yield from world.sleep(accepts_until(told) - world.now())
        listener.finish()
        while door.accepting or host.requests or host.pending_calls or door.connections:
            door.close_idle()
            yield from world.sleep(20 * MS)
        log.log_outcomes()
        _tell_counts(world, host, door, log)
        log.info("stopped")
        group.cancel()

    yield from world.group(body)


def _patiently(world: World, make: Callable[[], T]) -> Coro[T]:
    """Guards the start against a system that is short of something for a moment. Raises OSError."""
    for left in reversed(range(START_TRIES)):
        try:
            return make()
        except OSError as wrong:
            if not left or wrong.errno not in MOMENTARY:
                raise
        yield from world.sleep(START_PAUSE)
    raise AssertionError("the last try returns or raises")


def _ready(world: World, door: PlatformListener, discovery: Discovery) -> Coro[None]:
    """Ready with a fresh list; with the known one alone if discovery is silent."""
    with world.limit(SECOND // 2):
        while not discovery.fresh:
            yield from world.sleep(5 * MS)
    door.ready = True


def _reloads(caught: Callable[[], Coro[int]], reloading: Reloader) -> Coro[None]:
    """While the gateway stops: requests still come, and of signals that are pending together the system tells SIGTERM
    before a SIGHUP that was sent first."""
    while True:
        if (yield from caught()) == signal.SIGHUP:
            yield from reloading.reload_patiently()


def _tell_counts(world: World, host: Host, door: PlatformListener, log: JsonLog) -> None:
    """What came of each class, why connections ended, what was not permitted, and which calls of the system failed, each
    since the last time."""
    log.counters(host.counters)
    if closed := door.take_close_reasons():
        log.info("connections_ended", **closed)
    if refused := host.denials.take():
        log.info("not_permitted", **refused)
    if faults := world.take_faults():
        log.warning("system_faults", **faults, remedy=LocalFault.remedy)


def _nothing() -> None:
    """A timer that is due often lets the loop see for how long it was not run (`World.max_detection_delay`)."""


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

"""Builds a gateway of the platform from its configuration and runs it until it is signalled to stop."""

import errno
import gc
import signal
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from stackpitch.gateway.host import Host
from stackpitch.gateway.permission import accepts_until, retry_elsewhere_after
from stackpitch.gateway.pool import Budget
from stackpitch.gateway.recently_run import RecentlyRun
from stackpitch.gateway.roster import Roster
from stackpitch.gateway.trace import TRACE_ALL
from stackpitch.interface import Time
from stackpitch.loop import MS, SECOND, Coro, Group, LocalFault, World
from stackpitch.platform import config, watching
from stackpitch.platform.discovery import Discovery
from stackpitch.platform.lines import JsonLog, NullMetrics
from stackpitch.platform.listener import PlatformListener
from stackpitch.platform.plan import CLIENT_SHARE as CLIENT_SHARE
from stackpitch.platform.plan import CLIENT_STALL, MAX_BODY, MAX_HEAD, make_plan
from stackpitch.platform.plan import RESERVED_DESCRIPTORS as RESERVED_DESCRIPTORS
from stackpitch.platform.reloading import Reloader
from stackpitch.platform.server_client import PlatformServerClient
from stackpitch.preferences import Preferences

T = TypeVar("T")
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
OUTCOME_LOG_INTERVAL = 30 * SECOND
COUNTER_LOG_INTERVAL = 10 * SECOND
# The precision with which it is known how long a request waited while the process did not run. The time left
# that servers are told may be off by 150 ms at most.
HEARTBEAT = 100 * MS
TRANSIENT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN)
START_TRIES, START_PAUSE = 20, 50 * MS
SLOW_TURN_REMEDY = "give the process more processor time, or report what its clients sent"
SLOW_TURN = 50 * MS  # a turn of the event loop that is logged, as everything waited for its end


def serve(
    world: World, environ: Mapping[str, str], ready: Callable[[Host, PlatformListener], None] | None = None
) -> Coro[None]:
    """Runs a gateway. Raises ConfigError, and OSError on an address that is taken.

    SIGTERM: the readiness check fails, requests that arrive within 0.7 s are accepted, accepted ones are
    answered, and later ones on connections that are still open are refused. SIGHUP: the configuration is
    reloaded (`reloading`). `ready` is called with what was built once the gateway serves.
    """
    caught = yield from _with_retries(world, lambda: world.signals(*STOP_SIGNALS, signal.SIGHUP))
    conf = config.read(environ)
    log: Any = JsonLog(conf.name)
    metrics: Any = NullMetrics()
    plan = make_plan(conf, world.max_descriptors())

    def body(group: Group) -> Coro[None]:
        budget = Budget(plan.server_connections - plan.call_connections, plan.call_connections)
        host = Host(
            world,
            group,
            log,
            metrics,
            conf.name,
            Roster(world, plan.kinds),
            plan.bounds,
            PlatformServerClient(),
            conf.seed,
            Preferences(),
            plan.arguments,
            budget=budget,
        )
        host.recently_run = RecentlyRun(world)
        client_listener = PlatformListener(
            world,
            host,
            log,
            metrics,
            max_connections=plan.client_connections,
            max_bodies=plan.body_bytes,
            max_body=MAX_BODY,
            max_head=MAX_HEAD,
            head=SECOND * 7 // 10,
            body=SECOND * 7 // 10,
            idle=10 * SECOND,
            stall=CLIENT_STALL,
            margin=10 * MS,
            fresh=SECOND * 12 // 10,
        )
        client_listener.products, client_listener.customers = plan.products, plan.customers
        client_listener.stop_signalled_at = lambda: world.first_signal_time(STOP_SIGNALS)
        discovery = Discovery(
            world,
            host,
            log,
            conf.discovery,
            conf.known,
            watching.watch_times(watching.gateway_spread(conf.name, conf.seed), plan.drain_grace),
        )
        reloader = Reloader(world, log, environ, plan, host, budget, client_listener, discovery)
        host.trace_limiter.log_all = environ.get(TRACE_ALL) == "all"
        host.begin()
        listener = yield from _with_retries(world, lambda: world.listen(conf.listen))
        group.spawn(client_listener.serve(group, listener), "door")
        group.spawn(discovery.run(), "discovery")
        group.spawn(_sweep(world, host), "sweep")
        group.spawn(_every(world, OUTCOME_LOG_INTERVAL, log.log_outcomes), "classes")
        group.spawn(
            _every(world, COUNTER_LOG_INTERVAL, lambda: _log_counts(world, host, client_listener, log)),
            "counters",
        )
        group.spawn(_every(world, HEARTBEAT, _nothing), "heartbeat")
        group.spawn(_ready(world, client_listener, discovery), "ready")
        log.info(
            "serving",
            descriptors=plan.descriptors,
            clients=plan.client_connections,
            engines=plan.server_connections,
            servers=len(discovery.entries),
            **{part: conf.settings.values.get(part) for part in ("report", "bounds", "guarantees")},
        )
        if ready is not None:
            ready(host, client_listener)
        # Excludes the program's own objects from the collection of each second. No collection runs before: it
        # would cost as much as parsing a list of 1,024 servers twice, and imports leave only some 200 objects
        # to collect.
        gc.freeze()
        while (yield from caught()) == signal.SIGHUP:
            group.spawn(reloader.reload_patiently(), "reload")
        signalled = world.first_signal_time(STOP_SIGNALS) or world.now()
        client_listener.retry_after = retry_elsewhere_after(reloader.plan.arguments["max_retry_after"])
        client_listener.close_idle()
        group.spawn(_reloads(caught, reloader), "reloads")
        log.info(
            "stopping",
            held=len(host.requests),
            connections=client_listener.connections,
            unseen_ms=(world.now() - signalled) / MS,
            takes_for_ms=max(0, accepts_until(signalled) - world.now()) / MS,
        )
        yield from world.sleep(accepts_until(signalled) - world.now())
        listener.finish()
        while client_listener.accepting or host.requests or host.pending_calls or client_listener.connections:
            client_listener.close_idle()
            yield from world.sleep(20 * MS)
        log.log_outcomes()
        _log_counts(world, host, client_listener, log)
        log.info("stopped")
        group.cancel()

    yield from world.group(body)


def _with_retries(world: World, make: Callable[[], T]) -> Coro[T]:
    """Retries a call at start while the system lacks a resource for a moment. Raises OSError."""
    for left in reversed(range(START_TRIES)):
        try:
            return make()
        except OSError as error:
            if not left or error.errno not in TRANSIENT_ERRORS:
                raise
        yield from world.sleep(START_PAUSE)
    raise AssertionError("the last attempt returns or raises")


def _ready(world: World, client_listener: PlatformListener, discovery: Discovery) -> Coro[None]:
    """Becomes ready with the first list from discovery; after 0.5 s without one, with the known list."""
    with world.limit(SECOND // 2):
        while not discovery.list_received:
            yield from world.sleep(5 * MS)
    client_listener.ready = True


def _reloads(caught: Callable[[], Coro[int]], reloader: Reloader) -> Coro[None]:
    """Reloads while the gateway stops, as requests still arrive.

    Of signals that are pending together the system delivers SIGTERM before a SIGHUP that was sent first.
    """
    while True:
        if (yield from caught()) == signal.SIGHUP:
            yield from reloader.reload_patiently()


def _log_counts(world: World, host: Host, client_listener: PlatformListener, log: JsonLog) -> None:
    """Logs what was counted since the last time.

    That is: the counters of each class, why connections ended, which acts were not permitted, which system
    calls failed, and the longest turn of the event loop if it was slow.
    """
    log.log_counters(host.counters)
    if closed := client_listener.take_close_reasons():
        log.info("connections_ended", **closed)
    if refused := host.denials.take():
        log.info("not_permitted", **refused)
    if faults := world.take_faults():
        log.warning("system_faults", **faults, remedy=LocalFault.remedy)
    if (longest := world.take_longest_turn()) >= SLOW_TURN:
        log.warning("slow_turn", longest_ms=longest / MS, remedy=SLOW_TURN_REMEDY)


def _nothing() -> None:
    """A timer that is due often lets the loop measure for how long the process did not run
    (`World.max_detection_delay`)."""


def _every(world: World, interval: Time, call: Callable[[], None]) -> Coro[None]:
    while True:
        yield from world.sleep(interval)
        call()


def _sweep(world: World, host: Host) -> Coro[None]:
    """Collects garbage and closes idle connections each second.

    Tasks, generations and readers refer to each other, and by its own schedule the collector would leave over
    a thousand finished ones in memory, with their bodies, before it examines the objects that have lived for
    a second.
    """
    while True:
        yield from world.sleep(SECOND)
        gc.collect()
        for pool in host.pools.values():
            pool.sweep()

"""Derives what a gateway works with from its configuration, before anything is changed.

That is: shares of descriptors and memory, time limits, and the parts of the settings that listener, host and
decision module take.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from stackpitch.benchlink import settings as reading
from stackpitch.gateway import pacing
from stackpitch.gateway.bounds import CONNECTION_REST, Bounds
from stackpitch.interface import Customer, Product, Role, Time
from stackpitch.loop import MS
from stackpitch.platform import config
from stackpitch.platform.listener import PlatformListener
from stackpitch.platform.watching import MAX_CONNECTIONS

PROCESS_DESCRIPTORS = 7  # three standard streams, epoll, two for signals, the listener
TRANSIENT_DESCRIPTORS = 2  # a client's connection that was just accepted; the configuration file on a reload
PRELOADED_DESCRIPTORS = 3  # of libraries that the parent process preloads
RESERVED_DESCRIPTORS = (
    PROCESS_DESCRIPTORS
    + TRANSIENT_DESCRIPTORS
    + PRELOADED_DESCRIPTORS
    + MAX_CONNECTIONS
    + PlatformListener.max_over_limit
)
# Clients' share of the other descriptors. The platform's clients need a third at most for requests.
CLIENT_SHARE = 0.42
MAX_BODY, MAX_HEAD = 256 << 10, 16 << 10  # bytes; the protocol's limit, and more than any of its heads needs
CALL_DIVISOR = 16  # one in so many connections to servers, and at least one, is reserved for control calls
# Steps of one release. With their gaps they take 78 times the time limit of a call, some ten seconds.
RELEASE_TRIES = 84
# A client may wait 5 s after a server's last event. That may be read 0.3 s late, and this process held up for 0.15 s.
EVENT_GAP: Time = 4_500 * MS
CLIENT_STALL: Time = 3_500 * MS  # after which a client that takes nothing is cut off


# The protocol has neither gossip between gateways nor probes. A module that is allowed to use them would wait
# for answers that never come, and base decisions on them.
UNSUPPORTED: Mapping[str, Any] = {"peers": False, "probes": False}


@dataclass(frozen=True, slots=True)
class Plan:
    """A configuration and everything derived from it."""

    conf: config.Config
    descriptors: int  # the number that is divided
    client_connections: int
    server_connections: int  # including those for control calls
    call_connections: int  # of the server connections, those reserved for control calls
    body_bytes: int  # for what clients send, and as much again for what waits to be sent to them
    arguments: Mapping[str, Any]  # of the decision module
    products: Mapping[str, Product]
    customers: Mapping[str, Customer]
    kinds: Mapping[str, tuple[Role, int]]
    bounds: Bounds
    drain_grace: Time  # for which a server that drains may still be sent to

    def same_settings(self, other: "Plan") -> bool:
        """Whether both would build the same decision module and accept requests alike."""
        conf, other_conf = self.conf, other.conf
        return conf.seed == other_conf.seed and bool(conf.settings.values == other_conf.settings.values)


def bounds(settings: reading.SettingsSection, server_connections: int, buffer: int) -> Bounds:
    """`buffer`: bytes that may wait for a client."""
    limits, extra = settings.section("bounds"), settings.section("extra")
    connect, release = limits.ticks("connectTimeoutMs", 250), extra.ticks("releaseMs", 500)
    return Bounds(
        pool=server_connections,
        connect=connect,
        idle=limits.ticks("connIdleMs", 30_000) * 7 // 10,
        gap=EVENT_GAP,
        call=min(connect, release // 4),
        release_tries=RELEASE_TRIES,
        max_head=MAX_HEAD,
        max_answer=4 << 20,
        max_stated=MAX_BODY,
        buffer=buffer,
        stall=CLIENT_STALL,
        watchdog=20 * MS,
        request_level=0,
        release=release,
        settle=CONNECTION_REST,
    )


def drain_grace(settings: reading.SettingsSection) -> Time:
    """For how long after a change a server that drains may still be sent to."""
    return settings.section("guarantees").ticks("drainGraceMs", 1000)


def make_plan(conf: config.Config, available: int) -> Plan:
    """`available`: descriptors that the system lets the process hold. Raises ConfigError."""
    # Shares of more descriptors than there are would let idle clients take all of them.
    descriptors = min(conf.sockets, available)
    if descriptors < config.MINIMUMS["sockets"]:
        raise config.ConfigError(
            f"the process may hold {descriptors} descriptors; {config.MINIMUMS['sockets']} is the minimum"
        )
    client_connections = int((descriptors - RESERVED_DESCRIPTORS) * CLIENT_SHARE)
    server_connections = descriptors - RESERVED_DESCRIPTORS - client_connections
    body_bytes = conf.memory_mb << 17  # an eighth of the memory
    buffer = pacing.client_buffer(body_bytes, client_connections, MAX_BODY)
    return Plan(
        conf=conf,
        descriptors=descriptors,
        client_connections=client_connections,
        server_connections=server_connections,
        call_connections=max(1, server_connections // CALL_DIVISOR),
        body_bytes=body_bytes,
        arguments={**config.convert(conf.settings, reading.module_arguments), **UNSUPPORTED},
        products=config.convert(conf.settings, reading.products),
        customers=config.convert(conf.settings, reading.customers),
        kinds=config.convert(conf.settings, reading.kinds),
        bounds=config.convert(conf.settings, lambda tree: bounds(tree, server_connections, buffer)),
        drain_grace=config.convert(conf.settings, drain_grace),
    )

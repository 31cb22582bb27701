"""What a gateway of the platform works with, worked out from its configuration before anything changes.

Shares of descriptors and of memory, times, and the parts of the settings that door, host and module take.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from stackpitch.benchlink import settings as reading
from stackpitch.gateway import pacing
from stackpitch.gateway.bounds import Bounds
from stackpitch.interface import Customer, Product, Role
from stackpitch.loop import MS, SECOND
from stackpitch.platform import config
from stackpitch.platform.listener import PlatformListener
from stackpitch.platform.watching import TRIES

OWN = 7  # descriptors: three standard streams, epoll, two for signals, the listener
PASSING = 2  # a client's connection that was just accepted, and the configuration while it is read anew
UNSEEN = 3  # of libraries that whoever starts the program loads into it
RESERVED_DESCRIPTORS = OWN + PASSING + UNSEEN + TRIES + PlatformListener.max_over_limit
CLIENT_SHARE = 0.42  # of the rest: the platform's clients hold a third at most for requests
MAX_BODY, MAX_HEAD = 256 << 10, 16 << 10  # bytes; the protocol's bound, and what no head of it reaches
CALLS_PART = 16  # one connection to servers in so many, and one at least, is for small calls alone
RELEASE_TRIES = (
    84  # steps of one; with their gaps they go on for 78 times the limit of a call, some ten seconds
)
GAP = (
    SECOND * 35 // 10
)  # a client is kept waiting 5 s at most after a server's last event; seen a quarter later


# The protocol has no messages between gateways and no probes. A module that is told that they are allowed waits for
# answers that never come, and goes by what it would hear.
NOT_CARRIED: Mapping[str, Any] = {"peers": False, "probes": False}


@dataclass(frozen=True, slots=True)
class Plan:
    """One configuration with all that follows from it."""

    conf: config.Config
    sockets: int  # descriptors that are shared out
    clients: int  # connections of clients
    engines: int  # connections to servers, those for calls among them
    calls: int  # of them, those for small calls alone
    bodies: int  # bytes of what clients send, and again of what waits for them
    arguments: Mapping[str, Any]  # of the module
    products: Mapping[str, Product]
    customers: Mapping[str, Customer]
    kinds: Mapping[str, tuple[Role, int]]
    bounds: Bounds

    def same_settings(self, other: "Plan") -> bool:
        """Whether the module would be made alike, and requests be taken alike."""
        mine, others = self.conf, other.conf
        return mine.seed == others.seed and bool(mine.settings.values == others.settings.values)


def bounds(settings: reading.SettingsSection, engines: int, buffer: int) -> Bounds:
    """`engines`: connections to servers. `buffer`: bytes that may wait for a client."""
    allowed, extra = settings.section("bounds"), settings.section("extra")
    connect, release = allowed.ticks("connectTimeoutMs", 250), extra.ticks("releaseMs", 500)
    return Bounds(
        pool=engines,
        connect=connect,
        idle=allowed.ticks("connIdleMs", 30_000) * 7 // 10,
        gap=GAP,
        call=min(connect, release // 4),
        release_tries=RELEASE_TRIES,
        max_head=MAX_HEAD,
        max_answer=4 << 20,
        buffer=buffer,
        stall=GAP,
        watchdog=20 * MS,
        request_level=0,
        release=release,
        settle=10 * MS,
    )


def make_plan(conf: config.Config, descriptors: int) -> Plan:
    """`descriptors`: that the system lets the process hold. Raises BadConfig."""
    sockets = min(conf.sockets, descriptors)  # shares of more than there are would let idle clients take all
    if sockets < config.MINIMUMS["sockets"]:
        raise config.ConfigError(
            f"the process may hold {sockets} descriptors; {config.MINIMUMS['sockets']} at least are wanted"
        )
    clients = int((sockets - RESERVED_DESCRIPTORS) * CLIENT_SHARE)
    engines = sockets - RESERVED_DESCRIPTORS - clients
    part = conf.memory_mb << 17  # bytes, an eighth
    buffer = pacing.client_buffer(part, clients, MAX_BODY)
    return Plan(
        conf=conf,
        sockets=sockets,
        clients=clients,
        engines=engines,
        calls=max(1, engines // CALLS_PART),
        bodies=part,
        arguments={**config.parts(conf.settings, reading.module_arguments), **NOT_CARRIED},
        products=config.parts(conf.settings, reading.products),
        customers=config.parts(conf.settings, reading.customers),
        kinds=config.parts(conf.settings, reading.kinds),
        bounds=config.parts(conf.settings, lambda tree: bounds(tree, engines, buffer)),
    )

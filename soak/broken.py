"""Gateways that are broken on purpose, to show that the oracle finds it: `python -m soak.broken FAULT`."""

import os
import sys
from collections.abc import Callable
from typing import Any

from stackpitch.brain.holds import Holds
from stackpitch.gateway import leg as attempts
from stackpitch.gateway.ask import Ask
from stackpitch.gateway.host.told import Told
from stackpitch.gateway.outcomes import Phase
from stackpitch.gateway.roster import Roster
from stackpitch.gateway.starts import Starts
from stackpitch.loop import MS, RealWorld
from stackpitch.platform import leases
from stackpitch.platform.ask import PlatformAsk
from stackpitch.platform.door import PlatformDoor
from stackpitch.platform.leg import PlatformLeg
from stackpitch.platform.reloading import Reloading
from stackpitch.platform.serve import serve
from stackpitch.wire import http, platform


def second_copy() -> None:
    """Each attempt's request is written once more, to the same worker, on a connection of its own."""
    exchange = PlatformLeg._exchange

    def twice(self: Any, stream: Any, scope: Any) -> Any:
        address = self.host.roster.addresses[self.leg.server]

        def copy() -> Any:
            other = yield from self.host.world.connect(address, 2500)
            other.write(self._request())
            yield from self.host.world.sleep(3000)
            other.close()

        if self.leg.server.role == "writer":
            self.host.group.spawn(self.host.counted(copy()), "copy")
        return (yield from exchange(self, stream, scope))

    PlatformLeg._exchange = twice  # type: ignore[method-assign]


def held_events() -> None:
    """What a stream brings is passed on 0.8 s later."""
    more = attempts.LegRun._more

    def late(self: Any, stream: Any, most: int = 65536) -> Any:
        if self.leg.streaming:
            yield from self.host.world.sleep(800 * MS)
        yield from more(self, stream, most)

    attempts.LegRun._more = late  # type: ignore[method-assign]


def forgotten_release() -> None:
    leases.Servers._let_go = lambda self, ask: None  # type: ignore[method-assign]


def unanswered() -> None:
    """What is refused is closed with no answer."""

    def refuse(self: Any, *args: Any, **fields: Any) -> None:
        self.cut = True
        self._final("refused")
        if self.client is not None:
            self.client.close()

    PlatformAsk.refuse = refuse  # type: ignore[method-assign]


def client_left() -> None:
    """Nobody looks whether the client has left, nor is told."""
    Ask.left = lambda self: False  # type: ignore[method-assign]
    Told.departed = lambda self, ask: None  # type: ignore[method-assign]


def drained_server() -> None:
    """Lists take nobody off, and nobody drains."""
    told = Roster.apply

    def deaf(self: Any, version: int, entries: Any, current: bool = True) -> Any:
        return told(self, version, entries, current) if not self.applied else []

    Roster.apply = deaf  # type: ignore[method-assign]


def long_deadline() -> None:
    """Workers are told three seconds more than is left."""
    attempts.LegRun.time_left = lambda self: self.ends - self.host.world.now() + 3000 * MS  # type: ignore[method-assign]


def repeated_effect() -> None:
    """What may have run is sent again, whatever its effect."""
    run = attempts.LegRun._run

    def again(self: Any) -> Any:
        end = yield from run(self)
        if end.outcome in ("reset", "error", "time-out"):
            self.reader = http.ResponseReader(self.host.bounds.max_head, self.host.bounds.max_answer)
            self.phase, self.events = [Phase.QUEUED], platform.Events()
            end = yield from run(self)
        return end

    attempts.LegRun._run = again  # type: ignore[method-assign]


def overloaded_cold() -> None:
    """Every worker is warm."""
    Starts.take = lambda self, name, claimed: None  # type: ignore


def second_answer() -> None:
    """A word of our own follows a whole answer."""
    finish = PlatformAsk.finish

    def more(self: Any) -> None:
        finish(self)
        if self.client is not None:
            self.client.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    PlatformAsk.finish = more  # type: ignore[method-assign]


def late_requests() -> None:
    """A gateway that stops takes requests for as long as a connection is open."""
    PlatformDoor._takes_until = lambda self: None  # type: ignore[method-assign]


def late_requests_after_reload() -> None:
    """The same, but only where a configuration was read anew before."""
    reload, takes_until = Reloading.reload, PlatformDoor._takes_until
    reloaded: set[PlatformDoor] = set()

    def note(self: Any) -> None:
        reload(self)
        reloaded.add(self.door)

    def until(self: Any) -> Any:
        return None if self in reloaded else takes_until(self)

    Reloading.reload = note  # type: ignore[method-assign]
    PlatformDoor._takes_until = until  # type: ignore[method-assign]


def unarrived_send() -> None:
    """An attempt counts as arrived once it is written here."""
    Holds.arrived = lambda self, leg: True  # type: ignore


FAULTS: dict[str, Callable[[], None]] = {
    "late-requests": late_requests,
    "late-requests-after-reload": late_requests_after_reload,
    "unarrived-send": unarrived_send,
    "second-copy": second_copy,
    "held-events": held_events,
    "forgotten-release": forgotten_release,
    "unanswered": unanswered,
    "client-left": client_left,
    "drained-server": drained_server,
    "long-deadline": long_deadline,
    "repeated-effect": repeated_effect,
    "overloaded-cold": overloaded_cold,
    "second-answer": second_answer,
}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    world = RealWorld()
    world.run(serve(world, os.environ))

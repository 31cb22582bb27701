"""Kept connections to all engines of a gateway, and the small calls over them."""

from typing import TYPE_CHECKING

from stackpitch.exchange import round_trip
from stackpitch.gateway.bounds import Bounds
from stackpitch.gateway.outcomes import Phase
from stackpitch.gateway.pool import Budget, Pool, PoolExhausted
from stackpitch.gateway.roster import Roster
from stackpitch.interface import Server, Time
from stackpitch.loop import ConnectFailed, ConnectionLost, Coro, Stream, World
from stackpitch.wire import http

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log


class EngineConnections:
    """One pool for each server. `name`: this gateway's, said in each call."""

    def __init__(
        self, world: World, log: "Log", name: str, roster: Roster, bounds: Bounds, budget: Budget | None
    ) -> None:
        self.world, self.log, self.name, self.roster, self.bounds, self.budget = (
            world,
            log,
            name,
            roster,
            bounds,
            budget,
        )
        self.pools: dict[Server, Pool] = {}  # emptied when a server is gone and its last leg is back
        self.pending_calls = 0  # small calls under way

    def pool(self, server: Server) -> Pool:
        pool = self.pools.get(server)
        if pool is None:
            bounds = self.bounds
            pool = self.pools[server] = Pool(
                self.world,
                self.roster.addresses[server],
                bounds.pool,
                bounds.connect,
                bounds.idle,
                bounds.settle,
                self.budget,
            )
        return pool

    def apply_bounds(self, bounds: Bounds) -> None:
        self.bounds = bounds
        for pool in self.pools.values():
            pool.apply_bounds(bounds.pool, bounds.connect, bounds.idle, bounds.settle)

    def close(self, server: Server) -> None:
        """The server is gone, or at another address."""
        if (pool := self.pools.pop(server, None)) is not None:
            pool.close()

    def exchange(
        self, stream: Stream, method: str, target: str, name: str, body: bytes, last: bool = False
    ) -> Coro[http.ResponseParser | None]:
        """One request and its whole answer, the body in `pieces`; None if it can't be followed by another, unless it is
        the `last`."""
        request = http.request(method, target, name, body, [("x-gateway", self.name)])
        reader = yield from round_trip(stream, request, self.bounds.max_head, 1 << 16)
        if reader is None:
            return None
        return reader if last or (reader.keep_alive and not reader.extra_bytes) else None

    def tracked(self, call: Coro[None]) -> Coro[None]:
        self.pending_calls += 1
        try:
            yield from call
        except (ConnectionLost, ConnectFailed) as wrong:
            self.log.warning("call_failed", why=str(wrong))
        except (
            Exception
        ) as wrong:  # guards the gateway against an answer that nobody thought of: it costs its call
            self.log.exception("call_raised", why=str(wrong))
        finally:
            self.pending_calls -= 1

    def call(
        self, server: Server, method: str, target: str, body: bytes, limit: Time | None = None
    ) -> Coro[http.ResponseParser | None]:
        """One small call; None if no whole answer came in time. `limit`: other than the bounds in force have it."""
        if server not in self.roster.addresses:
            return None
        pool, phase = self.pool(server), [Phase.QUEUED]
        stream = None
        try:
            with self.world.limit(self.bounds.call if limit is None else limit):
                stream = yield from pool.acquire(phase, call=True)
                reader = yield from self.exchange(stream, method, target, server.name, body)
                if reader is not None:
                    pool.release(stream)
                    stream = None
                return reader
        except (ConnectionLost, ConnectFailed, PoolExhausted, http.BadMessage):
            return None
        finally:
            if stream is not None:
                pool.discard(stream)
        return None

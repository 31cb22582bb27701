"""Pooled connections to all engines of a gateway, and the short calls made over them."""

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
    """One connection pool per server. `name`: this gateway's, sent with each call."""

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
        self.pools: dict[Server, Pool] = {}  # emptied of a server that is gone once its last leg has ended
        self.pending_calls = 0  # calls other than legs

    def pool(self, server: Server) -> Pool:
        """The server's pool, created at the first use."""
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
        """Puts other bounds in force, for the existing pools too."""
        self.bounds = bounds
        for pool in self.pools.values():
            pool.apply_bounds(bounds.pool, bounds.connect, bounds.idle, bounds.settle)

    def close(self, server: Server) -> None:
        """Closes the pool of a server that is gone or has another address."""
        if (pool := self.pools.pop(server, None)) is not None:
            pool.close()

    def exchange(
        self, stream: Stream, method: str, target: str, name: str, body: bytes, last: bool = False
    ) -> Coro[http.ResponseParser | None]:
        """Writes a request and reads its complete response, with the body in `pieces`.

        None if the connection can't carry another request afterwards, unless this is the `last` one.
        """
        request = http.request(method, target, name, body, [("x-gateway", self.name)])
        reader = yield from round_trip(stream, request, self.bounds.max_head, 1 << 16)
        if reader is None:
            return None
        return reader if last or (reader.keep_alive and not reader.extra_bytes) else None

    def tracked(self, call: Coro[None]) -> Coro[None]:
        """Runs a call, counts it as pending meanwhile, and logs what it raises."""
        self.pending_calls += 1
        try:
            yield from call
        except (ConnectionLost, ConnectFailed) as error:
            self.log.warning("call_failed", why=str(error))
        except Exception as error:  # an unforeseen response must cost its call alone, not the gateway
            self.log.exception("call_raised", why=str(error))
        finally:
            self.pending_calls -= 1

    def call(
        self, server: Server, method: str, target: str, body: bytes, limit: Time | None = None
    ) -> Coro[http.ResponseParser | None]:
        """Makes one short call; None if no complete response came in time.

        `limit`: a time limit in place of that of the bounds in force.
        """
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

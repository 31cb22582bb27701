"""The front towards model servers: legs, places held ahead, and letting go of whatever may be held."""

from stackpitch.gateway.ask import Ask
from stackpitch.gateway.bounds import Bounds
from stackpitch.gateway.host import Host
from stackpitch.gateway.permission import Act, may_hold
from stackpitch.interface import Generation, Leg, Report, Server, Time
from stackpitch.loop import MS, Coro
from stackpitch.platform.ask import PlatformAsk
from stackpitch.platform.leg import PlatformLeg
from stackpitch.wire import platform


class Servers:
    """`gateway.host.Front` for the platform. Any running server lets go of all that is held for a generation."""

    host: Host

    def leg(self, ask: Ask, leg: Leg, limit: Time) -> Coro[None]:
        assert isinstance(ask, PlatformAsk)
        return PlatformLeg(self.host, ask, leg, limit).run()

    def hold(self, ask: Ask, leg: Leg, server: Server) -> Coro[bool]:
        """Asks once the read's last byte is written; only then is a read out that the server may know of."""
        assert isinstance(ask, PlatformAsk)
        while ask.written is not leg:
            if leg.outcome is not None:
                return False
            yield from self.host.world.sleep(MS)
        if (reason := may_hold(leg)) is not None:
            self.host.forbidden(Act.HOLD, reason, leg)
            return False
        answer = yield from self.host.call(server, "POST", platform.LEASES + ask.gen.name, b"")
        if answer is None or answer.status in (200, 204):  # unknown is perhaps held
            ask.held = True
            if ask.gen.over and not ask.gen.out():
                self.let_go(ask)
        return answer is not None and answer.status == 200

    def probe(self, server: Server) -> Coro[tuple[bool, str | None]]:
        """The platform has no such call."""
        yield from ()
        return False, None

    def report(self, text: str) -> Report | None:
        return platform.report(text, self.host.doubts)

    def started(self, ask: Ask, leg: Leg, fetched: bool) -> None:
        assert isinstance(ask, PlatformAsk)
        ask.held = False

    def let_go_unused(self, ask: Ask) -> None:
        """A worker spares what an attempt waits for that has arrived, so that may be held still once it ends."""
        self._let_go(ask)

    def let_go(self, ask: Ask) -> None:
        assert isinstance(ask, PlatformAsk)
        self._let_go(ask)
        ask.held = ask.doubt = False

    def _let_go(self, ask: Ask) -> None:
        assert isinstance(ask, PlatformAsk)
        if ask.held or ask.doubt:
            release = self._release(ask.gen, self.host.arrival_settings(ask.gen).bounds)
            self.host.group.spawn(self.host.counted(release), f"release {ask.gen.name}")

    def _release(self, gen: Generation, bounds: Bounds) -> Coro[None]:
        """Short tries, each at another server: first those that no attempt waits for and whose connections were last good,
        and none that this generation has just found without an answer. `bounds`: those that it arrived under."""
        host, name = self.host, gen.name
        asked = {leg.server for leg in gen.legs if leg.outcome in ("reset", "time-out", "unreachable")}
        for _ in range(bounds.release_tries):
            server = self._next(asked, {leg.server for leg in gen.legs if leg.outcome is None})
            if server is None:
                asked.clear()
                yield from host.world.sleep(bounds.call // 4)
                continue
            asked.add(server)
            answer = yield from host.call(server, "DELETE", platform.LEASES + name, b"", bounds.call)
            if answer is not None and answer.status == 204:
                host.metrics.releases.labels("done").inc()
                return
        host.metrics.releases.labels("failed").inc()
        host.logger.warning("release_failed", generation=name)

    def _next(self, asked: set[Server], awaited: set[Server]) -> Server | None:
        host = self.host
        open_to = [one for one in host.roster.addresses if one.state != "gone" and one not in asked]

        def rank(one: Server) -> tuple[bool, Time]:
            pool = host.pools.get(one)
            return one not in awaited, pool.idle[-1][1] if pool is not None and pool.idle else -1

        return max(open_to, default=None, key=rank)

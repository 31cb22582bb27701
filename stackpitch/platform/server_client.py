"""The front towards model servers: legs, places held ahead, and letting go of whatever may be held."""

from stackpitch.gateway.ask import Ask
from stackpitch.gateway.bounds import Bounds
from stackpitch.gateway.host import Host
from stackpitch.gateway.pacing import release_again
from stackpitch.gateway.permission import Act, may_hold, may_release
from stackpitch.interface import Leg, Report, Server, Time
from stackpitch.loop import MS, Coro
from stackpitch.platform.leg import PlatformLeg
from stackpitch.platform.releasing import Release
from stackpitch.platform.request import PlatformRequest
from stackpitch.wire import platform


class PlatformServerClient:
    """`gateway.host.Front` for the platform. Any running server lets go of all that is held for a generation."""

    host: Host

    def leg(self, ask: Ask, leg: Leg, limit: Time) -> Coro[None]:
        assert isinstance(ask, PlatformRequest)
        return PlatformLeg(self.host, ask, leg, limit).run()

    def hold(self, ask: Ask, leg: Leg, server: Server) -> Coro[bool]:
        """Asks once the read's last byte is written; only then is a read out that the server may know of."""
        assert isinstance(ask, PlatformRequest)
        while ask.sent_leg is not leg:
            if leg.outcome is not None:
                return False
            yield from self.host.world.sleep(MS)
        if (reason := may_hold(leg)) is not None:
            self.host.forbidden(Act.HOLD, reason, leg)
            return False
        answer = yield from self.host.call(server, "POST", platform.LEASES_PATH + ask.gen.name, b"")
        if answer is None or answer.status in (200, 204):  # unknown is perhaps held
            ask.may_hold_state = True
            if ask.gen.over and not ask.gen.in_flight():
                self.release(ask)
        return answer is not None and answer.status == 200

    def probe(self, server: Server) -> Coro[tuple[bool, str | None]]:
        """The platform has no such call."""
        yield from ()
        return False, None

    def report(self, text: str) -> Report | None:
        return platform.parse_load_report(text, self.host.plausibility)

    def started(self, ask: Ask, leg: Leg, fetched: bool) -> None:
        assert isinstance(ask, PlatformRequest)
        ask.may_hold_state, ask.held_since = False, None

    def release_unused(self, ask: Ask) -> None:
        """A worker spares what an attempt waits for that has arrived, so that may be held still once it ends."""
        self._release(ask)

    def release(self, ask: Ask) -> None:
        assert isinstance(ask, PlatformRequest)
        self._release(ask)
        ask.may_hold_state = False

    def _release(self, ask: Ask) -> None:
        assert isinstance(ask, PlatformRequest)
        if may_release(ask.may_hold_state or ask.read_outcome_unknown) is None:
            bounds = self.host.arrival_settings(ask.gen).bounds
            release = Release(self.host, ask.gen, bounds, ask.held_since)
            self.host.group.spawn(self.host.counted(release.run()), f"release {ask.gen.name}")
            if ask.read_outcome_unknown:
                again = self._release_again(ask, bounds)
                self.host.group.spawn(self.host.counted(again), f"release {ask.gen.name} again")
                ask.read_outcome_unknown = False

    def _release_again(self, ask: PlatformRequest, bounds: Bounds) -> Coro[None]:
        """What a read may have left after its release, unless a stream has begun since, which lets go of it. The time rests
        while an attempt is out, whose state this would tear."""
        pause = release_again(bounds.release)
        yield from self.host.world.sleep(pause)
        while ask.gen.in_flight():
            yield from self.host.world.sleep(pause)
        if not ask.gen.stream_started():
            yield from Release(self.host, ask.gen, bounds, urgent=False).run()

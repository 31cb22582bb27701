"""The gateway's side of the platform's server protocol.

It runs legs, requests reservations and releases held KV state.
"""

from stackpitch.gateway.bounds import Bounds
from stackpitch.gateway.client_request import ClientRequest
from stackpitch.gateway.host import Host
from stackpitch.gateway.pacing import second_release_delay
from stackpitch.gateway.permission import Act, hold_denial, release_denial
from stackpitch.interface import Leg, Report, Server, Time
from stackpitch.loop import MS, Coro
from stackpitch.platform.leg import PlatformLeg
from stackpitch.platform.releasing import Release
from stackpitch.platform.request import PlatformRequest
from stackpitch.wire import platform


class PlatformServerClient:
    """Implements `gateway.host.Backend` for the platform.

    Any running server releases all that any server holds for a generation.
    """

    host: Host

    def run_leg(self, ask: ClientRequest, leg: Leg, limit: Time) -> Coro[None]:
        """Runs a leg within the time limit."""
        assert isinstance(ask, PlatformRequest)
        return PlatformLeg(self.host, ask, leg, limit).run()

    def reserve(self, ask: ClientRequest, leg: Leg, server: Server) -> Coro[bool]:
        """Requests a reservation; returns whether the server granted it.

        It is requested once the read's last byte is written, as the server may know of the read only then.
        """
        assert isinstance(ask, PlatformRequest)
        while ask.sent_leg is not leg:
            if leg.outcome is not None:
                return False
            yield from self.host.world.sleep(MS)
        if (reason := hold_denial(leg)) is not None:
            self.host.action_denied(Act.HOLD, reason, leg)
            return False
        answer = yield from self.host.call(server, "POST", platform.LEASES_PATH + ask.gen.name, b"")
        if answer is None or answer.status in (200, 204):  # without an answer it may be held
            ask.may_hold_state = True
            if ask.gen.over and not ask.gen.in_flight():
                self.release(ask)
        return answer is not None and answer.status == 200

    def probe(self, server: Server) -> Coro[tuple[bool, str | None]]:
        """The platform has no probe call."""
        yield from ()
        return False, None

    def parse_report(self, text: str) -> Report | None:
        """Parses a server's load report. Raises ValueError."""
        return platform.parse_load_report(text, self.host.plausibility)

    def stream_started(self, ask: ClientRequest, leg: Leg, fetched: bool) -> None:
        """A stream has started: it has taken over or released all that was held."""
        assert isinstance(ask, PlatformRequest)
        ask.may_hold_state, ask.held_since = False, None

    def release_unused(self, ask: ClientRequest) -> None:
        """Releases what no attempt in progress uses.

        A server doesn't release state that an attempt which has reached it waits for, so some may still be
        held when that attempt ends. A release that no server has answered yet is not repeated.
        """
        assert isinstance(ask, PlatformRequest)
        if ask.last_release is None or not ask.last_release.covers():
            self._release(ask)

    def release(self, ask: ClientRequest) -> None:
        """Releases all that is or may be held for the request."""
        assert isinstance(ask, PlatformRequest)
        self._release(ask)
        ask.may_hold_state = False

    def _release(self, ask: PlatformRequest) -> None:
        if release_denial(ask.may_hold_state or ask.end_unseen) is None:
            bounds = self.host.arrival_settings(ask.gen).bounds
            ask.last_release = release = Release(self.host, ask.gen, bounds, ask.held_since)
            self.host.group.spawn(self.host.tracked(release.run()), f"release {ask.gen.name}")
            if ask.end_unseen:
                second = self._second_release(ask, bounds)
                self.host.group.spawn(self.host.tracked(second), f"release {ask.gen.name} again")
                ask.end_unseen = False

    def _second_release(self, ask: PlatformRequest, bounds: Bounds) -> Coro[None]:
        """Releases what an attempt left whose server saw its end only after the first release.

        A stream that has started since has released it already. Waits while an attempt is in progress, whose
        KV state the release would destroy.
        """
        pause = second_release_delay(bounds.release)
        yield from self.host.world.sleep(pause)
        while ask.gen.in_flight():
            yield from self.host.world.sleep(pause)
        if not ask.gen.stream_started():
            yield from Release(self.host, ask.gen, bounds, urgent=False).run()

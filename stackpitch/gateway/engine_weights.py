"""What the engines of a gateway's site run on, and the word to load a version that is in place and released.

    POST /v1/weights {"model": M, "version": V}   load it; answered at once
    GET /v1/weights                               {"weights": {M: V}}: what it runs on now

An engine that does not know these calls, or gives no answer, may run on anything: nothing is taken from under it.
"""

import msgspec

from stackpitch.gateway.host import Host
from stackpitch.interface import Server
from stackpitch.loop import SECOND, Coro, Time, World
from stackpitch.wire import engine, http
from stackpitch.wire.decoding import decode

LOOK: Time = 5 * SECOND  # at what engines run on, no oftener than somebody asks


class SiteEngines:
    """`runs`: model to version, as each server of the zone said last; servers that are gone go with the next look."""

    def __init__(self, world: World, host: Host, zone: str) -> None:
        self.world, self.host, self.zone = world, host, zone
        self.runs: dict[Server, dict[str, str]] = {}
        self.looked: Time = -LOOK
        self.looking = False

    def _servers(self) -> list[Server]:
        return [one for one in self.host.roster.addresses if one.zone == self.zone and one.state != "gone"]

    def used(self, model: str, version: str) -> bool:
        """One runs on it, or may. By what the last look found, which this call may begin anew."""
        if not self.looking and self.world.now() - self.looked >= LOOK:
            self.looking = True
            self.host.group.spawn(self._look(), "weights of engines")
        known = [self.runs.get(one) for one in self._servers()]
        return any(one is None or one.get(model) == version for one in known)

    def released(self, model: str, version: str) -> Coro[None]:
        body = msgspec.json.encode(engine.WeightsCall(model, version))
        for server in self._servers():
            self._said(server, (yield from self.host.call(server, "POST", engine.WEIGHTS, body)))

    def _look(self) -> Coro[None]:
        try:
            found = self._servers()
            for server in [one for one in self.runs if one not in found]:
                del self.runs[server]
            for server in found:
                self._said(server, (yield from self.host.call(server, "GET", engine.WEIGHTS, b"")))
            self.looked = self.world.now()
        finally:
            self.looking = False

    def _said(self, server: Server, answer: http.ResponseParser | None) -> None:
        self.runs.pop(server, None)
        if answer is not None and answer.status == 200:
            try:
                self.runs[server] = decode(b"".join(answer.pieces), type=engine.WeightsAnswer).weights
            except msgspec.DecodeError:
                pass  # as if it had not answered

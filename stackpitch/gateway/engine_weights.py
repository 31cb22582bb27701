"""Tracks which weights the engines of a gateway's site run on, and has them load a released version.

    POST /v1/weights {"model": M, "version": V}   load this version; answered at once
    GET /v1/weights                               {"weights": {M: V}}: what the engine runs on now

An engine that doesn't know these calls, or doesn't answer, may run on any version, so none may be deleted.
"""

import msgspec

from stackpitch.gateway.host import Host
from stackpitch.interface import Server
from stackpitch.loop import SECOND, Coro, Time, World
from stackpitch.wire import engine, http
from stackpitch.wire.decoding import decode

POLL_INTERVAL: Time = 5 * SECOND  # the shortest; engines are only polled when somebody asks


class SiteEngines:
    """The engines of one zone.

    `versions`: model to version, by server of the zone, from its last answer. Emptied of servers that are
    gone by the next poll.
    """

    def __init__(self, world: World, host: Host, zone: str) -> None:
        self.world, self.host, self.zone = world, host, zone
        self.versions: dict[Server, dict[str, str]] = {}
        self.polled_at: Time = -POLL_INTERVAL
        self.polling = False

    def _servers(self) -> list[Server]:
        return [
            server
            for server in self.host.roster.addresses
            if server.zone == self.zone and server.state != "gone"
        ]

    def used(self, model: str, version: str) -> bool:
        """Whether an engine runs on this version, or may.

        Uses the last poll's result and starts a new poll if it is old.
        """
        if not self.polling and self.world.now() - self.polled_at >= POLL_INTERVAL:
            self.polling = True
            self.host.group.spawn(self._poll(), "weights of engines")
        known = [self.versions.get(server) for server in self._servers()]
        return any(versions is None or versions.get(model) == version for versions in known)

    def released(self, model: str, version: str) -> Coro[None]:
        """Tells all engines of the site to load a version."""
        body = msgspec.json.encode(engine.WeightsCall(model, version))
        for server in self._servers():
            self._record(server, (yield from self.host.call(server, "POST", engine.WEIGHTS, body)))

    def _poll(self) -> Coro[None]:
        try:
            servers = self._servers()
            for server in [known for known in self.versions if known not in servers]:
                del self.versions[server]
            for server in servers:
                self._record(server, (yield from self.host.call(server, "GET", engine.WEIGHTS, b"")))
            self.polled_at = self.world.now()
        finally:
            self.polling = False

    def _record(self, server: Server, answer: http.ResponseParser | None) -> None:
        self.versions.pop(server, None)
        if answer is not None and answer.status == 200:
            try:
                self.versions[server] = decode(b"".join(answer.pieces), type=engine.WeightsAnswer).weights
            except msgspec.DecodeError:
                pass  # treated as no answer

"""The backend for engines with the OpenAI-style API and KV transfers (`docs/engine-protocol.md`)."""

import msgspec

from stackpitch.gateway.client_request import ClientRequest, HeldState, OpenAIRequest
from stackpitch.gateway.engine_leg import EngineLeg
from stackpitch.gateway.host import Host
from stackpitch.interface import Leg, Report, Server, Time
from stackpitch.loop import ConnectionLost, Coro
from stackpitch.wire import http, orca
from stackpitch.wire.decoding import decode
from stackpitch.wire.engine import HEALTH, STATE_HOLD, STATE_RELEASE, HoldAnswer, StateCall


class EngineBackend:
    """KV states are held at readers, on the connections that read them; slots are reserved at writers."""

    host: Host

    def __init__(self, load_fields: tuple[str, str, str]) -> None:
        """`load_fields`: names of a load report's fields, in the order of `interface.Report`."""
        self.load_fields = load_fields

    def run_leg(self, request: ClientRequest, leg: Leg, limit: Time) -> Coro[None]:
        """Runs a leg; tells the host its start and its end."""
        assert isinstance(request, OpenAIRequest)
        return EngineLeg(self, request, leg, limit).run()

    def reserve(self, request: ClientRequest, leg: Leg, server: Server) -> Coro[bool]:
        """Reserves a slot at a writer for the KV state of a read; whether it was granted."""
        assert isinstance(request, OpenAIRequest)
        request.reserved_server, request.reserved_leg = server, leg
        body = msgspec.json.encode(StateCall(self.state_id(leg), request.gen.prompt_tok))
        answer = yield from self.host.call(server, "POST", STATE_HOLD, body)
        granted = False
        if answer is not None and answer.status == 200:
            try:
                granted = decode(b"".join(answer.pieces), type=HoldAnswer).held
            except msgspec.DecodeError:
                pass  # not granted
        if granted and (request.gen.over or request.reserved_server is not server):
            self._release_reservation(server, self.state_id(leg))
        return granted

    def probe(self, server: Server) -> Coro[tuple[bool, str | None]]:
        """Whether a server is healthy, and the text of its load report."""
        answer = yield from self.host.call(server, "GET", HEALTH, b"")
        return answer is not None and answer.status == 200, answer.headers.get(
            orca.HEADER
        ) if answer else None

    def parse_report(self, text: str) -> Report | None:
        """Parses a load report. Raises ValueError."""
        fields = orca.parse(text)
        return self.host.plausibility.report(*(fields.get(name) for name in self.load_fields))

    def stream_started(self, request: ClientRequest, leg: Leg, fetched: bool) -> None:
        """Releases what is held for the request and not used by the stream that has started."""
        assert isinstance(request, OpenAIRequest)
        if leg.server is request.reserved_server:
            request.reserved_server = None
        self.release(request, taken=self.source(request) if fetched else None)

    def state_id(self, leg: Leg) -> str:
        """The id of the KV state that a leg reads."""
        return f"{leg.gen.name}-{leg.number}"

    def source(self, request: OpenAIRequest) -> Leg | None:
        """The read whose KV state a writer is to fetch: the newest that is held."""
        return next(reversed(request.held_states), None)

    def release_unused(self, request: ClientRequest) -> None:
        """Does nothing: an engine would release the KV state that a running leg waits for, too.

        A state that is never fetched ends with the connection that read it, when the leg ends.
        """

    def release(self, request: ClientRequest, taken: Leg | None = None) -> None:
        """Releases all that is held for the request. `taken`: the read whose KV state has been fetched."""
        assert isinstance(request, OpenAIRequest)
        for leg, held in list(request.held_states.items()):
            del request.held_states[leg]
            if leg is taken:
                held.pool.release(held.stream)
            else:
                self.host.group.spawn(
                    self.host.tracked(self._release_state(held, self.state_id(leg))), f"free {leg.gen.name}"
                )
        if request.reserved_server is not None and request.reserved_leg is not None:
            self._release_reservation(request.reserved_server, self.state_id(request.reserved_leg))
            request.reserved_server = None

    def _release_state(self, held: HeldState, state: str) -> Coro[None]:
        """Releases KV state over the connection that read it; closes that if the engine does not confirm."""
        done = False
        try:
            with self.host.world.limit(self.host.bounds.call):
                body = msgspec.json.encode(StateCall(state))
                reader = yield from self.host.exchange(
                    held.stream, "POST", STATE_RELEASE, held.server.name, body
                )
                done = reader is not None and reader.status in (200, 404)
        except (ConnectionLost, http.BadMessage):
            pass  # the engine sees the connection close, which frees the state as well
        finally:
            self.host.metrics.releases.labels("done" if done else "closed").inc()
            if done:
                held.pool.release(held.stream)
            else:
                held.pool.discard(held.stream)

    def _release_reservation(self, server: Server, state: str) -> None:
        """Releases the slot that a writer reserved for a KV state, in several tries."""

        def call() -> Coro[None]:
            body = msgspec.json.encode(StateCall(state))
            for _ in range(self.host.bounds.release_tries):
                answer = yield from self.host.call(server, "POST", STATE_RELEASE, body)
                if answer is not None and answer.status in (200, 404):
                    self.host.metrics.releases.labels("done").inc()
                    return
            self.host.metrics.releases.labels("failed").inc()
            self.host.logger.warning("release_failed", server=server.name, state=state)

        if server in self.host.roster.addresses:
            self.host.group.spawn(self.host.tracked(call()), f"release {state}")

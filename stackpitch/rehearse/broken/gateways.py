"""One break for each of the five rules."""

from stackpitch.brain import Dispatcher, Fleet
from stackpitch.gateway.client_request import ClientRequest, OpenAIRequest
from stackpitch.gateway.engines import EngineBackend
from stackpitch.gateway.roster import Roster
from stackpitch.interface import Generation, Leg, Server
from stackpitch.loop import Time
from stackpitch.membership.entries import Entry


def answered() -> None:
    """Every fifth refusal or end of a stream is never written."""
    finish, refuse, count = OpenAIRequest.finish, OpenAIRequest.refuse, [0]

    def lost() -> bool:
        count[0] += 1
        return count[0] % 5 == 0

    def finish_some(self: OpenAIRequest) -> None:
        if not lost():
            finish(self)

    def refuse_some(
        self: OpenAIRequest, status: int, code: str, message: str, again: bool, retry_after: Time = 0
    ) -> None:
        if not lost():
            refuse(self, status, code, message, again, retry_after)

    OpenAIRequest.finish, OpenAIRequest.refuse = finish_some, refuse_some  # type: ignore[method-assign]


def effects() -> None:
    """No leg is taken to have run, so side-effecting generations are sent again and throttled."""

    def none(self: Generation) -> list[Leg]:
        return []

    Dispatcher.may_have_run = staticmethod(none)


def drains() -> None:
    """Servers that drain or are gone stay ready in the module's eyes."""
    make = Roster._update_server

    def ready(self: Roster, entry: Entry) -> Server:
        server = make(self, entry)
        server.state = "ready"
        return server

    Roster._update_server = ready  # type: ignore[method-assign]


def cold() -> None:
    """Every server is taken to be warm."""
    Fleet.is_cold = lambda self, state, now: False  # type: ignore[method-assign]


def pinned() -> None:
    """Nothing is let go: connections of states that were not taken stay open."""

    def keep(self: EngineBackend, request: ClientRequest, taken: Leg | None = None) -> None:
        assert isinstance(request, OpenAIRequest)
        KEPT.extend(request.held_states.pop(leg) for leg in list(request.held_states) if leg is not taken)

    EngineBackend.release = keep  # type: ignore[method-assign]


KEPT: list[object] = []

"""What a leg uses of its host. `host` implements it and does not know the legs' classes."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from stackpitch.gateway.bounds import Bounds
    from stackpitch.gateway.client_request import ClientRequest
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.outcomes import LegEnd
    from stackpitch.gateway.permission import Act, Reason
    from stackpitch.gateway.pool import Pool
    from stackpitch.gateway.roster import Roster
    from stackpitch.gateway.trace import Step
    from stackpitch.interface import Leg, Server
    from stackpitch.loop import World


class LegHost(Protocol):
    """The host as legs see it. `relayed_bytes`: bytes of streams forwarded so far, over all legs."""

    world: "World"
    logger: "Log"
    name: str
    roster: "Roster"
    bounds: "Bounds"
    relayed_bytes: int

    def pool(self, server: "Server") -> "Pool":
        """The connections to a server."""
        ...

    def action_denied(self, act: "Act", reason: "Reason", leg: "Leg") -> None:
        """Counts an action that was not permitted when it was due."""
        ...

    def trace_step(self, request: "ClientRequest", step: "Step", what: str = "") -> None:
        """Adds a step to the request's trace."""
        ...

    def leg_written(self, request: "ClientRequest", leg: "Leg") -> None:
        """The last byte of the leg's request has been written."""
        ...

    def client_departed(self, request: "ClientRequest") -> None:
        """The client has disconnected."""
        ...

    def leg_started(self, request: "ClientRequest", leg: "Leg", fetched: bool) -> bool:
        """The leg's first token has arrived; False if it is no longer wanted."""
        ...

    def leg_ended(self, request: "ClientRequest", leg: "Leg", end: "LegEnd") -> None:
        """The leg has its outcome."""
        ...

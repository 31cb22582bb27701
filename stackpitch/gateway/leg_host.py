"""What a leg sees of what carries the module; `host` has more, and knows no leg."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from stackpitch.gateway.bounds import Bounds
    from stackpitch.gateway.client_request import ClientRequest
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.outcomes import LegEnd
    from stackpitch.gateway.permission import Act, Reason
    from stackpitch.gateway.pool import Pool
    from stackpitch.gateway.roster import Roster
    from stackpitch.interface import Leg, Server
    from stackpitch.loop import World


class LegHost(Protocol):
    world: "World"
    logger: "Log"
    name: str
    roster: "Roster"
    bounds: "Bounds"
    relayed_bytes: int  # bytes of streams, so far

    def pool(self, server: "Server") -> "Pool": ...
    def action_denied(self, act: "Act", reason: "Reason", leg: "Leg") -> None: ...  # counts it
    def leg_written(self, ask: "ClientRequest", leg: "Leg") -> None: ...  # its last byte has been handed over
    def client_departed(self, ask: "ClientRequest") -> None: ...  # its client has left
    def leg_started(
        self, ask: "ClientRequest", leg: "Leg", fetched: bool
    ) -> bool: ...  # False if nobody wants it
    def leg_ended(self, ask: "ClientRequest", leg: "Leg", end: "LegEnd") -> None: ...

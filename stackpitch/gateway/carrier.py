"""What a leg sees of what carries the module; `host` has more, and knows no leg."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from stackpitch.gateway.ask import Ask
    from stackpitch.gateway.bounds import Bounds
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.outcomes import End
    from stackpitch.gateway.permission import Act, Reason
    from stackpitch.gateway.pool import Pool
    from stackpitch.gateway.roster import Roster
    from stackpitch.interface import Leg, Server
    from stackpitch.loop import World


class Carrier(Protocol):
    world: "World"
    logger: "Log"
    name: str
    roster: "Roster"
    bounds: "Bounds"
    relayed: int  # bytes of streams, so far

    def pool(self, server: "Server") -> "Pool": ...
    def forbidden(self, act: "Act", reason: "Reason", leg: "Leg") -> None: ...  # counts it
    def written(self, ask: "Ask", leg: "Leg") -> None: ...  # its last byte has been handed over
    def departed(self, ask: "Ask") -> None: ...  # its client has left
    def leg_started(self, ask: "Ask", leg: "Leg", fetched: bool) -> bool: ...  # False if nobody wants it
    def leg_ended(self, ask: "Ask", leg: "Leg", end: "End") -> None: ...

"""What differs between protocols on the side of the model servers; `ClientRequest` is the client's side."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from stackpitch.gateway.client_request import ClientRequest
    from stackpitch.gateway.host import Host
    from stackpitch.interface import Leg, Report, Server, Time
    from stackpitch.loop import Coro


class Backend(Protocol):
    """Talks to model servers in one protocol. `host` is set by the host that it belongs to."""

    host: "Host"

    def run_leg(self, request: "ClientRequest", leg: "Leg", limit: "Time") -> "Coro[None]":
        """Runs a leg; tells the host its start and its end."""
        ...

    def reserve(self, request: "ClientRequest", leg: "Leg", server: "Server") -> "Coro[bool]":
        """Reserves a slot at a server for the request's next leg; whether it was granted."""
        ...

    def stream_started(self, request: "ClientRequest", leg: "Leg", fetched: bool) -> None:
        """A stream has started: releases what is held for the request and not used by it."""
        ...

    def release(self, request: "ClientRequest") -> None:
        """Releases all that is or may be held for the request."""
        ...

    def release_unused(self, request: "ClientRequest") -> None:
        """The same, except for what a running leg uses."""
        ...

    def probe(self, server: "Server") -> "Coro[tuple[bool, str | None]]":
        """Whether a server is healthy, and the text of its load report."""
        ...

    def parse_report(self, text: str) -> "Report | None":
        """Parses a load report. Raises ValueError."""
        ...

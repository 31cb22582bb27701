"""What differs between protocols towards engines and model servers; `ClientRequest` is its side towards clients."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from stackpitch.gateway.client_request import ClientRequest
    from stackpitch.gateway.host import Host
    from stackpitch.interface import Leg, Report, Server, Time
    from stackpitch.loop import Coro


class Backend(Protocol):
    host: "Host"

    def run_leg(
        self, ask: "ClientRequest", leg: "Leg", limit: "Time"
    ) -> "Coro[None]": ...  # tells the host its start and its end
    def reserve(
        self, ask: "ClientRequest", leg: "Leg", server: "Server"
    ) -> "Coro[bool]": ...  # whether the place is held
    def stream_started(
        self, ask: "ClientRequest", leg: "Leg", fetched: bool
    ) -> None: ...  # what else is held is let go
    def release(self, ask: "ClientRequest") -> None: ...  # whatever is or may be held
    def release_unused(
        self, ask: "ClientRequest"
    ) -> None: ...  # the same, but for what an attempt uses that is out
    def probe(
        self, server: "Server"
    ) -> "Coro[tuple[bool, str | None]]": ...  # whether it is well; its report
    def parse_report(self, text: str) -> "Report | None": ...  # raises ValueError

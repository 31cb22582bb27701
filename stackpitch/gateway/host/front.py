"""What differs between protocols towards engines and model servers; `Ask` is its side towards clients."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from stackpitch.gateway.ask import Ask
    from stackpitch.gateway.host import Host
    from stackpitch.interface import Leg, Report, Server, Time
    from stackpitch.loop import Coro


class Front(Protocol):
    host: "Host"

    def leg(
        self, ask: "Ask", leg: "Leg", limit: "Time"
    ) -> "Coro[None]": ...  # tells the host its start and its end
    def hold(self, ask: "Ask", leg: "Leg", server: "Server") -> "Coro[bool]": ...  # whether the place is held
    def started(self, ask: "Ask", leg: "Leg", fetched: bool) -> None: ...  # what else is held is let go
    def release(self, ask: "Ask") -> None: ...  # whatever is or may be held
    def release_unused(self, ask: "Ask") -> None: ...  # the same, but for what an attempt uses that is out
    def probe(
        self, server: "Server"
    ) -> "Coro[tuple[bool, str | None]]": ...  # whether it is well; its report
    def report(self, text: str) -> "Report | None": ...  # raises ValueError

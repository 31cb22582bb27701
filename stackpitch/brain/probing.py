"""Probes for load where reports come no other way: with each generation, the server probed longest ago."""

from stackpitch.brain.fleet import Fleet
from stackpitch.interface import Report, Server, Time


class Probing:
    """Sends the probes, and stops once they turn out to report no load."""

    MAX_BLANK_ANSWERS = 12  # in a row, with no report in any; then probing ends

    def __init__(self, fleet: Fleet, probes: bool) -> None:
        self.fleet, self.blanks_left = fleet, self.MAX_BLANK_ANSWERS if probes else 0

    def arrived(self, now: Time) -> None:
        """Probes one server."""
        ready = (
            [state for state in self.fleet.server_states.values() if state.server.state == "ready"]
            if self.blanks_left
            else []
        )
        if (oldest := min(ready, default=None, key=lambda state: (state.probed_at, state.hash))) is not None:
            oldest.probed_at = now
            self.fleet.gateway.probe(oldest.server)

    def probe_answered(self, now: Time, server: Server, healthy: bool, report: Report | None) -> None:
        """Takes over the report of a probe's answer."""
        if report is not None and server in self.fleet.server_states:
            self.blanks_left = self.MAX_BLANK_ANSWERS
            self.fleet.report_received(self.fleet.server_states[server], now, report)
        elif healthy and self.blanks_left:
            self.blanks_left -= 1
            if not self.blanks_left:
                self.fleet.gateway.log("probes end, they tell no load")

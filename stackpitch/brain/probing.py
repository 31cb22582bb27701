"""Asks for load where reports come no other way: with each generation the server asked longest ago."""

from stackpitch.brain.fleet import Fleet
from stackpitch.interface import Report, Server, Time


class Probing:
    BLANK = 12  # answers in a row that tell nothing but that they come, after which it ends

    def __init__(self, fleet: Fleet, probes: bool) -> None:
        self.fleet, self.left = fleet, self.BLANK if probes else 0

    def arrived(self, now: Time) -> None:
        ready = (
            [one for one in self.fleet.server_states.values() if one.server.state == "ready"]
            if self.left
            else []
        )
        if (one := min(ready, default=None, key=lambda one: (one.asked, one.hash))) is not None:
            one.asked = now
            self.fleet.gateway.probe(one.server)

    def probe_answered(self, now: Time, server: Server, well: bool, report: Report | None) -> None:
        if report is not None and server in self.fleet.server_states:
            self.left = self.BLANK
            self.fleet.reported(self.fleet.server_states[server], now, report)
        elif well and self.left:
            self.left -= 1
            if not self.left:
                self.fleet.gateway.log("probes end, they tell no load")

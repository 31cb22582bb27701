"""Which servers a generation may go to where they run on several vocabularies. Narrows as an operators' rule does.

Token ids go only to servers whose vocabulary they are written or translated for; a state only to writers of its reader's
vocabulary. An engine that meanwhile runs on another one refuses such a leg before it runs (`x-vocabulary`).
"""

from collections.abc import Mapping

from stackpitch.gateway.ask import Ask, OpenAsk
from stackpitch.gateway.roster import Roster
from stackpitch.interface import Generation, Server


class Tongues:
    """`asks` are the host's. `written`: the vocabularies of the list's ready writers, anew with each list."""

    def __init__(self, roster: Roster, asks: Mapping[Generation, Ask]) -> None:
        self.roster, self.asks = roster, asks
        self.written: tuple[int, frozenset[str]] = (-1, frozenset())

    def _written(self) -> frozenset[str]:
        if self.written[0] != self.roster.lists_applied:
            known = self.roster.vocabularies
            self.written = (
                self.roster.lists_applied,
                frozenset(
                    known.get(one, "")
                    for one in self.roster.servers.values()
                    if one.role != "reader" and one.state == "ready"
                ),
            )
        return self.written[1]

    def may(self, gen: Generation, server: Server) -> bool:
        known = self.roster.vocabularies
        vocabulary, ask = known.get(server, ""), self.asks.get(gen)
        if isinstance(ask, OpenAsk) and ask.spoken is not None and vocabulary not in ask.spoken:
            return False
        if server.role == "reader":
            return vocabulary in self._written()
        read = next(
            (
                leg.server
                for leg in reversed(gen.legs)
                if leg.server.role == "reader" and leg.outcome in (None, "read")
            ),
            None,
        )
        return read is None or known.get(read, "") == vocabulary

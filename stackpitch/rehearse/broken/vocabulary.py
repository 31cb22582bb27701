"""Breaks of what keeps vocabularies apart."""

from stackpitch.gateway.ask import OpenAsk
from stackpitch.gateway.engines import EngineLeg
from stackpitch.gateway.tongues import Tongues
from stackpitch.interface import Generation, Server


def babel() -> None:
    """Token ids go to any engine as they came."""
    def unsaid(self: OpenAsk) -> None:
        return None

    def forget(self: OpenAsk, value: object) -> None:
        return None

    OpenAsk.spoken = property(unsaid, forget)  # type: ignore[assignment]


def across() -> None:
    """A state is taken to mean the same to every writer."""
    may, request = Tongues.may, EngineLeg._request

    def anywhere(self: Tongues, gen: Generation, server: Server) -> bool:
        legs, gen.legs = gen.legs, []
        try:
            return may(self, gen, server)
        finally:
            gen.legs = legs

    def fetching(self: EngineLeg) -> bytes:
        known, source = self.host.roster.vocabularies, self.front.source(self.ask)
        if source is None or source.server not in known:
            return request(self)
        own, known[source.server] = known[source.server], known.get(self.leg.server, "")
        try:
            return request(self)
        finally:
            known[source.server] = own

    Tongues.may, EngineLeg._request = anywhere, fetching  # type: ignore[method-assign]

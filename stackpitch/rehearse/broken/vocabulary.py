"""Breaks of what keeps vocabularies apart."""

import msgspec

from stackpitch.duties.vocabulary.change import Change, Machine
from stackpitch.duties.vocabulary.judging import Outcome
from stackpitch.duties.vocabulary.owning import Owning
from stackpitch.duties.vocabulary.verdicts.judge import Verdicts
from stackpitch.gateway.client_request import OpenAIRequest
from stackpitch.gateway.engine_leg import EngineLeg
from stackpitch.gateway.vocabulary_filter import VocabularyFilter
from stackpitch.interface import Generation, Server


def babel() -> None:
    """Token ids go to any engine as they came."""

    def unsaid(self: OpenAIRequest) -> None:
        return None

    def forget(self: OpenAIRequest, value: object) -> None:
        return None

    OpenAIRequest.token_fields = property(unsaid, forget)  # type: ignore[assignment]


def across() -> None:
    """A state is taken to mean the same to every writer."""
    may, request = VocabularyFilter.allows, EngineLeg._build_request

    def anywhere(self: VocabularyFilter, gen: Generation, server: Server) -> bool:
        legs, gen.legs = gen.legs, []
        try:
            return may(self, gen, server)
        finally:
            gen.legs = legs

    def fetching(self: EngineLeg) -> bytes:
        known, source = self.host.roster.vocabularies, self.backend.source(self.openai_request)
        if source is None or source.server not in known:
            return request(self)
        own, known[source.server] = known[source.server], known.get(self.leg.server, "")
        try:
            return request(self)
        finally:
            known[source.server] = own

    VocabularyFilter.allows, EngineLeg._build_request = anywhere, fetching  # type: ignore[method-assign]


def willful() -> None:
    """Each owner judges for itself what was judged before, and tells what it found as if nothing had been."""
    replaced = msgspec.structs.replace

    def mine_alone(self: Owning, change: Change) -> bool:
        return self.verdicts is not None and self.verdicts[0] == change.digests and change.word != "announced"

    def judged(self: Owning, machine: Machine, change: Change, outcome: Outcome) -> None:
        assert outcome.summary is not None, outcome.problem
        found = msgspec.json.decode(outcome.verdicts, type=Verdicts)
        found = replaced(found, runs=found.runs[self.work.ground.number + 1 :])
        summary = replaced(outcome.summary, digest=found.digest())
        if change.word == "announced":
            machine.record = replaced(machine.record, history=())
            machine.judged(found.digests, summary)
        else:
            machine.record = replaced(
                machine.record, change=replaced(change, summary=summary, version=change.version + 1)
            )
        self.verdicts = found.digests, found.encoded()

    Owning._have, Owning._judged = mine_alone, judged  # type: ignore[method-assign]

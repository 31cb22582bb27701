"""Servers narrowed by vocabulary, in the way that operators' rules narrow them: `Preferences.may`, asked for every leg.

Three things hold: token ids go only where `decide` lets them; a writer takes over only from a reader of its vocabulary; a
session whose writer has another vocabulary than when it wrote counts as lost, so that the chain goes by a reader.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from stackpitch.brain import Brain
from stackpitch.duties.vocabulary.acting.decide import Narrowed
from stackpitch.interface import Generation, Server, Time
from stackpitch.preferences import Preferences, Rule


class Narrowing:
    """`vocabularies`: by name of server, as listed."""

    def __init__(self) -> None:
        self.vocabularies: dict[str, str | None] = {}
        self.writing: frozenset[str | None] = frozenset()  # vocabularies that some ready server writes with
        self.chosen: dict[Generation, Narrowed] = {}  # of generations under way; emptied as they end

    def listed(self, servers: Iterable[Server], vocabularies: dict[str, str | None]) -> frozenset[str]:
        """Takes the present list. Names of servers that had another vocabulary before: see `forget`."""
        before, self.vocabularies = self.vocabularies, vocabularies
        self.writing = frozenset(vocabularies.get(one.name) for one in servers if one.state == "ready" and one.role != "reader")
        return frozenset(name for name, has in vocabularies.items() if before.get(name, has) != has)

    def takes(self, gen: Generation, narrowed: Narrowed | None) -> None:
        """Before the module hears of it."""
        if narrowed is not None:
            self.chosen[gen] = narrowed

    def over(self, gen: Generation) -> None:
        self.chosen.pop(gen, None)

    def may(self, gen: Generation, server: Server) -> bool:
        has = self.vocabularies.get(server.name)
        narrowed = self.chosen.get(gen)
        if narrowed is not None and has not in narrowed:
            return False
        if server.role == "reader":
            return has in self.writing  # nobody could take over from it
        read = next((leg.server for leg in reversed(gen.legs) if leg.outcome == "read"), None)
        if read is not None:
            return self.vocabularies.get(read.name) == has
        return True

    def fields(self, gen: Generation, server: Server) -> dict[str, object]:
        """What replaces fields of the body on a leg to this server."""
        narrowed, has = self.chosen.get(gen), self.vocabularies.get(server.name)
        return narrowed.fields.get(has, {}) if narrowed is not None and has is not None else {}


def forget(brain: Brain, names: frozenset[str]) -> None:
    """The module forgets who of these wrote which session, as it does for a server that started anew. At a change of the
    list only, over its table of 20,000 at most."""
    if names:
        table = brain.owner.table
        for key in [key for key, kept in table.items() if kept.seat.server.name in names]:
            del table[key]


@dataclass(slots=True)
class VocabularyPreferences(Preferences):
    """Rules with the vocabularies beside them; as "only" and "never", they bind every leg."""

    narrowing: Narrowing = field(default_factory=Narrowing)

    @property
    def hard(self) -> bool:
        return True

    def may(self, now: Time, gen: Generation, server: Server) -> bool:
        return self.narrowing.may(gen, server) and Preferences.may(self, now, gen, server)


def with_rules(narrowing: Narrowing, rules: tuple[Rule, ...], epoch: Time = 0, utc_offset: int = 0) -> VocabularyPreferences:
    """For each time that operators' rules are taken over anew; what is under way stays known."""
    return VocabularyPreferences(rules, epoch, utc_offset, narrowing=narrowing)

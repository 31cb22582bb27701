"""What the record holds of a change, as plain values."""

from typing import Literal

import msgspec

from stackpitch.duties.vocabulary.verdicts.judge import Digests
from stackpitch.duties.vocabulary.verdicts.words import Word

Wording = Literal["announced", "allowed", "held", "mixed", "done", "called off"]
ACTING: frozenset[Wording] = frozenset({"allowed", "mixed", "done"})  # gateways act by its verdict
OPEN: frozenset[Wording] = frozenset({"announced", "allowed", "held", "mixed"})  # no other change beside it
HISTORY = 32  # verdicts remembered by what they are about; the oldest go


class Summary(msgspec.Struct, frozen=True):
    """Of all verdicts on the profiles. `digest` is that of the verdicts as they are told."""

    digest: str
    profiles: int
    lost: int
    share: float  # of the revenue, that would lose its meaning
    counts: dict[Word, int] = {}
    worst: tuple[str, ...] = ()  # some profiles that lose their meaning, for people


class Change(msgspec.Struct, frozen=True):
    """`serial` rises with each change announced, `version` with each step. `summary`: None until judged. `confirmed`: the
    digest of the verdict that an operator let pass."""

    serial: int
    word: Wording
    old: str
    new: str
    profiles: str  # digest of those that are, or are to be, judged
    summary: Summary | None = None
    why: str = ""
    confirmed: str = ""
    served: bool = False  # some server has had the new vocabulary
    version: int = 0

    @property
    def digests(self) -> Digests:
        return Digests(self.old, self.new, self.profiles)

    @property
    def acting(self) -> bool:
        return self.word in ACTING and self.summary is not None

    def admits(self, vocabulary: str) -> bool:
        """Whether servers may be put in service with it, for a release: the old one always, the new one once allowed."""
        return vocabulary == self.old or (vocabulary == self.new and self.acting)


class Judged(msgspec.Struct, frozen=True):
    """What was judged once is not judged otherwise later: gateways may still act by it."""

    digests: Digests
    verdict: str


class Record(msgspec.Struct, frozen=True):
    change: Change | None = None
    history: tuple[Judged, ...] = ()

    def before(self, digests: Digests) -> str:
        """Digest of the verdict on these, "" if none is remembered."""
        return next((one.verdict for one in self.history if one.digests == digests), "")

"""The states of a change, on the owner. Pure: each step gives the next record, or raises and nothing has changed.

announced --judged--> allowed or held --(confirmed)--> allowed --served--> mixed --none old left--> done
announced, held, allowed, mixed --> called off; any but called off, on other profiles --> announced, judged anew
"""

from collections.abc import Mapping
from functools import partial

import msgspec

from stackpitch.duties.vocabulary.change.states import HISTORY, OPEN, Change, Judged, Record, Summary
from stackpitch.duties.vocabulary.errors import IllegalStep, OtherVerdict, VerdictDiffers
from stackpitch.duties.vocabulary.verdicts.judge import Digests

replaced = partial(msgspec.structs.replace)


class Machine:
    """`most_share`: of the revenue that may lose its meaning without an operator's word, 0 to 1."""

    def __init__(self, record: Record | None = None, most_share: float = 0.0) -> None:
        self.record, self.most_share = record or Record(), most_share

    @property
    def change(self) -> Change | None:
        return self.record.change

    def _open(self, asked: str, *allowed: str) -> Change:
        change = self.change
        if change is None or change.word not in (allowed or OPEN):
            raise IllegalStep(asked, change.word if change else "none", allowed or tuple(sorted(OPEN)))
        return change

    def _next(self, change: Change) -> Record:
        version = self.change.version + 1 if self.change else 1
        self.record = replaced(self.record, change=replaced(change, version=version))
        return self.record

    def announce(self, old: str, new: str, profiles: str) -> Record:
        """Digests. The same one again changes nothing."""
        change = self.change
        if change is not None and change.word in OPEN:
            if (change.old, change.new) == (old, new):
                return self.edited(profiles)
            raise IllegalStep("announce", change.word, ("done", "called off"))
        if old == new:
            raise IllegalStep("announce", "the same vocabulary", ("two that differ",))
        return self._next(Change(change.serial + 1 if change else 1, "announced", old, new, profiles))

    def edited(self, profiles: str) -> Record:
        """The profiles that this owner sees. Others than those judged are judged anew; nobody acts by the old verdict."""
        change = self.change
        if change is None or change.word == "called off" or change.profiles == profiles:
            return self.record
        return self._next(
            replaced(
                change,
                word="announced",
                profiles=profiles,
                summary=None,
                confirmed="",
                why="the profiles have been edited",
            )
        )

    def judged(self, digests: Digests, summary: Summary) -> Record:
        """Raises OtherVerdict for a verdict on what is no longer to be judged, VerdictDiffers for one that differs from
        what the same was judged before."""
        change = self._open("judged", "announced")
        if digests != change.digests:
            raise OtherVerdict(f"on profiles {digests.profiles}", f"on profiles {change.profiles}")
        before = self.record.before(digests)
        if before and before != summary.digest:
            raise VerdictDiffers(summary.digest, before)
        if not before:
            kept = self.record.history[1 - HISTORY :]
            self.record = replaced(self.record, history=(*kept, Judged(digests, summary.digest)))
        held = summary.share > self.most_share
        why = (
            (
                f"{summary.lost} of {summary.profiles} profiles lose their meaning, {summary.share:.1%} of the revenue; "
                f"{self.most_share:.1%} is allowed"
            )
            if summary.lost
            else "every profile keeps its meaning"
        )
        return self._next(
            replaced(
                change,
                word="held" if held else "mixed" if change.served else "allowed",
                summary=summary,
                why=why,
            )
        )

    def confirm(self, verdict: str) -> Record:
        """An operator's word, on the verdict that he has seen. Raises IllegalStep, OtherVerdict."""
        change = self._open("confirm", "held")
        stands = change.summary.digest if change.summary else ""
        if verdict != stands:
            raise OtherVerdict(verdict, stands)
        return self._next(
            replaced(
                change,
                word="mixed" if change.served else "allowed",
                confirmed=verdict,
                why=f"confirmed by an operator; {change.why}",
            )
        )

    def seen(self, servers: Mapping[str, int]) -> Record:
        """How many servers have which vocabulary, by digest. An empty list tells nothing."""
        change = self.change
        if change is None or change.word not in OPEN or not any(servers.values()):
            return self.record
        old, new = servers.get(change.old, 0), servers.get(change.new, 0)
        if new and not change.served:
            change = replaced(change, served=True)
        if change.word in ("allowed", "mixed"):
            if new:
                change = replaced(change, word="mixed" if old else "done")
            elif change.word == "mixed":
                change = replaced(change, why="no server has the new vocabulary any more")
        return self._next(change) if change != self.change else self.record

    def call_off(self, why: str) -> Record:
        """From then on token ids go to engines of their own vocabulary only. What was done stays done."""
        change = self._open("call off")
        return self._next(replaced(change, word="called off", why=why[:200] or "called off by an operator"))

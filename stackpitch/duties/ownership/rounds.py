"""One question to all voters, and how far its answers have come."""

from dataclasses import dataclass, field

from stackpitch.duties.calls import Answer, Stamp
from stackpitch.loop import Time


def majority(voters: int) -> int:
    return voters // 2 + 1


@dataclass(eq=False, slots=True)
class Round:
    """Dropped once it is decided or the next of its kind has begun."""

    kind: str
    stamp: Stamp
    started: Time  # before the first call left
    voters: tuple[int, ...]
    renewal: int = 0  # of a lease: which of its term's, from 1
    yes: dict[int, Answer] = field(default_factory=dict)
    no: dict[int, Answer | None] = field(default_factory=dict)  # None: no answer came

    def record(self, voter: int, answer: Answer | None) -> None:
        """Repeated answers count once; what a voter said first stands."""
        if voter in self.voters and voter not in self.yes and voter not in self.no:
            if answer is not None and answer.yes:
                self.yes[voter] = answer
            else:
                self.no[voter] = answer

    @property
    def won(self) -> bool:
        return len(self.yes) >= majority(len(self.voters))

    @property
    def lost(self) -> bool:
        """No majority can come about any more."""
        return len(self.no) > len(self.voters) - majority(len(self.voters))

    @property
    def highest_term(self) -> int:
        """The highest term that any answer names."""
        answers = [*self.yes.values(), *(one for one in self.no.values() if one is not None)]
        return max((one.stamp.term for one in answers), default=0)

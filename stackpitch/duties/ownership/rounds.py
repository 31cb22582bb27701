"""One request to all voting replicas, with the answers so far."""

from dataclasses import dataclass, field

from stackpitch.duties.calls import Answer, Stamp
from stackpitch.loop import Time


def majority(voters: int) -> int:
    """The size of a quorum of `voters` voting replicas."""
    return voters // 2 + 1


@dataclass(eq=False, slots=True)
class Round:
    """One request to all voting replicas. `yes` and `no` hold at most one entry per voting replica.

    Dropped once it is decided or the next round of its kind has begun.
    """

    kind: str
    stamp: Stamp
    started: Time  # before the first call was sent
    voters: tuple[int, ...]
    renewal: int = 0  # of a lease: its number within the term, from 1
    yes: dict[int, Answer] = field(default_factory=dict)
    no: dict[int, Answer | None] = field(default_factory=dict)  # None: no answer in time

    def record(self, voter: int, answer: Answer | None) -> None:
        """Records a voting replica's answer, None if none came in time. Only its first answer counts."""
        if voter in self.voters and voter not in self.yes and voter not in self.no:
            if answer is not None and answer.yes:
                self.yes[voter] = answer
            else:
                self.no[voter] = answer

    @property
    def won(self) -> bool:
        """Whether a majority agreed."""
        return len(self.yes) >= majority(len(self.voters))

    @property
    def lost(self) -> bool:
        """Whether a majority can no longer be reached."""
        return len(self.no) > len(self.voters) - majority(len(self.voters))

    @property
    def highest_term(self) -> int:
        """The highest term in any answer; 0 without answers."""
        answers = [*self.yes.values(), *(one for one in self.no.values() if one is not None)]
        return max((one.stamp.term for one in answers), default=0)

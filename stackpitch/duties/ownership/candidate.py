"""One gateway's way to a duty and its time as owner: asks voters, counts their answers, knows when its lease ends.

    idle -> would (pre-vote: nothing is promised) -> lease -> owner -> idle

It begins when a voter says that the duty is vacant, never by itself: a gateway that comes back from a cut disturbs nobody.
"""

from stackpitch.duties.calls import Answer, Stamp
from stackpitch.duties.ownership import terms
from stackpitch.duties.ownership.rounds import Round
from stackpitch.loop import Time


class Candidate:
    """`start`: of this process, so that two starts are told apart. `lease`: what is asked for, in ticks.

    `highest` is the highest term heard of; it only rises.
    """

    def __init__(
        self, number: int, start: int, generation: int, voters: tuple[int, ...], lease: Time
    ) -> None:
        self.number, self.start, self.generation, self.voters, self.lease = (
            number,
            start,
            generation,
            voters,
            lease,
        )
        self.stage = "idle"
        self.highest = 0
        self.stamp = Stamp()
        self.renewal = 0  # of the last lease that was asked for under the stamp
        self.until: Time = 0  # by our clock, counted from before the round that won it was asked
        self.round: Round | None = None  # that decides the stage
        self.why = ""  # it last left off

    def campaign(self, now: Time) -> Round | None:
        """The pre-vote to send; None if one is under way or the duty is ours."""
        if self.stage != "idle":
            return None
        self.stamp = Stamp(terms.next_term(self.highest, self.generation, self.number), self.start)
        self.stage, self.round, self.renewal = "would", Round("would", self.stamp, now, self.voters), 0
        return self.round

    def renew(self, now: Time) -> Round | None:
        """To be sent in time while we own; None if we don't."""
        return self._lease(now) if self.holds(now) else None

    def heard(self, now: Time, asked: Round, voter: int, answer: Answer | None) -> Round | None:
        """An answer, or that none came (None). Gives the round to send next: the real question after a pre-vote that
        was won, a release after one that was lost."""
        asked.heard(voter, answer)
        self.highest = max(self.highest, asked.highest)
        if asked.stamp != self.stamp:
            return None  # of a campaign or term that is over
        if asked.kind == "would" and asked is self.round:
            if asked.won:
                self.stage, self.round = "lease", self._lease(now)
                self.highest = max(
                    self.highest, self.stamp.term
                )  # else its late release frees the next one's lease
                return self.round
            if asked.lost:
                self._idle("no majority would grant it")
        elif asked.kind == "lease" and asked is self.round and self.stage == "lease":
            if asked.won:
                self.stage, self.until, self.round = "owner", asked.asked + self.lease, None
                if not self.holds(now):
                    return self.leave(now, "the answers came after the lease")
            elif asked.lost:
                return self.leave(now, "no majority granted it")
        elif asked.kind == "lease" and self.stage == "owner" and asked.won:
            self.until = max(self.until, asked.asked + self.lease)
        return None

    def holds(self, now: Time) -> bool:
        """The look before each act."""
        return self.stage == "owner" and now < self.until

    def leave(self, now: Time, why: str) -> Round | None:
        """Steps down or gives a campaign up. Gives the release to send, so that nobody waits for our lease; harmless
        to whoever follows, as voters release only what carries our stamp."""
        if self.stage == "idle":
            return None
        before, self.stage = self.stage, "idle"
        self._idle(why)
        return Round("release", self.stamp, now, self.voters) if before in ("lease", "owner") else None

    def outdone(self, stamp: Stamp) -> None:
        """Somebody knows this term: the next campaign goes over it."""
        self.highest = max(self.highest, stamp.term)

    def _lease(self, now: Time) -> Round:
        self.renewal += 1
        return Round("lease", self.stamp, now, self.voters, self.renewal)

    def _idle(self, why: str) -> None:
        self.stage, self.round, self.why, self.until = "idle", None, why, 0

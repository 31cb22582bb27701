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
        self, number: int, start: int, generation: int, voters: tuple[int, ...], lease_duration: Time
    ) -> None:
        self.number, self.start, self.generation, self.voters, self.lease_duration = (
            number,
            start,
            generation,
            voters,
            lease_duration,
        )
        self.stage = "idle"
        self.highest_term = 0
        self.stamp = Stamp()
        self.renewal = 0  # of the last lease that was asked for under the stamp
        self.lease_until: Time = 0  # by our clock, counted from before the round that won it was asked
        self.pending_round: Round | None = None  # that decides the stage
        self.end_reason = ""  # it last left off

    def campaign(self, now: Time) -> Round | None:
        """The pre-vote to send; None if one is under way or the duty is ours."""
        if self.stage != "idle":
            return None
        self.stamp = Stamp(terms.next_term(self.highest_term, self.generation, self.number), self.start)
        self.stage, self.pending_round, self.renewal = (
            "would",
            Round("would", self.stamp, now, self.voters),
            0,
        )
        return self.pending_round

    def renew(self, now: Time) -> Round | None:
        """To be sent in time while we own; None if we don't."""
        return self._lease_round(now) if self.holds_lease(now) else None

    def record_answer(self, now: Time, asked: Round, voter: int, answer: Answer | None) -> Round | None:
        """An answer, or that none came (None). Gives the round to send next: the real question after a pre-vote that
        was won, a release after one that was lost."""
        asked.record(voter, answer)
        self.highest_term = max(self.highest_term, asked.highest_term)
        if asked.stamp != self.stamp:
            return None  # of a campaign or term that is over
        if asked.kind == "would" and asked is self.pending_round:
            if asked.won:
                self.stage, self.pending_round = "lease", self._lease_round(now)
                self.highest_term = max(
                    self.highest_term, self.stamp.term
                )  # else its late release frees the next one's lease
                return self.pending_round
            if asked.lost:
                self._become_idle("no majority would grant it")
        elif asked.kind == "lease" and asked is self.pending_round and self.stage == "lease":
            if asked.won:
                self.stage, self.lease_until, self.pending_round = (
                    "owner",
                    asked.started + self.lease_duration,
                    None,
                )
                if not self.holds_lease(now):
                    return self.step_down(now, "the answers came after the lease")
            elif asked.lost:
                return self.step_down(now, "no majority granted it")
        elif asked.kind == "lease" and self.stage == "owner" and asked.won:
            self.lease_until = max(self.lease_until, asked.started + self.lease_duration)
        return None

    def holds_lease(self, now: Time) -> bool:
        """The look before each act."""
        return self.stage == "owner" and now < self.lease_until

    def step_down(self, now: Time, reason: str) -> Round | None:
        """Steps down or gives a campaign up. Gives the release to send, so that nobody waits for our lease; harmless
        to whoever follows, as voters release only what carries our stamp."""
        if self.stage == "idle":
            return None
        before, self.stage = self.stage, "idle"
        self._become_idle(reason)
        return Round("release", self.stamp, now, self.voters) if before in ("lease", "owner") else None

    def observe_stamp(self, stamp: Stamp) -> None:
        """Somebody knows this term: the next campaign goes over it."""
        self.highest_term = max(self.highest_term, stamp.term)

    def _lease_round(self, now: Time) -> Round:
        self.renewal += 1
        return Round("lease", self.stamp, now, self.voters, self.renewal)

    def _become_idle(self, reason: str) -> None:
        self.stage, self.pending_round, self.end_reason, self.lease_until = "idle", None, reason, 0

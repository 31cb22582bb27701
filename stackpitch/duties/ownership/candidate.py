"""A gateway as candidate for and owner of a duty: lease requests, their answers, the lease's expiry.

    idle -> would (pre-vote: changes nothing at the voting replicas) -> lease -> owner -> idle

A campaign starts only when a voting replica reports a vacancy, so a gateway that returns from a network
partition doesn't disturb the current owner.
"""

from stackpitch.duties.calls import Answer, Stamp
from stackpitch.duties.ownership import terms
from stackpitch.duties.ownership.rounds import Round
from stackpitch.loop import Time


class Candidate:
    """The state machine of a candidate for one duty.

    `start` identifies this start of the process. `lease_duration`: of the requested lease, in ticks.
    `highest_term` is the highest term known; it only rises.
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
        self.renewal = 0  # number of the last lease requested under the stamp
        self.lease_until: Time = 0  # on the local clock, counted from before its round was sent
        self.pending_round: Round | None = None  # the one that decides the stage
        self.end_reason = ""  # of the last campaign or lease

    def campaign(self, now: Time) -> Round | None:
        """Starts a campaign; returns the pre-vote to send, None unless idle."""
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
        """The renewal to send; None without a valid lease."""
        return self._lease_round(now) if self.holds_lease(now) else None

    def record_answer(
        self, now: Time, quorum_round: Round, voter: int, answer: Answer | None
    ) -> Round | None:
        """Records an answer, None if none came in time; returns the round to send next, if any.

        After a won pre-vote that is the lease round, after a lost or late lease round a release.
        """
        quorum_round.record(voter, answer)
        self.highest_term = max(self.highest_term, quorum_round.highest_term)
        if quorum_round.stamp != self.stamp:
            return None  # of a campaign or term that is over
        if quorum_round.kind == "would" and quorum_round is self.pending_round:
            if quorum_round.won:
                self.stage, self.pending_round = "lease", self._lease_round(now)
                # A campaign that reused this term could lose its lease to a delayed release of this one.
                self.highest_term = max(self.highest_term, self.stamp.term)
                return self.pending_round
            if quorum_round.lost:
                self._become_idle("no majority would grant it")
        elif quorum_round.kind == "lease" and quorum_round is self.pending_round and self.stage == "lease":
            if quorum_round.won:
                self.stage, self.lease_until, self.pending_round = (
                    "owner",
                    quorum_round.started + self.lease_duration,
                    None,
                )
                if not self.holds_lease(now):
                    return self.step_down(now, "the answers came after the lease had expired")
            elif quorum_round.lost:
                return self.step_down(now, "no majority granted it")
        elif quorum_round.kind == "lease" and self.stage == "owner" and quorum_round.won:
            self.lease_until = max(self.lease_until, quorum_round.started + self.lease_duration)
        return None

    def holds_lease(self, now: Time) -> bool:
        """Whether the lease is valid; checked before each effect and each write."""
        return self.stage == "owner" and now < self.lease_until

    def step_down(self, now: Time, reason: str) -> Round | None:
        """Ends the lease or the campaign; returns the release to send, None if nothing may have been granted.

        Thanks to the release the next owner needn't wait for the lease to expire. It can't end a later
        owner's lease, as voting replicas release only a lease under the same stamp.
        """
        if self.stage == "idle":
            return None
        previous_stage, self.stage = self.stage, "idle"
        self._become_idle(reason)
        return (
            Round("release", self.stamp, now, self.voters) if previous_stage in ("lease", "owner") else None
        )

    def observe_stamp(self, stamp: Stamp) -> None:
        """Notes a term that is in use; the next campaign requests a higher one."""
        self.highest_term = max(self.highest_term, stamp.term)

    def _lease_round(self, now: Time) -> Round:
        self.renewal += 1
        return Round("lease", self.stamp, now, self.voters, self.renewal)

    def _become_idle(self, reason: str) -> None:
        self.stage, self.pending_round, self.end_reason, self.lease_until = "idle", None, reason, 0

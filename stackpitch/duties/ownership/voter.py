"""One voting replica ("voter"): its promises, the leases that it granted, and its answers.

Its durable state is a `Promise` per duty: the highest term granted and the duty's record, on disk before
any answer that depends on it. Leases are kept in memory only: after a start the replica grants nothing to a
new candidate for as long as an earlier lease could still be valid.
"""

from dataclasses import dataclass, field

import msgspec

from stackpitch.duties.calls import Answer, Stamp, encode_body
from stackpitch.duties.ownership.lease import voter_lease_duration
from stackpitch.duties.record.register import MAX_VALUE_BYTES, RecordValue
from stackpitch.loop import Time


class Promise(msgspec.Struct, frozen=True):
    """For one duty: no grant and no write under a term below `stamp`. `kept` is the duty's record."""

    stamp: Stamp = Stamp()
    kept: RecordValue = RecordValue()


class Refusal(msgspec.Struct, frozen=True):
    """The body of a "leased" answer: ticks from now until the replica may grant the duty again."""

    free_in: Time


@dataclass(slots=True)
class GrantedLease:
    """A lease as the voting replica that granted it counts it. One per duty; removed by its release.

    An expired lease stays until the next grant replaces it.
    """

    stamp: Stamp
    until: Time


@dataclass(slots=True)
class RenewalProgress:
    """The latest renewal seen of a term. One per duty; a later term replaces it, a restart empties the table.

    Guards against repeated and delayed calls: a lease call that arrives a second time would extend the
    lease of a dead owner. After a restart each such call extends a lease by at most one lease duration.
    """

    stamp: Stamp
    renewal: int
    released: bool = False  # later renewals of this term are refused


@dataclass(slots=True)
class VotingReplica:
    """A voting replica's state machine.

    `max_lease`: the longest lease that it grants, in ticks. `max_clock_drift`: of a clock against true
    time, as a fraction. `silent_until`: until then a lease granted before the restart may still be valid,
    so no new candidate is granted one.
    """

    max_lease: Time
    max_clock_drift: float
    silent_until: Time
    promises: dict[str, Promise] = field(default_factory=dict)  # one per duty; never removed
    leases: dict[str, GrantedLease] = field(default_factory=dict)
    renewals: dict[str, RenewalProgress] = field(default_factory=dict)
    # Duties whose promise is not on disk; at most one entry per duty, removed once written.
    unsaved: dict[str, None] = field(default_factory=dict)

    def promise_of(self, duty: str) -> Promise:
        """The promise for the duty; the lowest possible if none was made."""
        return self.promises.get(duty, Promise())

    def lease_remaining(self, now: Time, duty: str, stamp: Stamp) -> Time:
        """Ticks for which a lease under another stamp may still be valid; 0 if there is none."""
        granted = self.leases.get(duty)
        until = granted.until if granted is not None and granted.stamp != stamp else 0
        if stamp != self.promise_of(duty).stamp:
            until = max(until, self.silent_until)
        return max(0, until - now)

    def is_vacant(self, now: Time, duty: str) -> bool:
        """Whether this replica would grant the duty to a new candidate."""
        granted = self.leases.get(duty)
        return now >= self.silent_until and (granted is None or granted.until <= now)

    def _refusal_to_grant(self, now: Time, duty: str, stamp: Stamp, lease: Time) -> Answer | None:
        """The refusal of a lease; None if it may be granted."""
        known = self.promise_of(duty).stamp
        if lease > self.max_lease:
            return Answer("longer lease than this voter grants", known)
        if stamp.term < known.term or (stamp.term == known.term and stamp != known):
            return Answer("older term", known)
        if remaining := self.lease_remaining(now, duty, stamp):
            return Answer("leased", known, encode_body(Refusal(remaining)))
        return None

    def pre_vote(self, now: Time, duty: str, stamp: Stamp, lease: Time) -> Answer:
        """Pre-vote: whether `grant` would agree. Changes no state, so it can't depose an owner."""
        return self._refusal_to_grant(now, duty, stamp, lease) or Answer("yes", self.promise_of(duty).stamp)

    def grant(self, now: Time, duty: str, stamp: Stamp, lease: Time, renewal: int) -> Answer:
        """Grants or renews a lease; `renewal` rises within a term.

        The caller writes the promises in `unsaved` to disk before it sends the answer.
        """
        if (refusal := self._refusal_to_grant(now, duty, stamp, lease)) is not None:
            return refusal
        progress = self.renewals.get(duty)
        if (
            progress is not None
            and progress.stamp == stamp
            and (progress.released or renewal <= progress.renewal)
        ):
            return Answer("released before" if progress.released else "repeated or late renewal", stamp)
        self.renewals[duty] = RenewalProgress(stamp, renewal)
        self._set_promise(duty, Promise(stamp, self.promise_of(duty).kept))
        self.leases[duty] = GrantedLease(stamp, now + voter_lease_duration(lease, self.max_clock_drift))
        return Answer("yes", stamp)

    def release(self, now: Time, duty: str, stamp: Stamp) -> Answer:
        """Ends the holder's lease. The promise stays, so the term is never granted again."""
        if (refusal := self._refusal_if_fenced(duty, stamp)) is not None:
            return refusal
        granted, progress = self.leases.get(duty), self.renewals.get(duty)
        if granted is not None and granted.stamp == stamp:
            del self.leases[duty]
        if progress is None or progress.stamp.term <= stamp.term:
            self.renewals[duty] = RenewalProgress(stamp, 0, True)
        return Answer("yes", self.promise_of(duty).stamp)

    def read(self, duty: str, stamp: Stamp) -> Answer:
        """The record, for an owner. Promises the owner's term, which fences off writes of older owners."""
        if (refusal := self._refusal_if_fenced(duty, stamp)) is not None:
            return refusal
        kept = self.promise_of(duty).kept
        self._set_promise(duty, Promise(stamp, kept))
        return Answer("yes", stamp, encode_body(kept))

    def write(self, duty: str, stamp: Stamp, kept: RecordValue) -> Answer:
        """Replaces the record; refused under an older term, if too large or if older than the record."""
        if (refusal := self._refusal_if_fenced(duty, stamp)) is not None:
            return refusal
        if len(kept.value) > MAX_VALUE_BYTES:
            return Answer("record too large", stamp)
        if kept.stamp != stamp or kept.order < self.promise_of(duty).kept.order:
            return Answer("older write", stamp)  # a repeat, or overtaken by a later write of the same owner
        self._set_promise(duty, Promise(stamp, kept))
        return Answer("yes", stamp)

    def _refusal_if_fenced(self, duty: str, stamp: Stamp) -> Answer | None:
        known = self.promise_of(duty).stamp
        if stamp.term < known.term or (stamp.term == known.term and stamp != known) or not stamp.term:
            return Answer("older term", known)
        return None

    def _set_promise(self, duty: str, promise: Promise) -> None:
        if promise != self.promise_of(duty):
            self.promises[duty] = promise
            self.unsaved[duty] = None

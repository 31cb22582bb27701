"""One voter: what it has promised, whose lease runs, and what it answers.

Hard state (`Promise`, on disk before any answer that rests on it) is the highest term granted for each duty, and the duty's
record. Leases are soft: a voter that starts keeps quiet for as long as one could still run.
"""

from dataclasses import dataclass, field

import msgspec

from stackpitch.duties.calls import Answer, Stamp, raw
from stackpitch.duties.ownership.lease import voter_lease_duration
from stackpitch.duties.record.register import LARGEST, Kept
from stackpitch.loop import Time


class Promise(msgspec.Struct, frozen=True):
    """What a voter has promised for one duty: no grant and no write under a lower term."""

    stamp: Stamp = Stamp()
    kept: Kept = Kept()


class Refusal(msgspec.Struct, frozen=True):
    """With a "leased": when the voter's word is free again, in ticks from now."""

    free_in: Time


@dataclass(slots=True)
class GrantedLease:
    """A lease as its voter counts it. One a duty; emptied by running out and by release."""

    stamp: Stamp
    until: Time


@dataclass(slots=True)
class RenewalProgress:
    """How far a term's renewals have come. One a duty; a later term's takes its place, a restart empties it.

    Guards against a network that repeats or holds calls back: a lease call that comes once more would extend the lease of
    an owner that is dead. What a restart forgets costs one lease's time at most for each call that is late by then.
    """

    stamp: Stamp
    renewal: int
    released: bool = False  # no more of them: what comes still is late


@dataclass(slots=True)
class VotingReplica:
    """`lease`: the longest that it grants. `drift`: of clocks against true time. `quiet`: until when a lease may run that
    an earlier start of this voter granted; nobody new is granted one before."""

    max_lease: Time
    max_clock_drift: float
    silent_until: Time
    promises: dict[str, Promise] = field(default_factory=dict)  # one a duty; never emptied
    leases: dict[str, GrantedLease] = field(default_factory=dict)
    renewals: dict[str, RenewalProgress] = field(default_factory=dict)
    unsaved: dict[str, None] = field(
        default_factory=dict
    )  # duties whose promise is not on disk; emptied by the carrier

    def promise_of(self, duty: str) -> Promise:
        return self.promises.get(duty, Promise())

    def lease_remaining(self, now: Time, duty: str, stamp: Stamp) -> Time:
        """How long another's lease may still run; 0: not at all."""
        granted = self.leases.get(duty)
        until = granted.until if granted is not None and granted.stamp != stamp else 0
        if stamp != self.promise_of(duty).stamp:
            until = max(until, self.silent_until)
        return max(0, until - now)

    def is_vacant(self, now: Time, duty: str) -> bool:
        """Whether this voter would grant the duty to somebody new."""
        granted = self.leases.get(duty)
        return now >= self.silent_until and (granted is None or granted.until <= now)

    def _refusal_to_grant(self, now: Time, duty: str, stamp: Stamp, lease: Time) -> Answer | None:
        """Why not; None: it may be granted."""
        known = self.promise_of(duty).stamp
        if lease > self.max_lease:
            return Answer("longer lease than this voter grants", known)
        if stamp.term < known.term or (stamp.term == known.term and stamp != known):
            return Answer("older term", known)
        if free_in := self.lease_remaining(now, duty, stamp):
            return Answer("leased", known, raw(Refusal(free_in)))
        return None

    def pre_vote(self, now: Time, duty: str, stamp: Stamp, lease: Time) -> Answer:
        """Pre-vote: whether `grant` would say yes. Changes nothing, so asking deposes nobody."""
        return self._refusal_to_grant(now, duty, stamp, lease) or Answer("yes", self.promise_of(duty).stamp)

    def grant(self, now: Time, duty: str, stamp: Stamp, lease: Time, renewal: int) -> Answer:
        """Grants or renews; `renewal` rises within a term. What it promises is on disk before the answer leaves (`dirty`)."""
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
        """The holder lets go. The promise stays: its term is never given again."""
        if (refusal := self._refusal_if_fenced(duty, stamp)) is not None:
            return refusal
        granted, progress = self.leases.get(duty), self.renewals.get(duty)
        if granted is not None and granted.stamp == stamp:
            del self.leases[duty]
        if progress is None or progress.stamp.term <= stamp.term:
            self.renewals[duty] = RenewalProgress(stamp, 0, True)
        return Answer("yes", self.promise_of(duty).stamp)

    def read(self, duty: str, stamp: Stamp) -> Answer:
        """The record, for an owner. Reading promises too: what an older owner writes after it is turned down."""
        if (refusal := self._refusal_if_fenced(duty, stamp)) is not None:
            return refusal
        kept = self.promise_of(duty).kept
        self._set_promise(duty, Promise(stamp, kept))
        return Answer("yes", stamp, raw(kept))

    def write(self, duty: str, stamp: Stamp, kept: Kept) -> Answer:
        if (refusal := self._refusal_if_fenced(duty, stamp)) is not None:
            return refusal
        if len(kept.value) > LARGEST:
            return Answer("record too large", stamp)
        if kept.stamp != stamp or kept.order < self.promise_of(duty).kept.order:
            return Answer("older write", stamp)  # repeated or overtaken by the same owner's later one
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

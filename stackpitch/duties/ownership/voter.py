"""One voter: what it has promised, whose lease runs, and what it answers.

Hard state (`Promise`, on disk before any answer that rests on it) is the highest term granted for each duty, and the duty's
record. Leases are soft: a voter that starts keeps quiet for as long as one could still run.
"""

from dataclasses import dataclass, field

import msgspec

from stackpitch.duties.calls import Answer, Stamp, encode_body
from stackpitch.duties.ownership.lease import voters_time
from stackpitch.duties.record.register import MAX_VALUE_BYTES, RecordValue
from stackpitch.loop import Time


class Promise(msgspec.Struct, frozen=True):
    """What a voter has promised for one duty: no grant and no write under a lower term."""

    stamp: Stamp = Stamp()
    kept: RecordValue = RecordValue()


class Refusal(msgspec.Struct, frozen=True):
    """With a "leased": when the voter's word is free again, in ticks from now."""

    free_in: Time


@dataclass(slots=True)
class Running:
    """A lease as its voter counts it. One a duty; emptied by running out and by release."""

    stamp: Stamp
    until: Time


@dataclass(slots=True)
class Heard:
    """How far a term's renewals have come. One a duty; a later term's takes its place, a restart empties it.

    Guards against a network that repeats or holds calls back: a lease call that comes once more would extend the lease of
    an owner that is dead. What a restart forgets costs one lease's time at most for each call that is late by then.
    """

    stamp: Stamp
    renewal: int
    released: bool = False  # no more of them: what comes still is late


@dataclass(slots=True)
class Voter:
    """`lease`: the longest that it grants. `drift`: of clocks against true time. `quiet`: until when a lease may run that
    an earlier start of this voter granted; nobody new is granted one before."""

    lease: Time
    drift: float
    quiet: Time
    promises: dict[str, Promise] = field(default_factory=dict)  # one a duty; never emptied
    running: dict[str, Running] = field(default_factory=dict)
    renewals: dict[str, Heard] = field(default_factory=dict)
    dirty: dict[str, None] = field(
        default_factory=dict
    )  # duties whose promise is not on disk; emptied by the carrier

    def promised(self, duty: str) -> Promise:
        return self.promises.get(duty, Promise())

    def free_in(self, now: Time, duty: str, stamp: Stamp) -> Time:
        """How long another's lease may still run; 0: not at all."""
        running = self.running.get(duty)
        until = running.until if running is not None and running.stamp != stamp else 0
        if stamp != self.promised(duty).stamp:
            until = max(until, self.quiet)
        return max(0, until - now)

    def vacant(self, now: Time, duty: str) -> bool:
        """Whether this voter would grant the duty to somebody new."""
        running = self.running.get(duty)
        return now >= self.quiet and (running is None or running.until <= now)

    def _judge(self, now: Time, duty: str, stamp: Stamp, lease: Time) -> Answer | None:
        """Why not; None: it may be granted."""
        known = self.promised(duty).stamp
        if lease > self.lease:
            return Answer("longer lease than this voter grants", known)
        if stamp.term < known.term or (stamp.term == known.term and stamp != known):
            return Answer("older term", known)
        if free_in := self.free_in(now, duty, stamp):
            return Answer("leased", known, encode_body(Refusal(free_in)))
        return None

    def would(self, now: Time, duty: str, stamp: Stamp, lease: Time) -> Answer:
        """Pre-vote: whether `grant` would say yes. Changes nothing, so asking deposes nobody."""
        return self._judge(now, duty, stamp, lease) or Answer("yes", self.promised(duty).stamp)

    def grant(self, now: Time, duty: str, stamp: Stamp, lease: Time, renewal: int) -> Answer:
        """Grants or renews; `renewal` rises within a term. What it promises is on disk before the answer leaves (`dirty`)."""
        if (refusal := self._judge(now, duty, stamp, lease)) is not None:
            return refusal
        heard = self.renewals.get(duty)
        if heard is not None and heard.stamp == stamp and (heard.released or renewal <= heard.renewal):
            return Answer("released before" if heard.released else "repeated or late renewal", stamp)
        self.renewals[duty] = Heard(stamp, renewal)
        self._promise(duty, Promise(stamp, self.promised(duty).kept))
        self.running[duty] = Running(stamp, now + voters_time(lease, self.drift))
        return Answer("yes", stamp)

    def release(self, now: Time, duty: str, stamp: Stamp) -> Answer:
        """The holder lets go. The promise stays: its term is never given again."""
        if (refusal := self._fenced(duty, stamp)) is not None:
            return refusal
        running, heard = self.running.get(duty), self.renewals.get(duty)
        if running is not None and running.stamp == stamp:
            del self.running[duty]
        if heard is None or heard.stamp.term <= stamp.term:
            self.renewals[duty] = Heard(stamp, 0, True)
        return Answer("yes", self.promised(duty).stamp)

    def read(self, duty: str, stamp: Stamp) -> Answer:
        """The record, for an owner. Reading promises too: what an older owner writes after it is turned down."""
        if (refusal := self._fenced(duty, stamp)) is not None:
            return refusal
        kept = self.promised(duty).kept
        self._promise(duty, Promise(stamp, kept))
        return Answer("yes", stamp, encode_body(kept))

    def write(self, duty: str, stamp: Stamp, kept: RecordValue) -> Answer:
        if (refusal := self._fenced(duty, stamp)) is not None:
            return refusal
        if len(kept.value) > MAX_VALUE_BYTES:
            return Answer("record too large", stamp)
        if kept.stamp != stamp or kept.order < self.promised(duty).kept.order:
            return Answer("older write", stamp)  # repeated or overtaken by the same owner's later one
        self._promise(duty, Promise(stamp, kept))
        return Answer("yes", stamp)

    def _fenced(self, duty: str, stamp: Stamp) -> Answer | None:
        known = self.promised(duty).stamp
        if stamp.term < known.term or (stamp.term == known.term and stamp != known) or not stamp.term:
            return Answer("older term", known)
        return None

    def _promise(self, duty: str, promise: Promise) -> None:
        if promise != self.promised(duty):
            self.promises[duty] = promise
            self.dirty[duty] = None

"""A voter's steps, by the real `VotingReplica` and `decide`."""

from functools import cache

from stackpitch.duties.calls import Answer
from stackpitch.duties.ownership.joining import merge_promises
from stackpitch.duties.ownership.lease import voter_lease_duration
from stackpitch.duties.ownership.voter import GrantedLease, Promise, RenewalProgress, VotingReplica
from stackpitch.duties.record.client import decode_value
from stackpitch.duties.record.register import RecordValue
from stackpitch.rehearse.exploring.state import LEASE, NONE, NOW, Ask, Paper, Said, Seat, paper, stamp

DUTY = "d"
QUIET = voter_lease_duration(LEASE, 0)


def kept(told: Paper) -> RecordValue:
    return RecordValue(stamp(told.kept), told.version, b"%d" % told.value if told.version else b"")


def promise(told: Paper) -> Promise:
    return Promise(stamp(told.stamp), kept(told))


def real(seat: Seat) -> VotingReplica:
    voter = VotingReplica(LEASE, 0, NOW + seat.quiet)
    if seat.promise != Paper():
        voter.promises[DUTY] = promise(seat.promise)
    if seat.running is not None:
        voter.leases[DUTY] = GrantedLease(stamp(seat.running[0]), NOW + seat.running[1])
    if seat.heard[0] != NONE:
        voter.renewals[DUTY] = RenewalProgress(stamp(seat.heard[0]), *seat.heard[1:])
    return voter


def told(seat: Seat, voter: VotingReplica, bugs: frozenset[str]) -> Seat:
    """The seat after what the voter did. What it promised is on disk before its answer leaves."""
    after = paper(voter.promise_of(DUTY))
    disk = after if "no sync" not in bugs or after == seat.promise else seat.promise
    running = voter.leases.get(DUTY)
    held = (
        None
        if running is None or running.until <= NOW
        else ((running.stamp.term, running.stamp.start), running.until - NOW)
    )
    last = voter.renewals.get(DUTY)
    heard = seat.heard if last is None else ((last.stamp.term, last.stamp.start), last.renewal, last.released)
    if heard[0] < after.stamp:  # shut out by its term
        heard = NONE, 0, False
    return seat._replace(promise=after, disk=disk, running=held, heard=heard)


@cache
def gets(seat: Seat, ask: Ask, bugs: frozenset[str]) -> Seat:
    """A request arrives; a yes is on its way then."""
    voter, who = real(seat), stamp(ask.stamp)
    answer: Answer
    read = Paper()
    if ask.kind == "lease":
        if "disturbs" in bugs:
            voter.leases.clear()
        answer = voter.grant(NOW, DUTY, who, LEASE, ask.round)
    elif ask.kind == "release":
        if "anyone releases" in bugs:
            voter.leases.clear()
        answer = voter.release(NOW, DUTY, who)
    elif ask.kind == "read":
        answer = voter.read(DUTY, who)
        read = Paper() if not answer.yes else paper(Promise(kept=decode_value(answer)))
    else:
        if "late writes" in bugs and ask.paper.kept < seat.promise.stamp:
            voter.promises[DUTY] = Promise(stamp(seat.promise.stamp), kept(ask.paper))
            return told(seat, voter, bugs)
        answer = voter.write(DUTY, who, kept(ask.paper))
    after = told(seat, voter, bugs)
    if answer.yes and ask.kind != "release" and Said(ask.candidate, ask.round, read) not in after.counted:
        after = after._replace(answers=after.answers | {Said(ask.candidate, ask.round, read)})
    return after


@cache
def restarts(seat: Seat, bugs: frozenset[str]) -> Seat:
    """What was not on disk is gone, and so are the leases that it knew of; what it had answered goes on its way."""
    back = Paper() if "forgets" in bugs else seat.disk
    return seat._replace(
        promise=back, disk=back, running=None, heard=(NONE, 0, False), quiet=0 if "hasty" in bugs else QUIET
    )


def loses(seat: Seat) -> Seat:
    return seat._replace(
        word="lost", promise=Paper(), disk=Paper(), running=None, heard=(NONE, 0, False), quiet=0
    )


def learns(seat: Seat, others: list[Seat], bugs: frozenset[str]) -> Seat:
    """From a majority of others; time may pass before it votes by that."""
    parts = others[:1] if "learns from one" in bugs else others
    found = merge_promises([{DUTY: promise(one.promise)} for one in parts if one.promise != Paper()])
    known = paper(found[DUTY]) if DUTY in found else Paper()
    return seat._replace(word="learned", promise=known, disk=known)


def joins(seat: Seat, bugs: frozenset[str]) -> Seat:
    return seat._replace(word="votes", quiet=0 if "hasty" in bugs else QUIET)

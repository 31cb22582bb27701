"""O2: no two leases granted by a majority overlap in the network's time, and nobody acts as owner without one.

An owner holds a duty from when the answer that made a majority of yes was handed to it, until a lease's length after it
began to ask; a renewal that was won in time moves the end. Its release or its process's death end it. For overlaps both ends
are taken so that an owner's time is never held to be longer than it can have believed itself: the answer's handing over is
later than the voter's promise; a round whose calls came after a stop of its process may have been asked for before the stop.
For what an owner owes (acting only under a lease) the end is taken as late as it can be. All clocks here are one machine's,
so no drift is added.

An owner's own vote and acts at its own process don't pass on the network. A vote of its own is taken as given only in
support of an owner that goes on to act (reads, writes, announces, renews), which one that lost its campaign never does, and
not after its voter has granted the duty to somebody else under a newer term.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from stackpitch.loop import MS, Time
from stackpitch.rehearse.judging.acts import Act, Stamp
from stackpitch.rehearse.judging.lives import FOREVER, Lives
from stackpitch.rehearse.rules import Breach

ASKING = frozenset({"would", "lease", "release", "state", "vacant"})
APART: Time = 60 * MS  # calls of one round come into the network within this
LATE: Time = 300 * MS  # from a look to the call's arrival at the network: a call's limit at most
AFTER_STOP: Time = 1000 * MS  # a call that came so soon after SIGCONT may have been asked for before SIGSTOP


@dataclass(slots=True)
class Hold:
    owner: int
    duty: str
    stamp: Stamp
    begin: Time
    end: Time  # at the latest
    sure: Time  # at the earliest
    released: bool = False

    @property
    def shown(self) -> bool:
        return self.begin < self.end


def asked(act: Act, lives: Lives) -> Time:
    for begin, end in lives.stopped[act.sender]:
        if begin <= act.came <= min(end + AFTER_STOP, FOREVER):
            return begin
    return act.came


def rounds(leases: list[Act]) -> list[list[Act]]:
    found: list[list[Act]] = []
    for act in leases:
        if found and act.came - found[-1][0].came <= APART and all(act.to != one.to for one in found[-1]):
            found[-1].append(act)
        else:
            found.append([act])
    return found


def won(group: list[Act], needed: int) -> Time | None:
    """When the yes that made the majority was handed over."""
    answers = sorted(one.delivered for one in group if one.yes and one.delivered is not None)
    if needed <= 0:
        return group[0].came
    return answers[needed - 1] if len(answers) >= needed else None


def read(acts: Iterable[Act], lives: Lives, voters: tuple[int, ...]) -> list[Hold]:
    by_stamp: dict[tuple[str, Stamp, int], list[Act]] = defaultdict(list)
    given: dict[tuple[int, str], list[tuple[Time, int]]] = defaultdict(list)  # a voter's yes: when, term
    for act in acts:
        if act.stamp[0]:
            by_stamp[act.duty, act.stamp, act.sender].append(act)
        if act.kind == "lease":
            given[act.to, act.duty] += [
                (copy.answered, act.stamp[0])
                for copy in act.copies.values()
                if copy.word == "yes" and copy.answered is not None
            ]
    holds: list[Hold] = []
    for (duty, stamp, owner), ours in by_stamp.items():
        groups = rounds([one for one in ours if one.kind == "lease"])
        own = owner in voters
        outvoted = (
            min((at for at, term in given[owner, duty] if term > stamp[0]), default=FOREVER)
            if own
            else FOREVER
        )
        shown = min((one.came for one in ours if one.kind not in ASKING), default=FOREVER)
        if len(groups) > 1:
            shown = min(shown, groups[1][0].came)
        hold: Hold | None = None
        for group in groups:
            at = won(group, len(voters) // 2 + 1 - (own and group[0].came < outvoted))
            if at is None:
                continue
            lease = max(one.lease for one in group)
            end, sure = group[0].came + lease, min(asked(one, lives) for one in group) + lease
            if hold is None:
                hold = Hold(owner, duty, stamp, max(at, shown) if own else at, end, sure)
            elif at < hold.end:
                hold.end, hold.sure = max(hold.end, end), max(hold.sure, sure)
        if hold is None:
            continue
        released_at = min((one.came for one in ours if one.kind == "release"), default=FOREVER)
        hold.released = released_at < hold.end
        hold.end = min(hold.end, released_at, lives.death_after(owner, hold.begin))
        hold.sure = min(hold.sure, hold.end)
        holds.append(hold)
    return sorted(holds, key=lambda one: (one.begin, one.stamp))


def overlapping(holds: Iterable[Hold], rule: int) -> list[Breach]:
    found: list[Breach] = []
    latest: dict[str, Hold] = {}
    for hold in (one for one in holds if one.shown):
        before = latest.get(hold.duty)
        if before is not None and hold.begin < min(before.sure, hold.sure):
            found.append(
                Breach(
                    rule,
                    hold.duty,
                    f"g{hold.owner} held it under term {hold.stamp[0]} for "
                    f"{(min(before.sure, hold.sure) - hold.begin) / 10:.1f} ms while g{before.owner} did under "
                    f"{before.stamp[0]}",
                    [
                        f"{one.begin / 10:.1f} to {one.sure / 10:.1f} ms: g{one.owner}, term {one.stamp[0]}, start "
                        f"{one.stamp[1]}"
                        for one in (before, hold)
                    ],
                )
            )
        if before is None or hold.sure > before.sure:
            latest[hold.duty] = hold
    return found


def without_a_lease(acts: Iterable[Act], holds: Iterable[Hold], lives: Lives, rule: int) -> list[Breach]:
    """Of each term the first act that came into the network after its owner's lease was over, or without one. A look may
    be followed by a stop before the send: what comes within a second of waking is excused here, and left to fences."""
    ends = {(one.duty, one.stamp, one.owner): one.end for one in holds}
    found: dict[tuple[str, Stamp, int], Breach] = {}
    for act in acts:
        key = act.duty, act.stamp, act.sender
        if act.kind in ASKING or not act.stamp[0] or key in found:
            continue
        late = act.came - ends.get(key, 0)
        if late > LATE and not any(
            begin <= act.came <= end + AFTER_STOP for begin, end in lives.stopped[act.sender]
        ):
            why = (
                f"{late / 10:.0f} ms after its lease was over"
                if key in ends
                else "and was never granted a lease"
            )
            found[key] = Breach(
                rule,
                act.duty,
                f"g{act.sender} sent {act.kind} to g{act.to} under term {act.stamp[0]} {why}",
                [f"{act.came / 10:.1f} ms: call {act.number}"],
            )
    return list(found.values())

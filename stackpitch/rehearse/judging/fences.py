"""O1: effects that a receiver has taken never go back in term.

Two calls that were under way at a receiver together may have been taken in either order. One that was passed on only after
the other's "yes" had come out was taken after it: of such a pair the second must not have the older term, nor the same
term from another start of the owner's process.

A voter whose file is taken away or set back learns what others know, so what it alone had promised is forgotten: that harms
nothing if the term was never won. Terms under which anybody acted must be known to it still.
"""

from collections import defaultdict
from collections.abc import Iterable

from stackpitch.loop import Time
from stackpitch.rehearse.judging.acts import Act, Stamp
from stackpitch.rehearse.judging.lives import Lives
from stackpitch.rehearse.rules import Breach

NO_EFFECTS = frozenset(
    {"would", "release", "state", "vacant"}
)  # change nothing that an older term could harm
DURABLE = frozenset({"lease", "read", "write"})  # taken by voters, who must not forget over a restart


def out_of_order(acts: Iterable[Act], lives: Lives, rule: int) -> list[Breach]:
    taken: dict[tuple[int, str, bool], list[tuple[Time, Time, Act]]] = defaultdict(list)
    acts = list(acts)
    served = {(one.duty, one.stamp) for one in acts if one.kind not in NO_EFFECTS and one.kind != "lease"}
    for act in acts:
        if act.kind in NO_EFFECTS or not act.stamp[0]:
            continue
        for copy in act.copies.values():
            if copy.word == "yes" and copy.answered is not None:
                taken[act.to, act.duty, act.kind in DURABLE].append((copy.passed, copy.answered, act))
    found: list[Breach] = []
    for (receiver, duty, durable), passings in sorted(taken.items()):
        answers = sorted(passings, key=lambda one: one[1])
        newest: Stamp = (0, 0)
        by: Act | None = None
        at = 0  # up to which answer has been looked at
        since: Time = 0  # what a receiver holds in memory alone ends with its process
        for passed, _, act in sorted(passings, key=lambda one: (one[0], one[1])):
            if durable and (harmed := lives.harmed_before(receiver, passed)) > since:
                won = [
                    one
                    for _, answered, one in answers
                    if answered < harmed and (one.duty, one.stamp) in served
                ]
                since, by = harmed, max(won, key=lambda one: one.stamp[0], default=None)
                newest = by.stamp if by is not None else (0, 0)
            elif not durable and (start := lives.started_before(receiver, passed)) > since:
                since, newest, by = start, (0, 0), None
            while at < len(answers) and answers[at][1] < passed:
                _, answered, other = answers[at]
                at += 1
                if answered >= since and other.stamp[0] > newest[0]:
                    newest, by = other.stamp, other
            if by is not None and (
                act.stamp[0] < newest[0] or (act.stamp[0] == newest[0] and act.stamp != newest)
            ):
                found.append(
                    Breach(
                        rule,
                        duty,
                        f"g{receiver} took {act.kind} of g{act.sender} under term {act.stamp[0]} "
                        f"(start {act.stamp[1]}) after {by.kind} of g{by.sender} under {newest[0]} "
                        f"(start {newest[1]})",
                        [
                            f"{passed / 10:.1f} ms: call {act.number} passed, after the yes of call {by.number}"
                        ],
                    )
                )
    return found

"""O3: an owner within the time stated, whenever a majority can talk."""

from collections.abc import Iterable

from stackpitch.loop import SECOND, Time
from stackpitch.rehearse.judging.calm import Calm
from stackpitch.rehearse.judging.holds import Hold
from stackpitch.rehearse.judging.lives import Lives
from stackpitch.rehearse.rules import Breach


def gaps(holds: list[Hold], last: Time) -> list[tuple[Time, Time, Hold | None]]:
    """Times without an owner, each with who had it before."""
    found: list[tuple[Time, Time, Hold | None]] = []
    at: Time = 0
    before: Hold | None = None
    for hold in holds:
        if hold.begin > at:
            found.append((at, hold.begin, before))
        if hold.end >= at:
            at, before = hold.end, hold
    if at < last:
        found.append((at, last, before))
    return found


def left(before: Hold | None, begin: Time, lives: Lives) -> Time | None:
    """When the owner was told to end (SIGTERM), if it let go for that."""
    if before is None or not before.released:
        return None
    return next(
        (at for at, signal in lives.kills[before.owner] if signal == 15 and begin - SECOND <= at <= begin),
        None,
    )


def unmanned(
    duties: Iterable[str],
    holds: list[Hold],
    calms: list[Calm],
    lives: Lives,
    founded: Time,
    last: Time,
    crash: Time,
    handover: Time,
    rule: int,
) -> list[Breach]:
    """`founded`: nobody is owed to a new fleet before its voters have all been there once. `crash`: allowed after anything
    but a handover. A voter that began within that time may have to keep quiet for a lease that it doesn't know of: then it
    is allowed after a handover too."""
    found: list[Breach] = []
    for duty in duties:
        for begin, end, before in gaps([one for one in holds if one.duty == duty and one.shown], last):
            begin = max(begin, founded) if before is None else begin
            worst: tuple[Time, Calm | None] = (0, None)
            for calm in calms:
                length = min(end, calm.end) - max(begin, calm.begin)
                if length > worst[0]:
                    worst = length, calm
            allowed = crash
            told = left(before, begin, lives)
            for calm in calms:
                if (
                    told is not None
                    and before is not None
                    and calm.begin <= told - crash
                    and (before.owner not in (*calm.voters, calm.candidate))
                ):
                    length = min(end, calm.end) - told
                    if length > max(handover, worst[0]):
                        allowed, worst = handover, (length, calm)
            if worst[1] is not None and worst[0] > allowed:
                text = ", ".join(f"g{number}" for number in worst[1].voters)
                found.append(
                    Breach(
                        rule,
                        duty,
                        f"no owner for {worst[0] / 10:.0f} ms while voters {text} and "
                        f"g{worst[1].candidate} could talk; allowed: {allowed / 10:.0f}",
                        [
                            f"{begin / 10:.1f} to {end / 10:.1f} ms; before: "
                            + (f"g{before.owner}, term {before.stamp[0]}" if before is not None else "nobody")
                        ],
                    )
                )
    return found

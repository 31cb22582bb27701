"""Rule 1: one final answer in time, nothing after it."""

from collections.abc import Iterator

from soak.oracle.excuses import Excuse
from soak.oracle.seen import Seen
from soak.records import Request, Stop
from soak.stops import stop_before

ANSWER_LATE = 0.5  # over a request's time: earns nothing, and is no break
STOPPED_FOR = 3.0  # seconds in which a client that stops in the middle is owed an error or a close
NOT_YET_LATE = 2.0  # seconds before the run's end in which nothing is known of what has no answer
ROUNDING = 0.002  # seconds, of `Retry-After`


def breaks(seen: Seen) -> Iterator[str]:
    """Of each request by itself."""
    for request in seen.record.requests:
        if request.surplus:
            yield f"rule 1: {request.name} got {request.surplus[:60]!r} after its answer"
        yield from _told_when(seen, request)
        wrong = _stopped(seen, request) if request.kind == "stops" else _missing(seen, request)
        if wrong is None:
            continue
        if (excuse := _excuse(seen, request)) is not None:
            seen.excused[excuse] += 1
        else:
            yield f"rule 1: {request.name} ({request.product} at {request.gateway}) {wrong}"


def _stopped(seen: Seen, request: Request) -> str | None:
    if request.stopped is None or request.ended is None:
        return None
    if request.ended <= seen.due(request.gateway, request.stopped, STOPPED_FOR):
        return None
    took = request.ended - request.stopped
    return f"stopped in the middle, and neither error nor close came in {took:.2f} s"


def _missing(seen: Seen, request: Request) -> str | None:
    if request.sent is None or request.left is not None:
        return None
    due = seen.due(request.gateway, request.sent, request.limit + ANSWER_LATE)
    if request.began is None and request.gave_up and (request.ended or 0.0) < due:
        return None  # the answer may have come in time still
    if request.began is None:
        return f"got no answer{_circumstances(seen, request)}"
    if request.began > due:
        return f"got its answer {request.began - request.sent - request.limit:.2f} s after its time"
    return None


def _circumstances(seen: Seen, request: Request) -> str:
    """What helps to trace it."""
    sent = request.sent or 0.0
    facts = ["on a new connection" if request.fresh else "on a kept connection"]
    facts += [f"{sent - one.told:.3f} s after SIGTERM" for one in _stops(seen, request, sent)]
    if request.ended is not None:
        facts.append(f"ended {request.ended - sent:.3f} s later")
    attempts = ", ".join(f"{one.worker} {one.outcome}" for one in seen.attempts_of(request))
    return f" ({', '.join(facts)}; attempts: {attempts or 'none'})"


def _stops(seen: Seen, request: Request, around: float) -> list[Stop]:
    mine = [one for one in seen.record.stops if one.gateway == request.gateway]
    return [one for one in mine if one.told <= around <= one.ended + request.limit]


def _excuse(seen: Seen, request: Request) -> Excuse | None:
    begin = request.begun or request.sent or request.stopped or 0.0
    end = request.ended if request.ended is not None else seen.end
    if seen.broke(request.gateway, begin, end):
        return Excuse.BROKEN_IO
    if seen.killed(request.gateway, begin, end) and stop_before(seen.record, request) is None:
        return Excuse.KILLED
    if request.began is None and request.ended is None and begin + request.limit + NOT_YET_LATE > seen.end:
        return Excuse.RUN_ENDED
    return _unread(seen, request)


def _unread(seen: Seen, request: Request) -> Excuse | None:
    """Its connection ended before anybody read it: a resting one, or one for which there was no place."""
    if request.began is not None or request.ended is None or seen.attempts_of(request):
        return None
    if request.resent:
        return Excuse.CROSSED
    if stop_before(seen.record, request) is not None:
        return Excuse.CLOSING
    return Excuse.CROWDED if request.fresh and request.gateway in seen.record.crowded else None


def _told_when(seen: Seen, request: Request) -> Iterator[str]:
    """When to come back, only where the settings allow that, and no later than they do."""
    if request.retry_after is None:
        return
    bounds = seen.settings["bounds"]
    if not bounds["retryAfter"]:
        yield f"{request.name} ({request.status}) was told when to come back, which the settings don't allow"
    elif request.retry_after > seen.record.most_retry_after + ROUNDING:
        yield f"{request.name} ({request.status}) was told to come back in {request.retry_after} s"

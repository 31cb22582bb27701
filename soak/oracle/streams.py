"""Rule 1 for streams: all events of one worker's stream, unchanged, as they come, and its end as it is."""

from collections.abc import Iterator

from soak.oracle.excuses import Excuse
from soak.oracle.seen import Seen
from soak.records import Attempt, Request
from soak.stops import stop_before

STILL_WRITES = 1.0  # seconds; a worker that has written within them was cut off while its events arrived
END_LATE = 1.0  # seconds after its worker's end by which a stream's end is passed on
SILENT = 5.0  # seconds for which a client may be kept waiting after the last event
# Seconds for which a worker that pauses has to be waited for: what a client waits, less 0.3 s by which an event may
# come late and less what a gateway may be held up.
WORTH_WAITING = SILENT - 0.3 - 0.2
EVENT_LATE = 0.3  # seconds
LATE_PART, LATE_LEAST = 0.05, 5  # of all streams may have an event held back; and so many in a short run
SLOW_KIND = "slow"  # clients that take their streams slowly


def breaks(seen: Seen) -> Iterator[str]:
    """Of each stream by itself, and of all together."""
    streams = [one for one in seen.record.requests if one.status == 200]
    for request in streams:
        attempt = seen.serving(request)
        if attempt is None or attempt.departed is None:
            for fault in request.content:
                yield f"rule 1: {request.name} at {request.gateway}, stream of {request.served_by}: {fault}"
        if attempt is not None and attempt.request != request.name:
            yield f"rule 1: {request.name} got the stream of {attempt.request}"
        if attempt is None or request.left is not None:
            continue
        wrong = (
            _departed(seen, request, attempt)
            or _ended_early(request, attempt)
            or _ended_late(seen, request, attempt)
        )
        if wrong is None:
            continue
        if (excuse := _excuse(seen, request, attempt)) is not None:
            seen.excused[excuse] += 1
        else:
            departure = f" ({attempt.departure})" if attempt.departed is not None else ""
            yield f"rule 1: {request.name} at {request.gateway}: {wrong}{departure}"
    yield from _held_back(seen, streams)


def _departed(seen: Seen, request: Request, attempt: Attempt) -> str | None:
    """A stream that was sound up to a moment: what came before is passed on, and its end comes in time."""
    if attempt.departed is None or not attempt.events:
        return None
    if request.whole:
        return "its stream was told as whole though its worker's was not sound"
    if request.ended is not None and request.ended > seen.due(request.gateway, attempt.events[-1], SILENT):
        return f"it waited {request.ended - attempt.events[-1]:.2f} s after its worker's last sound event"
    if attempt.ended_there and len(request.events) < len(attempt.events):
        return f"{len(request.events)} of {len(attempt.events)} sound events came"
    return None


def _ended_early(request: Request, attempt: Attempt) -> str | None:
    if request.whole:
        return None
    if attempt.outcome == "streamed":
        return "its stream ended though its worker's did not"
    if attempt.cut_off and attempt.ended is not None:
        silent = attempt.ended - attempt.events[-1]
        if silent < (WORTH_WAITING if attempt.pausing else STILL_WRITES):
            return f"its stream was cut off {silent:.2f} s after its worker's last event"
    return None


def _ended_late(seen: Seen, request: Request, attempt: Attempt) -> str | None:
    if request.ended is None:
        return None
    if request.whole and attempt.outcome == "streamed" and attempt.ended is not None:
        in_time = request.ended <= seen.due(request.gateway, attempt.ended, END_LATE)
        return None if in_time else f"its end came {request.ended - attempt.ended:.2f} s late"
    last = request.last_event or request.began
    if last is None or request.ended <= seen.due(request.gateway, last, SILENT):
        return None
    return f"it waited {request.ended - last:.2f} s after its last event"


def _excuse(seen: Seen, request: Request, attempt: Attempt) -> Excuse | None:
    begin, end = request.sent or 0.0, request.ended if request.ended is not None else seen.end
    if seen.broke(request.gateway, begin, end):
        return Excuse.BROKEN_IO
    if seen.killed(request.gateway, begin, end) and stop_before(seen.record, request) is None:
        return Excuse.KILLED
    return Excuse.SLOW_CLIENT if request.kind == SLOW_KIND else None


def _held_back(seen: Seen, streams: list[Request]) -> Iterator[str]:
    """Events are forwarded as they come."""
    looked_at = [one for one in streams if one.kind != SLOW_KIND]
    held = [one for one in looked_at if _late(seen, one)]
    if len(held) > max(LATE_LEAST, LATE_PART * len(looked_at)):
        yield f"events held back in {len(held)} of {len(looked_at)} streams, as in {held[0].name}"


def _late(seen: Seen, request: Request) -> bool:
    """Whether one of its events came late."""
    attempt = seen.serving(request)
    written = attempt.events if attempt is not None else []
    return any(
        came > seen.due(request.gateway, at, EVENT_LATE)
        for at, came in zip(written, request.events, strict=False)
    )

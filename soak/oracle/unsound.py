"""Rule 1 for clients that send what is no request: an error or a close in time, and nothing served."""

from collections.abc import Iterator

from soak.oracle.seen import Seen
from soak.records import UnsoundRequest

OWED_WITHIN = 3.0  # seconds of connecting


def breaks(seen: Seen) -> Iterator[str]:
    """Of each by itself."""
    for request in seen.record.unsound_requests:
        wrong = _wrong(seen, request)
        if wrong is not None:
            yield f"rule 1: what is no request ({request.point}) at {request.gateway} {wrong}"


def _wrong(seen: Seen, request: UnsoundRequest) -> str | None:
    if request.status and request.status < 400:
        return f"was answered {request.status}"
    due = seen.due(request.gateway, request.connected, OWED_WITHIN)
    if seen.killed(request.gateway, request.connected, due) or seen.broke(
        request.gateway, request.connected, due
    ):
        return None
    if request.ended is None or request.ended > due:
        return f"got neither an error nor a close in {due - request.connected:.2f} s"
    return None

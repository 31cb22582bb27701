"""Rule 2, and the terms of each attempt: for whom, how often, unchanged, and with what deadline."""

import itertools
from collections.abc import Iterator, Mapping
from typing import Any

from soak.oracle.seen import Seen
from soak.records import Attempt, Request

LEFT_GRACE = 0.1  # after its client left
DEADLINE_SLACK = 0.15  # of the time that a worker is told
PAUSE_BEFORE = 4.0  # seconds before an attempt in which a pause may have held it up


def breaks(seen: Seen) -> Iterator[str]:
    """Of each request's attempts."""
    for name, attempts in seen.attempts.items():
        for attempt in attempts:
            if not attempt.unchanged:
                yield f"{attempt.worker} got {name} with another method, target or body than its client sent"
        if (request := seen.requests.get(name)) is not None:
            product = seen.classes[request.product]
            ran = [one for one in attempts if may_have_run(one)]
            yield from _once(seen, request, product, ran)
            yield from _refused(request, product, ran)
            yield from _out(seen, request, attempts)
            yield from _allowed(seen, request, attempts)
    yield from _came_again(seen)


def may_have_run(attempt: Attempt) -> bool:
    """Whether it may have had its effect."""
    return attempt.role == "writer" and attempt.whole is not None and attempt.outcome != "declined"


def _once(seen: Seen, request: Request, product: Mapping[str, Any], ran: list[Attempt]) -> Iterator[str]:
    if product["effect"] == "single_shot" and len(ran) > 1:
        yield f"rule 2: {request.name} ({request.product}) may have run {len(ran)} times"
    if product["effect"] != "guarded" or len(ran) < 2:
        return
    window = float(product["keyTtlMs"]) / 1000
    after = (ran[-1].whole or 0.0) - (ran[0].whole or 0.0)
    if after > window + seen.slack:
        yield f"rule 2: {request.name} was sent again {after:.2f} s after the first, window {window}"
    groups = {_group(seen, one, product["dedupScope"]) for one in ran}
    if len(groups) > 1:
        yield f"rule 2: {request.name} was sent again outside its {product['dedupScope']}: {sorted(groups)}"


def _came_again(seen: Seen) -> Iterator[str]:
    """An id whose stream had begun runs no second time, unless another process took the gateway's place."""
    for attempt in seen.again:
        request = seen.requests.get(attempt.request)
        if request is None or not may_have_run(attempt):
            continue
        if not seen.replaced(request.gateway, request.began or 0.0, attempt.began):
            yield f"rule 2: {request.name} came again and ran once more, at {attempt.worker}"


def _group(seen: Seen, attempt: Attempt, scope: str) -> tuple[str, ...]:
    """Workers that drop each other's repeats have the same."""
    zone, cell = seen.record.places[attempt.worker]
    return {"all": (), "zone": (zone,), "cell": (zone, str(cell))}[scope]


def _refused(request: Request, product: Mapping[str, Any], ran: list[Attempt]) -> Iterator[str]:
    """Trying again is harmless after 429 and 503."""
    harmless = product["effect"] == "free" or (
        product["effect"] == "guarded" and product["dedupScope"] == "all"
    )
    if ran and not harmless and request.status in (429, 503):
        yield f"rule 2: {request.name} ({request.product}) may have run and was refused"


def _out(seen: Seen, request: Request, attempts: list[Attempt]) -> Iterator[str]:
    """Never more out than the settings allow."""
    bounds = seen.settings["bounds"]
    made = sum(one.whole is not None for one in attempts)
    if made > bounds["maxAttempts"]:
        yield f"{request.name} had {made} attempts, {bounds['maxAttempts']} are allowed"
    if bounds["secondCopies"]:
        return
    for earlier, later in itertools.pairwise(attempts):
        over = earlier.ended if earlier.whole is not None else earlier.began
        if later.whole is not None and over is not None and later.whole < over - seen.slack:
            yield (
                f"rule 2: {request.name} was out twice for {over - later.whole:.2f} s, "
                f"at {earlier.worker} and {later.worker}"
            )


def _allowed(seen: Seen, request: Request, attempts: list[Attempt]) -> Iterator[str]:
    """An attempt begins for a client that is there, and is told no more time than that has left."""
    for attempt in attempts:
        paused = seen.paused(request.gateway, attempt.began - PAUSE_BEFORE, attempt.began)
        if request.left is not None and attempt.began > request.left + LEFT_GRACE + seen.slack + paused:
            yield f"rule 1: an attempt of {request.name} began {attempt.began - request.left:.2f} s after its client left"
        if request.sent is not None and attempt.whole is not None:
            left = request.sent + request.limit - attempt.whole
            more = DEADLINE_SLACK + seen.slack + paused
            if attempt.told_ms / 1000 > left + more:
                yield f"{attempt.worker} was told {attempt.told_ms} ms for {request.name}, with {left * 1000:.0f} left"

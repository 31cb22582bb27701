"""Gateways that stop themselves (SIGSTOP) between the look at their lease and the send of a call, where no test could strike
from outside. Somebody has to wake them (SIGCONT). Used by `stackpitch broken`; nothing else imports this.
"""

import os
import signal
from collections.abc import Callable
from functools import partial

from stackpitch import exchange
from stackpitch.loop import Coro, Stream
from stackpitch.wire import http


def stop_at(kind: str, nth: int, marked: bytes = b"") -> None:
    """Once, at the nth call of a kind to another gateway, of those that hold `marked`: connected, looked, and not a byte of
    it sent yet."""
    answered, count = exchange.round_trip, [0]

    def late(
        stream: Stream, request: bytes, max_head: int, max_body: int
    ) -> Coro[http.ResponseParser | None]:
        if b'"kind":"%b"' % kind.encode() in request and marked in request:
            count[0] += 1
            if count[0] == nth:
                os.kill(os.getpid(), signal.SIGSTOP)
        return (yield from answered(stream, request, max_head, max_body))

    exchange.round_trip = late


STOPS: dict[str, Callable[[], None]] = {
    **{
        f"stop-at-{kind}": partial(stop_at, kind, 1)
        for kind in ("write", "release", "lease", "grant", "service", "report", "verdict")
    },
    "stop-at-owner": partial(stop_at, "owner", 4),  # once all have been told that it owns the duty
    # By its number, not by how many calls went before: one that is not elected at once asks for its first lease again and
    # again, and would stop before it owns anything.
    "stop-at-renewal": partial(stop_at, "lease", 1, b'"renewal":3,'),
}

"""Calls to other gateways, each on a connection of its own and at most so many at once; to our own desk without one."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from stackpitch.duties.calls import (
    ANSWER_DECODER,
    ENCODER,
    FORMAT_VERSION,
    MAX_MESSAGE_BYTES,
    Answer,
    Call,
    Stamp,
    encode_body,
)
from stackpitch.duties.carrier.figures import Figures
from stackpitch.exchange import request_once
from stackpitch.loop import Coro, Semaphore, World
from stackpitch.wire import http

NO_TERM = Stamp()


class Posts:
    """`counts`: calls by kind and what became of them; as many entries as there are kinds."""

    def __init__(self, world: World, figures: Figures, here: Callable[[Call], Coro[Answer]]) -> None:
        self.world, self.figures, self.here = world, figures, here
        self.turns = Semaphore(world, figures.max_calls)
        self.counts: Counter[tuple[str, str]] = Counter()

    def send(
        self,
        number: int,
        duty: str,
        kind: str,
        stamp: Stamp = NO_TERM,
        body: Any = None,
        look: Callable[[], bool] = lambda: True,
    ) -> Coro[Answer | None]:
        """None if no answer came in time. `look`: taken right before the call leaves; False: it does not leave."""
        figures = self.figures
        call = Call(
            FORMAT_VERSION,
            figures.fleet,
            figures.number,
            number,
            duty,
            kind,
            stamp,
            body if isinstance(body, msgspec.Raw) else encode_body(body),
        )
        if number == figures.number:
            return (yield from self.here(call)) if look() else None
        request = http.request(
            "POST", "/duty", figures.fleet, ENCODER.encode(call), [("connection", "close")]
        )
        yield from self.turns.acquire()  # bounded by the calls before it, each of which ends within its limit
        try:
            if not look():
                return None
            reader = yield from request_once(
                self.world, figures.addresses[number], figures.call, request, MAX_MESSAGE_BYTES
            )
        finally:
            self.turns.release()
        answer = None
        if reader is not None and reader.status == 200:
            try:
                answer = ANSWER_DECODER.decode(b"".join(reader.pieces))
            except msgspec.DecodeError:
                pass
        self.counts[kind, "lost" if answer is None else "yes" if answer.yes else "no"] += 1
        return answer

"""Calls to other gateways, each on a connection of its own and at most so many at once; to our own receiver without one."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from stackpitch.duties.calls import ANSWER, ENCODER, FORM, LARGEST, Answer, Call, Stamp, raw
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.exchange import request_once
from stackpitch.loop import Coro, Semaphore, World
from stackpitch.wire import http

NO_TERM = Stamp()


class PeerCalls:
    """`counts`: calls by kind and what became of them; as many entries as there are kinds."""

    def __init__(self, world: World, config: DutiesConfig, here: Callable[[Call], Coro[Answer]]) -> None:
        self.world, self.config, self.here = world, config, here
        self.turns = Semaphore(world, config.max_calls)
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
        config = self.config
        call = Call(
            FORM,
            config.fleet,
            config.number,
            number,
            duty,
            kind,
            stamp,
            body if isinstance(body, msgspec.Raw) else raw(body),
        )
        if number == config.number:
            return (yield from self.here(call)) if look() else None
        request = http.request("POST", "/duty", config.fleet, ENCODER.encode(call), [("connection", "close")])
        yield from self.turns.acquire()  # bounded by the calls before it, each of which ends within its limit
        try:
            if not look():
                return None
            reader = yield from request_once(
                self.world, config.addresses[number], config.call_timeout, request, LARGEST
            )
        finally:
            self.turns.release()
        answer = None
        if reader is not None and reader.status == 200:
            try:
                answer = ANSWER.decode(b"".join(reader.pieces))
            except msgspec.DecodeError:
                pass
        self.counts[kind, "lost" if answer is None else "yes" if answer.yes else "no"] += 1
        return answer

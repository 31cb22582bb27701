"""Calls to other gateways: one connection per call, bounded concurrency; calls to this gateway stay local."""

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
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.exchange import request_once
from stackpitch.loop import Coro, Semaphore, World
from stackpitch.wire import http

NO_TERM = Stamp()


class PeerCalls:
    """Sends calls. `counts`: calls by kind and result (yes, no, lost); at most three entries per kind."""

    def __init__(
        self, world: World, config: DutiesConfig, handle_locally: Callable[[Call], Coro[Answer]]
    ) -> None:
        self.world, self.config, self.handle_locally = world, config, handle_locally
        self.slots = Semaphore(world, config.max_calls)
        self.counts: Counter[tuple[str, str]] = Counter()

    def send(
        self,
        number: int,
        duty: str,
        kind: str,
        stamp: Stamp = NO_TERM,
        body: Any = None,
        still_valid: Callable[[], bool] = lambda: True,
    ) -> Coro[Answer | None]:
        """Sends a call; returns None if no answer came in time or the call was not sent.

        `still_valid` is checked right before sending; if False, the call is not sent.
        """
        config = self.config
        call = Call(
            FORMAT_VERSION,
            config.fleet,
            config.number,
            number,
            duty,
            kind,
            stamp,
            body if isinstance(body, msgspec.Raw) else encode_body(body),
        )
        if number == config.number:
            return (yield from self.handle_locally(call)) if still_valid() else None
        request = http.request("POST", "/duty", config.fleet, ENCODER.encode(call), [("connection", "close")])
        yield from self.slots.acquire()  # each call in front of it ends within its timeout
        try:
            if not still_valid():
                return None
            reader = yield from request_once(
                self.world, config.addresses[number], config.call_timeout, request, MAX_MESSAGE_BYTES
            )
        finally:
            self.slots.release()
        answer = None
        if reader is not None and reader.status == 200:
            try:
                answer = ANSWER_DECODER.decode(b"".join(reader.pieces))
            except msgspec.DecodeError:
                pass
        self.counts[kind, "lost" if answer is None else "yes" if answer.yes else "no"] += 1
        return answer

"""What a client wants, and what one try has shown of it."""

from typing import Any

import msgspec

from stackpitch.loop import Time
from stackpitch.rehearse.clients.settings import ProductTraffic


class Turn:
    """One generation that a client wants, over all its tries."""

    def __init__(
        self,
        key: str,
        product: ProductTraffic,
        customer: str,
        session: str,
        messages: list[dict[str, str]],
        answer_tok: int,
        limit_ms: float,
    ) -> None:
        self.key, self.product, self.customer, self.session = key, product, customer, session
        self.messages, self.answer_tok, self.limit_ms = messages, answer_tok, limit_ms
        self.answer = ""
        self.fields: dict[str, Any] = {}  # of the body, beside those that every generation has
        self.headers: list[tuple[str, str]] = []


class Seen:
    """What one try has shown so far."""

    def __init__(self) -> None:
        self.first: Time | None = None
        self.words: list[str] = []
        self.status = self.errors = 0
        self.code: str | None = None
        self.done = False
        self.retry_after: Time = 0
        self.why = ""

    def event(self, data: bytes) -> None:
        if self.done or self.errors:
            raise ValueError("an event after the final one")
        if data == b"[DONE]":
            self.done = True
            return
        tree = msgspec.json.decode(data)
        if "error" in tree:
            self.errors += 1
            self.code = tree["error"]["code"]
            return
        for choice in tree["choices"]:
            self.words.append(choice["delta"]["content"])

    def check(self) -> None:
        if not self.done and not self.errors:
            raise ValueError("a stream that ends without [DONE] or an error event")

"""One leg at a stand-in engine, and what its prompt is as one text."""

from collections import deque
from typing import Any

from stackpitch.loop import Task, Time
from stackpitch.wire import engine


class Work:
    """One leg at this engine."""

    def __init__(
        self,
        key: str,
        leg: int,
        gateway: str,
        part: str,
        product: str,
        text: str,
        limit: int,
        transfer: engine.Transfer,
        chat: bool,
        now: Time,
    ) -> None:
        self.key, self.leg, self.gateway, self.part, self.product = key, leg, gateway, part, product
        self.text, self.limit, self.transfer, self.chat, self.came = text, limit, transfer, chat, now
        self.prompt_tok = max(1, len(text) // 4)
        self.kept = self.to_read = self.made = 0
        self.answer_tok = 0
        self.task: Task | None = None  # the connection's, woken by each step that made something for it
        self.tokens: deque[str] = deque()
        self.ready = self.over = self.fetched = False
        self.words: list[str] = []

    def held(self) -> int:
        return self.prompt_tok + self.made


def canonical(fields: dict[str, Any]) -> str:
    """A prompt as one text; an answer that follows it is added as an assistant's message."""
    if "messages" in fields:
        return "".join(f"{one.get('role')}\n{one.get('content')}\n" for one in fields["messages"])
    prompt = fields.get("prompt", "")
    return prompt if isinstance(prompt, str) else "".join(map(str, prompt))

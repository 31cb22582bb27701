"""Puts a streamed answer together for a client that asked for a whole one."""

from typing import Any

import msgspec

from stackpitch.wire.decoding import decode
from stackpitch.wire.sse import EventParser


class Collector:
    """Fed the body of a stream, gives the whole answer's body. Memory: the answer's text."""

    def __init__(self, chat: bool) -> None:
        self.chat, self.events = chat, EventParser()
        self.first: dict[str, Any] = {}
        self.parts: dict[int, list[str]] = {}
        self.reasons: dict[int, str | None] = {}
        self.usage: Any = None

    def feed(self, data: bytes) -> None:
        for one in self.events.feed(data):
            if one == b"[DONE]":
                continue
            try:
                event = decode(one)
            except msgspec.DecodeError:
                continue  # the engine's own remark; the stream's end tells whether the answer is whole
            if not isinstance(event, dict):
                continue
            self.first = self.first or event
            self.usage = event.get("usage") or self.usage
            for choice in event.get("choices") or []:
                index = choice.get("index", 0)
                text = (choice.get("delta") or {}).get("content") if self.chat else choice.get("text")
                self.parts.setdefault(index, []).append(text or "")
                self.reasons[index] = choice.get("finish_reason") or self.reasons.get(index)

    def result(self) -> bytes:
        choices: list[dict[str, Any]] = []
        for index in sorted(self.parts):
            text = "".join(self.parts[index])
            body = {"message": {"role": "assistant", "content": text}} if self.chat else {"text": text}
            choices.append({"index": index, **body, "finish_reason": self.reasons[index], "logprobs": None})
        return msgspec.json.encode(
            {
                "id": self.first.get("id", ""),
                "object": "chat.completion" if self.chat else "text_completion",
                "created": self.first.get("created", 0),
                "model": self.first.get("model", ""),
                "choices": choices,
                "usage": self.usage,
            }
        )

"""Assembles a streamed answer for a client that asked for one that is not streamed."""

from typing import Any

import msgspec

from stackpitch.wire.decoding import decode
from stackpitch.wire.sse import EventParser


class Collector:
    """Fed a stream's body, builds the body of the complete answer. Holds the answer's text in memory."""

    def __init__(self, chat: bool) -> None:
        self.chat, self.events = chat, EventParser()
        self.first: dict[str, Any] = {}
        self.texts: dict[int, list[str]] = {}  # by index of the choice
        self.finish_reasons: dict[int, str | None] = {}
        self.usage: Any = None

    def feed(self, data: bytes) -> None:
        """Takes the next bytes of the stream. Raises ValueError on an event over the parser's bound."""
        for event_data in self.events.feed(data):
            if event_data == b"[DONE]":
                continue
            try:
                event = decode(event_data)
            except msgspec.DecodeError:
                continue  # not JSON: skipped, as the end of the stream decides whether the answer is complete
            if not isinstance(event, dict):
                continue
            self.first = self.first or event
            self.usage = event.get("usage") or self.usage
            for choice in event.get("choices") or []:
                index = choice.get("index", 0)
                text = (choice.get("delta") or {}).get("content") if self.chat else choice.get("text")
                self.texts.setdefault(index, []).append(text or "")
                self.finish_reasons[index] = choice.get("finish_reason") or self.finish_reasons.get(index)

    def result(self) -> bytes:
        """The body of the answer from the events so far."""
        choices: list[dict[str, Any]] = []
        for index in sorted(self.texts):
            text = "".join(self.texts[index])
            body = {"message": {"role": "assistant", "content": text}} if self.chat else {"text": text}
            choices.append(
                {"index": index, **body, "finish_reason": self.finish_reasons[index], "logprobs": None}
            )
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

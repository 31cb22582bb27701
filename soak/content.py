"""Marks in the events of a stream, by which a client can tell whose they are and that none is missing, doubled or changed.

A worker writes `Marks.text` into each event. It names the request, the attempt and the event's number, and
has a check over these, the padding and all earlier events of the stream. `Checker` reads what a client got.
"""

import json
from dataclasses import dataclass
from random import Random
from zlib import crc32

from soak.event_forms import EventForms
from soak.event_reader import EventReader
from stackpitch.wire import sse

MOST_TOLD = 4  # faults of one answer
SIZES = (0, 0, 200, 4000)  # bytes of padding at most, one of them drawn for each event
LETTERS = "abcdefghijklmnopqrstuvwxyz"
STOP = b'{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}'


@dataclass(slots=True)
class Marks:
    """Those of one attempt, in order. `forms`: how its events are written; None: each as one line, and a blank one."""

    request: str
    attempt: str
    random: Random
    forms: EventForms | None = None
    number: int = 0
    check: int = 0

    def event(self) -> bytes:
        """The next event as it goes into the stream's body."""
        padding = "".join(self.random.choices(LETTERS, k=self.random.randint(0, self.random.choice(SIZES))))
        text = f"{self.request} {self.attempt} {self.number} {padding}"
        self.check = crc32(text.encode(), self.check)
        self.number += 1
        delta = {"content": f"{text} {self.check:08x}"}
        body = {"choices": [{"index": 0, "delta": delta, "finish_reason": None}]}
        return self._written(json.dumps(body).encode())

    def _written(self, data: bytes) -> bytes:
        return sse.event(data) if self.forms is None else self.forms.event(data)

    def last(self, report: str) -> bytes:
        """What ends the body: why it ends, usage, the end's word and a load report."""
        usage = {
            "prompt_tokens": 9,
            "completion_tokens": self.number,
            "prompt_tokens_details": {"cached_tokens": 7},
        }
        closing = json.dumps({"choices": [], "usage": usage}).encode()
        line = f": Srv-Load: {report}".encode()
        if self.forms is not None:
            return self.forms.end((STOP, closing, sse.DONE_DATA), line)
        return sse.event(STOP) + sse.event(closing) + sse.DONE + line + b"\n\n"


@dataclass(frozen=True, slots=True)
class Mark:
    """What one event says of itself."""

    request: str
    attempt: str
    number: int
    check: int
    said: int  # the check that the event has


def parsed(text: str, before: int) -> Mark:
    """`before`: the check of the event before. Raises ValueError."""
    body, _, said = text.rpartition(" ")
    request, attempt, number, _ = body.split(" ")
    return Mark(request, attempt, int(number), crc32(body.encode(), before), int(said, 16))


class Checker:
    """Reads one answer's stream. `wrong`: what is not as one worker wrote it for this request."""

    def __init__(self, request: str) -> None:
        self.request = request
        self.attempt = ""
        self.events, self.check = 0, 0
        self.ending_events = 0  # the reason why the stream ends, usage and the end's word
        self.stopped = self.usage = self.done = False
        self.reader = EventReader()
        self.wrong: list[str] = []

    def feed(self, data: bytes) -> int:
        """Takes a piece of the body; how many marked events were in it."""
        before = self.events
        for one in self.reader.feed(data):
            self._event(one.strip())
        return max(0, self.events - before)

    def end(self, whole: bool) -> None:
        """The answer has ended; `whole`: with its last chunk."""
        if whole and not (self.usage and self.done):
            self._note(f"it was told as whole, and ends after event {self.events}")
        if whole and self.reader.incomplete():
            self._note("an event that is not complete ends it")

    def _note(self, fault: str) -> None:
        if len(self.wrong) < MOST_TOLD:
            self.wrong.append(fault)

    def _event(self, data: bytes) -> None:
        if self.done:
            self._note(f"{data[:60]!r} follows the end")
        elif data == b"[DONE]":
            self.ending_events += 1
            self.done = True
        else:
            self._body(data)

    def _body(self, data: bytes) -> None:
        try:
            body = json.loads(data)
            if "usage" in body:
                self.ending_events += 1
                self._usage(body["usage"]["completion_tokens"])
                return
            choice = body["choices"][0]
            if choice["finish_reason"] == "stop":
                self.ending_events += 1
                self.stopped = True
            else:
                self._mark(choice["delta"]["content"])
        except (ValueError, LookupError, TypeError):
            self._note(f"{data[:60]!r} is no event that a worker wrote")

    def _usage(self, events: int) -> None:
        if self.usage or not self.stopped or events != self.events:
            self._note(f"its worker wrote {events} events, and {self.events} came")
        self.usage = True

    def _mark(self, text: str) -> None:
        mark = parsed(text, self.check)
        if mark.request != self.request:
            self._note(f"event {mark.number} of {mark.request} is in it")
        elif self.attempt not in ("", mark.attempt):
            self._note(f"event {mark.number} of {mark.attempt} follows one of {self.attempt}")
        elif mark.number != self.events or self.stopped:
            self._note(f"event {mark.number} came where {self.events} was next")
        elif mark.said != mark.check:
            self._note(f"event {mark.number} was changed")
        self.attempt, self.check = self.attempt or mark.attempt, mark.said
        self.events = mark.number + 1

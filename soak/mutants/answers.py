"""Mutants of rule 1: an answer that is missing, late, doubled, cut off, held back, or promises too much."""

from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

from soak.mutants.acting import Mutant, acted, every, patch
from stackpitch.gateway import leg as attempts
from stackpitch.gateway.stream_watch import StreamWatch
from stackpitch.loop import MS, SECOND, ConnectionLost, Time
from stackpitch.platform.leg import PlatformLeg
from stackpitch.platform.request import PlatformRequest
from stackpitch.wire import http
from stackpitch.wire.http import ResponseParser
from stackpitch.wire.platform_events import PlatformEvents

OWN_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
AFTER_TIME = 900 * MS  # over a request's time, at which a late refusal comes; half a second is granted
LATE_END = 1400 * MS  # one second is granted
IMPATIENCE = 1800 * MS
HELD_BACK = 800 * MS  # 0.3 s are granted
CUT_PIECE, RARE = 20, 9  # one in so many


def _write_later(client: Any, at: Time, data: bytes) -> bool:
    def write() -> None:
        with suppress(ConnectionLost):
            client.write(data)

    client.world.at(at, write)
    return True


def _close_instead(due: Callable[[], bool]) -> None:
    refuse = PlatformRequest.refuse

    def close(self: Any, *args: Any, **fields: Any) -> None:
        if self.answered or not due():
            refuse(self, *args, **fields)
            return
        acted()
        self.stream_cut = True
        self._mark_answered("refused")
        if self.client is not None:
            self.client.close()

    patch(PlatformRequest, "refuse", close)


def unanswered() -> None:
    """What is refused is closed with no answer."""
    _close_instead(lambda: True)


def unanswered_in_nine() -> None:
    """One refusal in nine is a close with no answer."""
    _close_instead(every(RARE))


def late_refusals() -> None:
    """Refusals come 0.9 s after the request's time."""
    refuse = PlatformRequest.refuse

    def late(self: Any, *args: Any, **fields: Any) -> None:
        client = self.client
        if client is not None and not self.answered:
            acted()
            at = self.gen.deadline + AFTER_TIME
            self._write = partial(_write_later, client, at)
        refuse(self, *args, **fields)

    patch(PlatformRequest, "refuse", late)


def second_answer() -> None:
    """An answer of its own follows a whole stream."""
    finish = PlatformRequest.finish

    def more(self: Any) -> None:
        finish(self)
        if self.client is not None:
            acted()
            self._write(OWN_ANSWER)

    patch(PlatformRequest, "finish", more)


def second_refusal() -> None:
    """Another answer follows one refusal in nine."""
    refuse, due = PlatformRequest.refuse, every(RARE)

    def more(self: Any, *args: Any, **fields: Any) -> None:
        answered = self.answered
        refuse(self, *args, **fields)
        if not answered and self.client is not None and due():
            acted()
            self._write(OWN_ANSWER)

    patch(PlatformRequest, "refuse", more)


def whole_though_broken() -> None:
    """A stream that broke ends for the client as if it were whole."""

    def end(self: Any, code: str, message: str) -> None:
        if not self.answered:
            acted()
        self.finish()

    patch(PlatformRequest, "fail_stream", end)


def cut_stream() -> None:
    """A stream is cut off at one piece in twenty, while its worker writes."""
    forward, due = PlatformRequest.forward, every(CUT_PIECE)

    def cut(self: Any, pieces: Any) -> bool:
        if not due():
            return forward(self, pieces)
        acted()
        self.fail_stream("cut", "")
        return False

    patch(PlatformRequest, "forward", cut)


def late_end() -> None:
    """The end of a stream is passed on 1.4 s late."""

    def late(self: Any) -> None:
        if self.answered:
            return
        self._mark_answered("streamed")
        if self.client is not None:
            acted()
            _write_later(self.client, self.client.world.now() + LATE_END, http.LAST_CHUNK)

    patch(PlatformRequest, "finish", late)


def _hold_back(held: Callable[[Any], bool]) -> None:
    more = attempts.LegRunner._read_more

    def late(self: Any, stream: Any, most: int = 65536) -> Any:
        if self.leg.streaming and held(self):
            acted()
            yield from self.host.world.sleep(HELD_BACK)
        yield from more(self, stream, most)

    patch(attempts.LegRunner, "_read_more", late)


def held_events() -> None:
    """What a stream brings is passed on 0.8 s later."""
    _hold_back(lambda run: True)


def held_events_in_three() -> None:
    """One piece in three is passed on 0.8 s later."""
    due = every(3)
    _hold_back(lambda run: due())


def silent_stream() -> None:
    """A stream whose worker has fallen silent is waited for without end."""

    def check(self: Any) -> None:
        due = self._last_output + self._limit
        if due > self._world.now():
            self._schedule(due)
        else:
            acted()

    patch(StreamWatch, "_check", check)


def comments_as_output() -> None:
    """Whatever completes a part of a stream keeps it open, comments too: the program of incident 72."""
    feed = PlatformEvents.feed

    def count(self: Any, pieces: Any) -> bytes:
        before = self.outputs
        complete: bytes = feed(self, pieces)
        if complete and self.outputs == before:
            acted()
            self.outputs += 1
        self.comments_in_a_row = 0
        return complete

    patch(PlatformEvents, "feed", count)


def unchecked_sizes() -> None:
    """A chunk may state any size until as much has come: the program of incident 75."""
    check = ResponseParser._check_open_chunk

    def unchecked(self: Any) -> None:
        pieces = list(self.pieces)
        try:
            check(self)
        except http.BadMessage:
            acted()
            self.pieces = pieces

    patch(ResponseParser, "_check_open_chunk", unchecked)


def blank_line_wanted() -> None:
    """A stream whose last line is a comment without a blank line behind it is cut: the program of the review's case 10."""
    track, finish = PlatformEvents._track, PlatformEvents.finish

    def remember(self: Any, part: Any) -> None:
        self.ends_in_comment = bool(part.comments) and part.data is None
        track(self, part)

    def strict(self: Any) -> bytes:
        rest = finish(self)
        if self.ends_in_comment or rest:
            acted()
            self.incomplete = True
        return rest

    patch(PlatformEvents, "_track", remember)
    patch(PlatformEvents, "finish", strict)


def dropped_events() -> None:
    """Events that come in one read with a spoilt part of their stream are not forwarded."""
    read = PlatformLeg._read_events

    def drop(self: Any, stream: Any, max_bytes: int) -> Any:
        events = yield from read(self, stream, max_bytes)
        if self.violation is None or not events:
            return events
        acted()
        return b""

    patch(PlatformLeg, "_read_events", drop)


def impatient_stream() -> None:
    """A stream is cut off once it has been silent for 1.8 s."""
    begin = StreamWatch.__init__

    def watch(self: Any, world: Any, stream: Any, limit: Time) -> None:
        begin(self, world, stream, min(limit, IMPATIENCE))

    check = StreamWatch._check

    def cut(self: Any) -> None:
        check(self)
        if self.expired:
            acted()

    patch(StreamWatch, "__init__", watch)
    patch(StreamWatch, "_check", cut)


def _retry_after(changed: Callable[[Time], Time]) -> None:
    refuse = PlatformRequest.refuse

    def refuse_else(
        self: Any, status: int, code: str, message: str, again: bool, retry_after: Time = 0
    ) -> None:
        if again and changed(retry_after) != retry_after and not self.answered:
            acted()
        refuse(self, status, code, message, again, changed(retry_after))

    patch(PlatformRequest, "refuse", refuse_else)


def long_retry_after() -> None:
    """Who is refused is told to come back two seconds later than the settings allow."""
    _retry_after(lambda after: after + 2 * SECOND)


def unasked_retry_after() -> None:
    """Who is refused is told when to come back where the settings don't allow that."""
    _retry_after(lambda after: after or 100 * MS)


def changed_body() -> None:
    """A byte of the request's body is another one in one attempt in nine."""
    request, due = PlatformLeg._build_request, every(RARE)

    def change(self: Any) -> bytes:
        data = request(self)
        if not due():
            return data
        acted()
        return data[:-1] + b" "

    patch(PlatformLeg, "_build_request", change)


MUTANTS = {
    "unanswered": Mutant("answer", unanswered),
    "unanswered-in-nine": Mutant("answer", unanswered_in_nine),
    "late-refusals": Mutant("answer-time", late_refusals),
    "second-answer": Mutant("nothing-after", second_answer),
    "second-refusal": Mutant("nothing-after", second_refusal),
    "whole-though-broken": Mutant("stream-end", whole_though_broken),
    "cut-stream": Mutant("stream-cut", cut_stream),
    "late-end": Mutant("stream-end-time", late_end),
    "held-events": Mutant("events-time", held_events),
    "held-events-in-three": Mutant("events-time", held_events_in_three),
    "silent-stream": Mutant("stream-silent", silent_stream),
    "comments-as-output": Mutant("stream-silent", comments_as_output),
    "unchecked-sizes": Mutant("stream-silent", unchecked_sizes),
    "blank-line-wanted": Mutant("stream-cut", blank_line_wanted),
    "dropped-events": Mutant("content", dropped_events),
    "impatient-stream": Mutant("stream-cut", impatient_stream),
    "long-retry-after": Mutant("retry-after", long_retry_after),
    "unasked-retry-after": Mutant("retry-after", unasked_retry_after),
    "changed-body": Mutant("request-unchanged", changed_body),
}

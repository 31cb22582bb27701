"""Writes a worker's streams, sound and not, as its modes have it."""

import asyncio
import itertools
import time
from random import Random
from typing import TYPE_CHECKING

from soak.content import Marks
from soak.event_forms import EventForms
from soak.link import Link
from soak.message_forms import StreamDepartures, chunk_header, framed
from soak.odd_answers import write_departure
from soak.records import Attempt
from stackpitch.wire import http

if TYPE_CHECKING:
    from soak.workers import Worker

GAP = 0.02  # seconds in the mean between two events
STREAM_HEAD = http.head(200, [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")])
MOST_SLOW_GAP = 4  # times the gap, of its streams
MOST_EVENTS = 12
LONG_PART, LONG_EVENTS = 0.15, (60, 100)  # of the streams; some two seconds
MOST_DEAF_EVENTS = 80  # of a stream that goes on while its worker takes nothing new
ODD_EVENTS_PART = 0.3  # of the streams have events in any form that the standard allows
SPLIT_PART = 0.3  # of the events come in chunks of their own parts
COMMENT = http.chunk(b": keep-alive\n\n")
COMMENTED_PART, PAUSED_PART = 0.3, 0.1  # of the events are followed by comments alone, or by a pause
COMMENTS_FOR = 60.0  # seconds, if nobody ends the stream
COMMENT_GAPS = (0.02, 0.25, 1.0, 3.0)  # seconds between two comments, one of them for each stream
PAUSES = (2.0, 3.9)  # seconds between two events, less than a client waits
DEPARTING_PART = 0.3  # of the events after which a stream departs from its form
ONE_CHUNK_PART, MOST_IN_ONE_CHUNK = 0.2, 12  # of the events are followed by some in one chunk; so many
MOST_BEFORE_ONE_CHUNK = 100  # events, so that a stream keeps to what it may have
CHUNK_PAUSES = (0.02, 0.1, 0.9)  # seconds between the events in one chunk: up to ten seconds for all
EARLY = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
LAST_CHUNKS = (http.LAST_CHUNK, b"000\r\n\r\n", b"0;a=b\r\n\r\n", b"0\r\na: b\r\nc: d\r\n\r\n")


def chunked(data: bytes, random: Random) -> bytes:
    """In one chunk, or in some that are cut anywhere."""
    if len(data) < 2 or random.random() > SPLIT_PART:
        return http.chunk(data)
    cuts = sorted({0, len(data), *(random.randint(1, len(data) - 1) for _ in range(random.randint(1, 4)))})
    return b"".join(http.chunk(data[begin:end]) for begin, end in itertools.pairwise(cuts))


class StreamWriter:
    """Writes the stream of one attempt."""

    def __init__(self, worker: "Worker", link: Link, attempt: Attempt) -> None:
        self.worker, self.link, self.attempt = worker, link, attempt
        self.modes, self.forms, self.quirks = worker.modes, worker.forms, worker.quirks
        self.marks = Marks(attempt.request, attempt.name, worker.marking, forms=self._drawn_forms())

    async def write(self, slow: bool) -> bytes | None:
        """Writes the events; returns what ends the stream, None if it does not come to its end."""
        worker, link = self.worker, self.link
        events = worker.random.randint(1, MOST_EVENTS)
        if worker.marking.random() < LONG_PART:
            events = worker.marking.randint(*LONG_EVENTS)
        head = self._early_answers() + STREAM_HEAD
        for number in itertools.count():
            if number >= (MOST_DEAF_EVENTS if worker.network.deaf else events):
                break
            if "break" in self.modes and worker.random.random() < 0.1:
                link.abort()
                return None
            if "hang-midway" in self.modes and worker.random.random() < 0.2:
                await asyncio.sleep(60)
            if not await link.write(head + self._framed(self.marks.event())):
                return None
            self.attempt.events.append(link.passed)
            head = b""
            if not await self._goes_on():
                return None
            await asyncio.sleep(worker.random.uniform(0.2, 2) * GAP * (MOST_SLOW_GAP if slow else 1))
        return self._framed(self.marks.last(worker.report())) + self._last_chunk()

    async def _goes_on(self) -> bool:
        """What follows an event, if anything does before the next; False if that was the stream's last one."""
        if "departs" in self.modes and self.forms.random() < DEPARTING_PART:
            await self._depart()
            return False
        if self._goes_on_in_one_chunk() and not await self._write_in_one_chunk():
            return False
        if "comments" in self.modes and self.quirks.random() < COMMENTED_PART:
            await self._write_comments()
            return False
        if "pauses" in self.modes and self.quirks.random() < PAUSED_PART:
            return await self._pause()
        return True

    def _drawn_forms(self) -> EventForms | None:
        events = self.worker.event_forms
        return EventForms(events) if "forms" in self.modes or events.random() < ODD_EVENTS_PART else None

    def _framed(self, data: bytes) -> bytes:
        if "forms" in self.modes:
            return framed(self.forms, data)
        return chunked(data, self.worker.marking)

    def _early_answers(self) -> bytes:
        return EARLY * self.forms.randint(0, 3) if "forms" in self.modes else b""

    def _last_chunk(self) -> bytes:
        return self.forms.choice(LAST_CHUNKS) if "forms" in self.modes else http.LAST_CHUNK

    async def _depart(self) -> None:
        """From here on the stream is not sound, and does not end by itself."""
        departure = StreamDepartures(
            self.forms, self.marks.event, self.marks.last(self.worker.report())
        ).draw()
        self.attempt.departed, self.attempt.departure = time.monotonic(), str(departure)
        if not await write_departure(self.link, departure):
            self.attempt.departed = None  # the network spoilt it

    def _goes_on_in_one_chunk(self) -> bool:
        allowed = "forms" in self.modes and self.marks.number < MOST_BEFORE_ONE_CHUNK
        return allowed and self.forms.random() < ONE_CHUNK_PART

    async def _write_in_one_chunk(self) -> bool:
        """Some events in a chunk whose size is stated before the first; False if one did not pass as it is."""
        events = [self.marks.event() for _ in range(self.forms.randint(2, MOST_IN_ONE_CHUNK))]
        before = chunk_header(self.forms, sum(map(len, events)))
        pause = self.forms.choice(CHUNK_PAUSES)
        for event in events:
            if not await self.link.write(before + event):
                return False
            self.attempt.events.append(self.link.passed)
            before = b""
            await asyncio.sleep(pause)
        return await self.link.write(b"\r\n")

    async def _write_comments(self) -> None:
        """Writes no event any more, and no last chunk; half of the streams have their `[DONE]` before."""
        end = http.chunk(self.marks.last(self.worker.report()))
        if self.quirks.random() < 0.5 and not await self.link.write(end):
            return
        gap = self.quirks.choice(COMMENT_GAPS)
        until = time.monotonic() + COMMENTS_FOR
        while time.monotonic() < until and await self.link.write(COMMENT):
            await asyncio.sleep(gap)

    async def _pause(self) -> bool:
        """Writes comments until its next event is due; False if one did not pass as it is."""
        self.attempt.pausing = True
        until = time.monotonic() + self.quirks.uniform(*PAUSES)
        gap = self.quirks.choice(COMMENT_GAPS)
        while (left := until - time.monotonic()) > 0:
            if not await self.link.write(COMMENT):
                return False
            await asyncio.sleep(min(gap, left))
        self.attempt.pausing = False
        return True

"""A stream that brings no event is ended in time, whatever else its worker writes; one whose events come is not cut."""

import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from crossing_clients import in_body
from crossing_gateway import RunningGateway, side_by_side
from crossing_workers import STREAM_END, STREAM_HEAD, Attempt, fleet
from platform_script import USAGE, event

from stackpitch.wire import http, sse

KEPT_WAITING = 5.0  # seconds after a worker's last event, within which its client's stream has to end
SOON = 0.3  # seconds between two parts of what is no event
COMMENT = http.chunk(b": keep-alive\n\n")
LOAD = http.chunk(b": Srv-Load: queue=1,util=0.5,x0=0.3\n\n")
DONE = http.chunk(sse.DONE)


@dataclass(frozen=True)
class NoEvent:
    """What a worker writes after its last event: `first`, then `part` again and again, `pause` seconds apart."""

    part: bytes
    first: bytes = b""
    pause: float = SOON


NO_EVENTS = {
    "nothing": NoEvent(b""),
    "comments": NoEvent(COMMENT),
    "a comment now and then": NoEvent(COMMENT, pause=2.5),
    "load reports": NoEvent(LOAD),
    "an event that never ends": NoEvent(http.chunk(b"data: x")),
    "a chunk that never ends": NoEvent(b"x" * 100, first=b"c0000000\r\ndata: "),
    "comments in a chunk that never ends": NoEvent(b": noise\n\n", first=b"c0000000\r\n"),
    "a chunk's head that never ends": NoEvent(b"a", first=b"5;"),
    "trailers that never end": NoEvent(b"a: b\r\n", first=USAGE + DONE + b"0\r\n"),
    "nothing after the end": NoEvent(b"", first=USAGE + DONE),
    "comments after the end": NoEvent(COMMENT, first=USAGE + DONE),
    "events after the end": NoEvent(event("late"), first=USAGE + DONE),
    "the end again and again": NoEvent(DONE, first=USAGE + DONE),
    "empty objects": NoEvent(http.chunk(b"data: {}\n\n")),
    "no choices": NoEvent(http.chunk(b'data: {"choices":[]}\n\n')),
    "usage again and again": NoEvent(USAGE),
}


def write_until(over: threading.Event, attempt: Attempt, what: NoEvent) -> None:
    while not over.wait(what.pause):
        attempt.send(what.part)


def brings_no_event(folder: Path, name: str) -> None:
    workers, what, over = fleet("r1", "w1*"), NO_EVENTS[name], threading.Event()
    with RunningGateway(folder, workers) as gateway:
        client = gateway.ask("order")
        attempt = workers[1].next(client.name)
        attempt.send(STREAM_HEAD + event("one"))
        time.sleep(SOON)
        attempt.send(event("two") + what.first)
        last_event = time.monotonic()
        writing = threading.Thread(target=write_until, args=(over, attempt, what), daemon=True)
        writing.start()
        try:
            answer = client.answer(KEPT_WAITING)
            waited = time.monotonic() - last_event
            assert waited < KEPT_WAITING, f"the client was kept waiting for {waited:.2f} s"
            assert (answer.status, answer.whole, answer.ending) == (200, False, "end")
            assert b"two" in answer.body
        finally:
            over.set()
            writing.join()
            attempt.close()


def test_a_stream_without_events_is_ended_though_its_worker_goes_on_writing(tmp_path: Path) -> None:
    """Guards against clients that wait on a stream that comments, or events without output, keep open."""
    side_by_side(brings_no_event, tmp_path, list(NO_EVENTS))


def test_a_process_that_stops_is_not_kept_by_a_stream_without_events(tmp_path: Path) -> None:
    workers, over = fleet("r1", "w1*"), threading.Event()
    with RunningGateway(tmp_path, workers) as gateway:
        client = gateway.ask("order")
        attempt = workers[1].next(client.name)
        attempt.send(STREAM_HEAD + event("one"))
        client.answer(until=in_body(b"one"))
        writing = threading.Thread(target=write_until, args=(over, attempt, NoEvent(COMMENT)), daemon=True)
        writing.start()
        gateway.signal(signal.SIGTERM)
        assert gateway.exit_code(KEPT_WAITING + SOON) == 0
        over.set()
        writing.join()


NO_BEGINNINGS = ("comments", "load reports", "empty objects", "no choices")
LIMIT_MS, ANSWER_LATE = 1500, 0.5


def brings_no_first_event(folder: Path, name: str) -> None:
    workers, what, over = fleet("r1", "w1*"), NO_EVENTS[name], threading.Event()
    with RunningGateway(folder, workers) as gateway:
        client = gateway.ask("order", LIMIT_MS)
        attempt = workers[1].next(client.name)
        attempt.send(STREAM_HEAD + what.part)
        writing = threading.Thread(target=write_until, args=(over, attempt, what), daemon=True)
        writing.start()
        try:
            answer = client.answer(LIMIT_MS / 1000 + ANSWER_LATE)
            assert (answer.status, answer.whole) == (502, True)
        finally:
            over.set()
            writing.join()
            attempt.close()


def test_what_is_no_output_begins_no_stream(tmp_path: Path) -> None:
    """Guards against a request whose time limit is lifted though its answer has not begun."""
    side_by_side(brings_no_first_event, tmp_path, NO_BEGINNINGS)


SlowStream = Callable[[Attempt], None]


def slow_events(attempt: Attempt) -> None:
    """Events come so seldom that a client almost gives up."""
    for word in ("one", "two", "three"):
        attempt.send(event(word))
        time.sleep(4.1)


def many_comments(attempt: Attempt) -> None:
    """Between slow events come more comments than the answer may have events."""
    for word in ("one", "two", "three"):
        attempt.send(event(word))
        for _ in range(150):
            attempt.send(COMMENT)
            time.sleep(0.02)


SLOW_STREAMS: dict[str, SlowStream] = {"slow events": slow_events, "many comments": many_comments}


def brings_events_slowly(folder: Path, name: str) -> None:
    workers = fleet("r1", "w1*")
    with RunningGateway(folder, workers) as gateway:
        client = gateway.ask("order")
        attempt = workers[1].next(client.name)
        attempt.send(STREAM_HEAD)
        SLOW_STREAMS[name](attempt)
        attempt.answer(STREAM_END)
        answer = client.answer()
        assert (answer.status, answer.whole, answer.ending) == (200, True, "open")
        assert all(word in answer.body for word in (b"one", b"two", b"three"))


def test_a_stream_whose_events_come_slowly_is_not_cut(tmp_path: Path) -> None:
    """Guards against long answers that are cut off while their worker still writes them."""
    side_by_side(brings_events_slowly, tmp_path, list(SLOW_STREAMS))

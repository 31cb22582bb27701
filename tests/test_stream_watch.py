"""When a stream without output is aborted."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from stackpitch.gateway.stream_watch import AFTER_PAUSE, LAST_READ, StreamWatch
from stackpitch.loop import SECOND, Time, Timer, Timers

LIMIT = 4 * SECOND


class Watched:
    """A stream that is watched, on a clock of its own. `aborted`: when it was."""

    def __init__(self) -> None:
        self.time: Time = 0
        self.timers, self.aborted = Timers(), list[Time]()
        world: Any = SimpleNamespace(now=lambda: self.time, at=self.at)
        stream: Any = SimpleNamespace(abort=lambda: self.aborted.append(self.time))
        self.watch = StreamWatch(world, stream, LIMIT)

    def at(self, when: Time, call: Callable[[], None]) -> Timer:
        return self.timers.at(when, call)

    def run_until(self, end: Time) -> None:
        while (when := self.timers.next()) is not None and when <= end:
            self.time = when
            call = self.timers.pop(when)
            assert call is not None
            call()
        self.time = end


def test_a_stream_is_aborted_once_its_limit_has_passed_since_the_last_output() -> None:
    one = Watched()
    one.run_until(SECOND)
    one.watch.record_output()
    one.run_until(9 * SECOND)
    assert one.aborted == [SECOND + LIMIT + LAST_READ] and one.watch.expired


def test_output_that_is_read_just_after_the_limit_saves_the_stream() -> None:
    """Guards against streams that are cut after a stop of the process, with their events in the socket."""
    one = Watched()
    one.run_until(LIMIT)
    one.watch.record_output()
    one.run_until(2 * LIMIT - 1)
    assert not one.aborted


def test_a_stream_that_waits_for_its_client_is_not_aborted_and_has_a_while_afterwards() -> None:
    one = Watched()
    one.watch.pause()
    one.run_until(3 * LIMIT)
    assert not one.aborted
    one.watch.resume()
    one.run_until(5 * LIMIT)
    assert one.aborted == [3 * LIMIT + AFTER_PAUSE + LAST_READ]

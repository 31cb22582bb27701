"""Ends a server's stream that brings no output for too long."""

from stackpitch.interface import MS, SECOND, Time
from stackpitch.loop import Stream, Timer, World

# After the limit: a process that was held up finds the time over before it has read what arrived meanwhile.
LAST_READ: Time = 10 * MS
# After a pause: a server that had to wait for the client first fills the connection again.
AFTER_PAUSE: Time = SECOND


class StreamWatch:
    """Aborts a stream once no output has come for `limit`.

    The caller tells what is output (`record_output`). Bytes alone are not: a server that has hung may go on
    writing comments. `expired`: the stream was aborted for that.
    """

    def __init__(self, world: World, stream: Stream, limit: Time) -> None:
        self._world, self._stream, self._limit = world, stream, limit
        self._last_output = world.now()
        self._read_once_more = False  # the limit is over, and what has arrived by then is being read
        self.expired = False
        self._timer: Timer = world.at(self._last_output + limit, self._check)

    def record_output(self) -> None:
        """Output has been read."""
        self._last_output = self._world.now()

    def silence(self) -> Time:
        """How long no output has come."""
        return self._world.now() - self._last_output

    def pause(self) -> None:
        """The stream is not read for now, as its client is slow."""
        self._timer.cancel()

    def resume(self) -> None:
        """The stream is read again."""
        earliest = self._world.now() + AFTER_PAUSE
        self._schedule(max(self._last_output + self._limit, earliest))

    def cancel(self) -> None:
        """The stream has ended."""
        self._timer.cancel()

    def _schedule(self, when: Time) -> None:
        self._read_once_more = False
        self._timer = self._world.at(when, self._check)

    def _check(self) -> None:
        due = self._last_output + self._limit
        if due > self._world.now():
            self._schedule(due)
        elif not self._read_once_more:
            self._schedule(self._world.now() + LAST_READ)
            self._read_once_more = True
        else:
            self.expired = True
            self._stream.abort()

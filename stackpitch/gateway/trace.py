"""What happened to one request, step by step, and why connections ended, for the log. Pure.

Each request carries its steps; those of requests that were not served are told, so many a second at most, with a count
of those that were left out. With `TRACE_ALL` in the environment all are told.
"""

from enum import StrEnum

from stackpitch.interface import SECOND, Generation, Time

TRACE_ALL = "RELAY_TRACE"  # set to `all` in the environment
MAX_LOGGED_PER_SECOND = (
    5  # requests a second; a rate of refusals that fills the log would cost what it tells of
)
SERVED = "streamed"


class Step(StrEnum):
    ARRIVED = "arrived"
    SEND = "send"  # the module chose a server
    WRITTEN = "written"  # the attempt's last byte has been handed over
    STARTED = "started"  # the client gets its stream
    ENDED = "ended"  # with the attempt's outcome and why
    FORBIDDEN = "forbidden"  # with act and reason
    CLIENT_LEFT = "client-left"
    RELEASING = "let-go"  # of whatever may be held, with the reason
    RELEASED = "released"  # by this worker, with how long it was held
    ANSWERED = "answered"  # with how


class Closing(StrEnum):
    """Why a client's connection ended."""

    CLIENT_ENDED = "client-ended"  # between requests, or before one was whole
    CLIENT_LEFT = "client-left"  # its request under way
    IDLE = "idle"  # no request in time
    EVICTED = "made-room"  # it rested, and others were to be let in, or the process stops
    OVER_LIMIT = "overfull"  # turned away as it came
    STOPPING = "stopping"  # its request came too late in a shutdown to be taken
    BAD_REQUEST = "bad-request"
    PIPELINED = "pipelined"  # more came before the answer was whole
    STREAM_CUT = "stream-cut"  # the worker's stream broke
    SLOW_CLIENT = "not-taken"  # the client took its answer too slowly
    LAST_RESPONSE = "last-answer"  # the client or this process wants no further request on it
    BROKEN = "broken"
    INTERNAL_ERROR = "raised"  # an error that nobody thought of


Steps = list[tuple[Time, Step, str]]


def format_steps(gen: Generation, steps: Steps) -> list[str]:
    """One line a step: milliseconds since its arrival, the step and what belongs to it."""
    return [f"{(at - gen.arrived) / 10:.1f} {step} {what}".strip() for at, step, what in steps]


class RequestLogLimiter:
    """Which requests are told of. `left_out`: of this second."""

    def __init__(self, log_all: bool = False) -> None:
        self.log_all = log_all
        self.second = 0
        self.told = self.left_out = 0

    def allows(self, now: Time, end: str) -> bool:
        if self.log_all:
            return True
        if end == SERVED:
            return False
        if now // SECOND != self.second:
            self.second, self.told = now // SECOND, 0
        if self.told >= MAX_LOGGED_PER_SECOND:
            self.left_out += 1
            return False
        self.told += 1
        return True

    def take_suppressed(self) -> int:
        found, self.left_out = self.left_out, 0
        return found

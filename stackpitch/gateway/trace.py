"""Traces of single requests, step by step, and the reasons why client connections ended. Pure.

Each request carries its steps. Those of requests that were not served are logged, up to a limit each second,
with the number that was suppressed. With `TRACE_ALL` in the environment all requests are logged.
"""

from enum import StrEnum

from stackpitch.interface import SECOND, Generation, Time

TRACE_ALL = "RELAY_TRACE"  # set to `all` in the environment
MAX_LOGGED_PER_SECOND = 5  # requests; a burst of refusals must not fill the log or take the time to write it
SERVED = "streamed"


class Step(StrEnum):
    """What happened to a request."""

    ARRIVED = "arrived"
    SEND = "send"  # the decision module chose a server
    WRITTEN = "written"  # the attempt's request has been written completely
    STARTED = "started"  # the client's stream started
    RELAYED = "relayed"  # the stream's end: what it brought, since when nothing, and the latest chunk
    ENDED = "ended"  # with the attempt's outcome and reason
    FORBIDDEN = "forbidden"  # an act was not permitted; with act and reason
    CLIENT_LEFT = "client-left"
    RELEASING = "let-go"  # the release of whatever may be held was requested; with the reason
    STILL_HELD = "still-held"  # an attempt ended that may have waited for KV state; with its server
    RELEASED = "released"  # with the server that released it and for how long it was held
    ANSWERED = "answered"  # with the kind of answer


class Closing(StrEnum):
    """Why a client's connection ended."""

    CLIENT_ENDED = "client-ended"  # between requests, or before one was complete
    CLIENT_LEFT = "client-left"  # with its request in progress
    IDLE = "idle"  # no request arrived in time
    EVICTED = "made-room"  # it was idle, and others needed its place or the process stops
    OVER_LIMIT = "overfull"  # refused when it was accepted
    STOPPING = "stopping"  # its request came too late in a shutdown to be accepted
    BAD_REQUEST = "bad-request"
    PIPELINED = "pipelined"  # more data came before the answer was complete
    STREAM_CUT = "stream-cut"  # the server's stream broke
    SLOW_CLIENT = "not-taken"  # the client read its answer too slowly
    LAST_RESPONSE = "last-answer"  # the client or this process wants no further request on it
    BROKEN = "broken"
    INTERNAL_ERROR = "raised"  # an unexpected exception


Steps = list[tuple[Time, Step, str]]


def format_steps(gen: Generation, steps: Steps) -> list[str]:
    """One line a step: milliseconds since the request's arrival, the step and its details."""
    return [f"{(at - gen.arrived) / 10:.1f} {step} {details}".strip() for at, step, details in steps]


class RequestLogLimiter:
    """Decides which requests are logged. `suppressed`: since it was last taken."""

    def __init__(self, log_all: bool = False) -> None:
        self.log_all = log_all
        self.second = 0
        self.logged = self.suppressed = 0

    def allows(self, now: Time, end: str) -> bool:
        """Whether a request that ended so is logged, and counts it."""
        if self.log_all:
            return True
        if end == SERVED:
            return False
        if now // SECOND != self.second:
            self.second, self.logged = now // SECOND, 0
        if self.logged >= MAX_LOGGED_PER_SECOND:
            self.suppressed += 1
            return False
        self.logged += 1
        return True

    def take_suppressed(self) -> int:
        """Returns the number of suppressed requests and resets it."""
        count, self.suppressed = self.suppressed, 0
        return count

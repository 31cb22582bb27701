"""Limits for legs and calls."""

from dataclasses import dataclass

from stackpitch.interface import MS, SECOND, Time

# Of a connection after a response, before the next request: a second response comes some milliseconds late.
CONNECTION_REST: Time = 60 * MS


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times in tenths of a millisecond, sizes in bytes."""

    pool: int  # connections to one server
    connect: Time
    idle: Time  # after which an unused connection is closed
    gap: Time  # without output of a stream, after which it is broken off
    call: Time  # for one call other than a leg
    release_tries: int
    max_head: int
    max_answer: int
    max_stated: int  # of an answer's length or one of its chunks, as they are stated
    buffer: int  # buffered for a client before its stream waits for it
    stall: Time  # after which a client that reads nothing is cut off
    watchdog: Time  # after the module's deadline for a request; then the host answers by itself
    request_level: int  # log level of the line per generation
    release: Time = SECOND // 2  # within which held KV state and reservations are used or released
    settle: Time = 0  # a connection is not reused for so long, so that stray bytes on it are noticed

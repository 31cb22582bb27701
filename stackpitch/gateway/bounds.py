"""What a leg and a call may take."""

from dataclasses import dataclass

from stackpitch.interface import SECOND, Time


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times in tenths of a millisecond, sizes in bytes."""

    pool: int
    connect: Time
    idle: Time
    gap: Time
    call: Time
    release_tries: int
    max_head: int
    max_answer: int
    buffer: int
    stall: Time
    watchdog: Time  # after a client's time is up for the module: then the host answers by itself
    request_level: int
    release: Time = SECOND // 2  # within which what is held is used or released
    settle: Time = 0  # a connection rests so long before it serves another leg

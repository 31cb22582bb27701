"""The form of a grant, and the clock it runs out by.

Only durations are trusted, up to `CLOCK_DRIFT_DIVISOR`. A receiver puts a reading of its own clock, the mark,
into all it says; a grant
brings the newest mark back, with the time since the owner heard it (`age`). The owner sent the grant no earlier than
`age` after the mark, so one that ends at mark + age + lasts on the receiver's clock ends, on the owner's, no later than
planned + lasts + the drift over age + lasts: whatever the network does to it, delay, repetition and reordering included,
and however long either side was stopped. The price is the way of one report, which is taken off the grant's life.
"""

from typing import Annotated

import msgspec

from stackpitch.duties.calls import Stamp
from stackpitch.loop import SECOND, Time

CLOCK_DRIFT_DIVISOR = 100  # one in so many: what two clocks may differ by in rate
MAX_GRANT_DURATION: Time = 10 * SECOND
MAX_MARK_AGE: Time = 3 * SECOND  # an older mark carries no grant: whoever sent it counts as gone


class Mark(msgspec.Struct, frozen=True):
    """A process (a number of its own, drawn when it starts) and its clock."""

    start: int
    at: Time


class Lane(msgspec.Struct, frozen=True, order=True):
    """One receiving process and one source. A lane runs one grant at a time: a newer one takes the older one's place.
    `part` 1 is what lower classes get as their least share, beside 0."""

    site: str
    gateway: int
    start: int
    source: str
    part: int = 0


class Grant(msgspec.Struct, frozen=True):
    """A rate of 0 stops the lane."""

    lane: Lane
    serial: Annotated[int, msgspec.Meta(ge=1)]  # rises within a term
    mark: Mark
    age: Annotated[Time, msgspec.Meta(ge=0, le=MAX_MARK_AGE)]
    lasts: Annotated[Time, msgspec.Meta(ge=0, le=MAX_GRANT_DURATION)]
    rate: Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]  # bytes a second
    model: str = ""
    version: str = ""
    pieces: Annotated[tuple[int, ...], msgspec.Meta(max_length=64)] = ()  # to be fetched in this order
    address: Annotated[str, msgspec.Meta(pattern=r"^(#\d{1,4}|[0-9.]{7,15}:\d{1,5})?\Z")] = (
        ""  # of the source; #: a gateway's
    )
    path: Annotated[str, msgspec.Meta(max_length=1024, pattern=r"^(/[!-~]*)?\Z")] = ""


def drift_allowance(age: Time, lasts: Time) -> Time:
    """What drift can make of a grant's end on the owner's clock."""
    return -(-(age + lasts) // CLOCK_DRIFT_DIVISOR)


def latest_end(planned: Time, grant: Grant) -> Time:
    """On the owner's clock: the receiver has surely stopped."""
    return planned + grant.lasts + drift_allowance(grant.age, grant.lasts)


def max_remaining_time(lasts: Time) -> Time:
    """After the end of a term, how long its grants may still run on the clock of the next owner."""
    return lasts + 2 * drift_allowance(MAX_MARK_AGE, lasts)


class Held(msgspec.Struct):
    """A grant at its receiver, and when it ends on the receiver's clock."""

    stamp: Stamp
    grant: Grant
    ends: Time

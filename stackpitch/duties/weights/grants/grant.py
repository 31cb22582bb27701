"""Grants of bandwidth to a receiver, and the clock by which they expire.

Clocks are never compared, only durations, and those only up to the drift of `CLOCK_DRIFT_DIVISOR`. A receiver puts a
reading of its own clock, the mark, into every report. A grant returns the newest mark together with the time since the
owner received it (`age`). The owner sent the grant no earlier than `age` after the mark. So a grant that ends at
mark + age + lasts on the receiver's clock ends, on the owner's clock, no later than planned + lasts + the drift over
age + lasts. That holds under delay, repetition and reordering of messages, and however long either process was
stopped. The cost: the transit time of one report is taken off the grant's lifetime.
"""

from typing import Annotated

import msgspec

from stackpitch.duties.calls import Stamp
from stackpitch.loop import SECOND, Time

CLOCK_DRIFT_DIVISOR = 100  # the rates of two clocks differ by at most 1 / CLOCK_DRIFT_DIVISOR
MAX_GRANT_DURATION: Time = 10 * SECOND
MAX_MARK_AGE: Time = 3 * SECOND  # no grant is made on an older mark: its sender counts as gone


class Mark(msgspec.Struct, frozen=True):
    """A reading of a process's clock. `start`: a random number that identifies the process."""

    start: int
    at: Time


class Lane(msgspec.Struct, frozen=True, order=True):
    """A receiving process paired with a source. A lane runs one grant at a time; a newer grant replaces the older.

    `part` 1 is a second lane of the same pair, for the minimum share of lower priority classes.
    """

    site: str
    gateway: int
    start: int
    source: str
    part: int = 0


class Grant(msgspec.Struct, frozen=True):
    """Permission to fetch pieces of one version in one lane. A rate of 0 stops the lane."""

    lane: Lane
    serial: Annotated[int, msgspec.Meta(ge=1)]  # increases within a term
    mark: Mark
    age: Annotated[Time, msgspec.Meta(ge=0, le=MAX_MARK_AGE)]
    lasts: Annotated[Time, msgspec.Meta(ge=0, le=MAX_GRANT_DURATION)]
    rate: Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]  # bytes a second
    model: str = ""
    version: str = ""
    pieces: Annotated[tuple[int, ...], msgspec.Meta(max_length=64)] = ()  # in the order of fetching
    # host:port of the source, or # and the number of a gateway.
    address: Annotated[str, msgspec.Meta(pattern=r"^(#\d{1,4}|[0-9.]{7,15}:\d{1,5})?\Z")] = ""
    path: Annotated[str, msgspec.Meta(max_length=1024, pattern=r"^(/[!-~]*)?\Z")] = ""


def drift_allowance(age: Time, lasts: Time) -> Time:
    """How much later a grant can end on the owner's clock because of clock drift."""
    return -(-(age + lasts) // CLOCK_DRIFT_DIVISOR)


def latest_end(planned: Time, grant: Grant) -> Time:
    """The time on the owner's clock by which the receiver has certainly stopped."""
    return planned + grant.lasts + drift_allowance(grant.age, grant.lasts)


def max_remaining_time(lasts: Time) -> Time:
    """How long the grants of an ended term may still run, on the clock of the next owner."""
    return lasts + 2 * drift_allowance(MAX_MARK_AGE, lasts)


class Held(msgspec.Struct):
    """A grant at its receiver, with its end on the receiver's clock."""

    stamp: Stamp
    grant: Grant
    ends: Time

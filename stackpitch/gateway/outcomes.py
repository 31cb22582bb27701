"""Maps how a leg ended on the wire to the decision module's outcomes, by `docs/design.md`. Pure.

In doubt a leg counts as having run. It provably did not run if the engine can't have received the
complete request (an engine runs nothing before the last byte of the declared length), or if the engine
says so with a refusal code.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Literal

from stackpitch.interface import Outcome
from stackpitch.wire.engine import NO_STATE, LegKind


class Phase(IntEnum):
    """How far a leg has come."""

    QUEUED = 0  # waits for a connection of the pool
    CONNECTING = 1
    WRITING = 2  # part of the request has not been passed to the kernel yet
    SENT = 3
    HEAD = 4  # the response head has arrived, nothing of its body
    STREAMING = 5


@dataclass(slots=True)
class LegEnd:
    """How a leg ended."""

    outcome: Outcome
    phase: Phase
    cached_tok: object = 0  # cached tokens as reported by the engine, unchecked
    no_state: bool = False  # there was no KV state to fetch
    report: str | None = None  # text of the load report
    why: str = ""


Failure = Literal["lost", "time-out", "garbled", "cancelled"]


def failure_outcome(phase: Phase, how: Failure) -> Outcome:
    """The outcome of a leg that ended without a complete response."""
    if phase is Phase.QUEUED or (phase <= Phase.WRITING and how == "cancelled"):
        return "not-sent"  # cancelled on this side, which says nothing about the server
    if phase <= Phase.WRITING:
        return "unreachable"
    if how == "cancelled":
        return "cancelled"
    if how == "time-out" and phase < Phase.STREAMING:
        return "time-out"
    return "error" if how == "garbled" else "reset"


def answer_outcome(part: LegKind, status: int, code: str | None, valid: bool) -> tuple[Outcome, bool]:
    """The outcome of a complete response, and whether there was no KV state to fetch.

    `code`: of a refusal. `valid`: the body is a well-formed one for this part.
    """
    if code is not None:
        return "full", code == NO_STATE
    if status != 200 or not valid:
        return "error", False
    return ("read" if part == "read" else "streamed"), False

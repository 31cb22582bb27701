"""What the real world's ends mean as outcomes of the module. Pure; `docs/design.md` states the rule.

When in doubt a leg may have run. It provably never ran if the engine can't have got the whole request (an engine
runs nothing before the last byte that its declared length tells), or if the engine says so by a refusal's code.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Literal

from stackpitch.interface import Outcome
from stackpitch.wire.engine import NO_STATE, LegKind


class Phase(IntEnum):
    """How far a leg has come."""

    QUEUED = 0  # no connection is free
    CONNECTING = 1
    WRITING = 2  # some of the request has not been handed to the system yet
    SENT = 3
    HEAD = 4  # the answer's head has come, nothing of its body
    STREAMING = 5


@dataclass(slots=True)
class LegEnd:
    """How a leg ended."""

    outcome: Outcome
    phase: Phase
    kept: object = 0  # tokens, as told
    no_state: bool = False
    report: str | None = None
    why: str = ""


Failure = Literal["lost", "time-out", "garbled", "cancelled"]


def failure_outcome(phase: Phase, how: Failure) -> Outcome:
    """The outcome of a leg that ended without a whole answer."""
    if phase is Phase.QUEUED or (phase <= Phase.WRITING and how == "cancelled"):
        return "not-sent"  # cancelled here: it says nothing of the server
    if phase <= Phase.WRITING:
        return "unreachable"
    if how == "cancelled":
        return "cancelled"
    if how == "time-out" and phase < Phase.STREAMING:
        return "time-out"
    return "error" if how == "garbled" else "reset"


def answer_outcome(part: LegKind, status: int, code: str | None, whole: bool) -> tuple[Outcome, bool]:
    """Outcome, and whether there was no state to fetch. `code`: of a refusal; `whole`: a good body of its kind."""
    if code is not None:
        return "full", code == NO_STATE
    if status != 200 or not whole:
        return "error", False
    return ("read" if part == "read" else "streamed"), False

"""O1 to O3 for one day."""

from dataclasses import dataclass

from stackpitch.loop import SECOND, Time
from stackpitch.rehearse.judging import acts, calm, fences, holds, lives, manned
from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules import Breach

FENCED, ALONE, MANNED = 11, 12, 13
NAMES = {FENCED: "O1", ALONE: "O2", MANNED: "O3"}
WORDS = {
    FENCED: "effects taken never go back in term",
    ALONE: "one owner at a time",
    MANNED: "an owner whenever a majority can talk",
}


@dataclass(frozen=True, slots=True)
class OwnerFigures:
    """`crash`: allowed without an owner while a majority can talk; `handover`: after SIGTERM."""

    voters: tuple[int, ...]
    gateways: int
    duties: tuple[str, ...]
    crash: Time = 4 * SECOND
    handover: Time = SECOND // 2


def judge_owners(records: list[Record], figures: OwnerFigures, names: dict[str, int]) -> list[Breach]:
    """`records` by time; `names`: of gateways, with their numbers."""
    calls, known = acts.read(records), lives.read(records, names)
    last = records[-1]["at"] if records else 0
    held = holds.read(calls, known, figures.voters)
    founded = calm.founded(records, known, figures.voters, last)
    able = calm.read(records, known, figures.voters, figures.gateways, last)
    return [
        *fences.out_of_order(calls, known, FENCED),
        *holds.overlapping(held, ALONE),
        *holds.without_a_lease(calls, held, known, ALONE),
        *manned.unmanned(
            figures.duties, held, able, known, founded, last, figures.crash, figures.handover, MANNED
        ),
    ]

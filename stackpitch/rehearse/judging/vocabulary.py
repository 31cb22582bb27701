"""V1 to V3 for one day."""

from stackpitch.rehearse.judging import agreed, meant, states
from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules import Breach

MEANT, STATES, AGREED = 31, 32, 33
NAMES = {MEANT: "V1", STATES: "V2", AGREED: "V3"}
WORDS = {
    MEANT: "token ids say what was meant",
    STATES: "no state of another vocabulary",
    AGREED: "the same verdict at all gateways",
}


def judge_vocabulary(records: list[Record]) -> list[Breach]:
    """`records` by time."""
    return [
        *meant.misread(records, MEANT),
        *states.across(records, STATES),
        *agreed.differing(records, AGREED),
    ]

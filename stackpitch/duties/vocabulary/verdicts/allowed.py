"""`allowed_token_ids`: nothing else is written."""

from stackpitch.duties.vocabulary.verdicts.case import Case
from stackpitch.duties.vocabulary.verdicts.ids import moved
from stackpitch.duties.vocabulary.verdicts.words import FieldVerdict, Finding, kept, lost

FIELD = "allowed_token_ids"


def judge(case: Case) -> list[FieldVerdict]:
    numbers, pair = case.given.allowed_token_ids, case.pair
    if numbers is None:
        return []
    into, wrong = moved(pair, numbers)
    left = [one for one in into if not case.after.stop((one,))]
    if not left:
        why = "none of them is in the new vocabulary" if not into else "those that are left are all banned"
        wrong.append(
            Finding(
                "contradictory",
                f"{len(numbers)} ids",
                "all that may be written",
                "nothing that may be written",
                why,
                f"name the tokens of {pair.new.name} that may be written",
            )
        )
    if wrong:
        return [lost(FIELD, wrong)]
    return [kept(FIELD, "same" if into == numbers else "renumbered", f"{len(into)} ids", into)]

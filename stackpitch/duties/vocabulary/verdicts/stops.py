"""`stop_token_ids`: the answer ends with the first of them."""

from stackpitch.duties.vocabulary.verdicts.case import Case
from stackpitch.duties.vocabulary.verdicts.ids import moved
from stackpitch.duties.vocabulary.verdicts.words import FieldVerdict, Finding, kept, lost

FIELD = "stop_token_ids"


def judge(case: Case) -> list[FieldVerdict]:
    numbers, pair = case.given.stop_token_ids, case.pair
    if numbers is None:
        return []
    into, wrong = moved(pair, numbers)
    for number in numbers:
        if (
            (fate := pair.fate(number)).exact
            and case.after.stop(fate.into)
            and not case.before.stop((number,))
        ):
            wrong.append(
                Finding(
                    "without effect",
                    f"id {number}",
                    f"an end of the answer, {pair.old.says(number)}",
                    f"{pair.new.says(fate.into[0])}, which is never written",
                    "another parameter bans it now",
                    "take the ban or the stop out",
                )
            )
    if wrong:
        return [lost(FIELD, wrong)]
    same = into == numbers
    return [kept(FIELD, "same" if same else "renumbered", f"{len(into)} ids", into)]

"""Ids that no profile holds, by the runs of exact ids that go with the verdicts. Bans are not among them: whether a ban
leaks is judged only for profiles."""

from bisect import bisect_right

from stackpitch.duties.vocabulary.acting.asked import numbers
from stackpitch.duties.vocabulary.parameters import BAN
from stackpitch.duties.vocabulary.verdicts.judge import Verdicts
from stackpitch.duties.vocabulary.verdicts.pair import Run
from stackpitch.duties.vocabulary.verdicts.words import Finding

LARGE = Run(1 << 40, 0, 0)


def exact(runs: tuple[Run, ...], number: int) -> int | None:
    place = bisect_right(runs, Run(number, LARGE.begin, 0)) - 1
    if place < 0 or number >= runs[place].begin + runs[place].count:
        return None
    return number + runs[place].shift


def translated(
    verdicts: Verdicts, field: str, value: object, names: tuple[str, str]
) -> tuple[object, Finding | None]:
    """The field for the new vocabulary, or what keeps it from it. `names` of the old and the new one."""
    old, new = names
    if field == "bad_words_ids" or (isinstance(value, dict) and any(one <= BAN for one in value.values())):
        return None, Finding(
            "leaking",
            f"{len(numbers(field, value))} ids",
            f"a ban in {old}",
            f"a ban that may not hold in {new}",
            "bans are carried over for profiles only, where each spelling is judged",
            f"write the ban for {new}, or put it into a profile",
        )
    there = {one: exact(verdicts.runs, one) for one in numbers(field, value)}
    for one, to in there.items():
        if to is None:
            return None, Finding(
                "gone",
                f"id {one}",
                f"token {one} of {old}",
                f"no token of {new} that is known to be the same",
                "it has no exact counterpart there",
                f"write the ids for {new}",
            )
    if isinstance(value, dict):
        found = {str(there[int(one)]): bias for one, bias in value.items()}
        if len(found) < len(value):
            return None, Finding(
                "contradictory",
                f"{len(value)} ids",
                f"tokens of {old}",
                f"{len(found)} tokens of {new}",
                "several ids are one token there",
                f"write the ids for {new}",
            )
        return found, None
    return list(dict.fromkeys(to for to in there.values() if to is not None)), None

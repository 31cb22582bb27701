"""`logit_bias`: by token id, added before sampling; from -100 down a ban."""

from stackpitch.duties.vocabulary.parameters import BAN
from stackpitch.duties.vocabulary.verdicts.bans import leaking
from stackpitch.duties.vocabulary.verdicts.case import Case
from stackpitch.duties.vocabulary.verdicts.ids import finding
from stackpitch.duties.vocabulary.verdicts.words import FieldVerdict, Finding, kept, lost

FIELD = "logit_bias"


def judge(case: Case) -> list[FieldVerdict]:
    pair, wrong, into = case.pair, list[Finding](), dict[int, tuple[int, float]]()
    if case.given.logit_bias is None:
        return []
    for number, value in case.bias.items():
        fate, named = pair.fate(number), f"id {number} with bias {value:g}"
        if not fate.exact:
            wrong.append(finding(pair, number, fate, named))
            continue
        there = fate.into[0]
        if there in into and into[there][1] != value:
            other = into[there]
            wrong.append(
                Finding(
                    "contradictory",
                    named,
                    pair.old.says(number),
                    pair.new.says(there),
                    f"id {other[0]} with bias {other[1]:g} is the same token now",
                    "keep one of the two",
                )
            )
        elif pair.new.role(there) == "special" and value > 0:
            wrong.append(
                Finding(
                    "without effect",
                    named,
                    pair.old.says(number),
                    pair.new.says(there),
                    "a special token that ends nothing is never written",
                    "take the id out",
                )
            )
        elif (
            value <= BAN
            and pair.old.role(number) == "ordinary"
            and (spelt := case.leaks(text := pair.old.text((number,))))
        ):
            wrong.append(leaking(pair, named, text, spelt))
        else:
            into[there] = number, value
    if wrong:
        return [lost(FIELD, wrong)]
    changed = sum(there != number for there, (number, _) in into.items())
    translated = {str(there): value for there, (_, value) in into.items()}
    return [
        kept(
            FIELD,
            "renumbered" if changed else "same",
            f"{changed} of {len(into)} ids have other numbers",
            translated,
        )
    ]

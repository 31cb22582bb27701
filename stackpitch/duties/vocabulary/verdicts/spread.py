"""`top_k`, `top_p`, `min_p`, `temperature`: how widely is sampled; only the first counts tokens."""

from stackpitch.duties.vocabulary.verdicts.case import Case
from stackpitch.duties.vocabulary.verdicts.words import FieldVerdict, Finding, kept, lost

SHARES = ("top_p", "min_p", "temperature")


def judge(case: Case) -> list[FieldVerdict]:
    old, new = case.pair.old, case.pair.new
    found = [
        kept(name, "same", f"speaks of probabilities, over {new.size} tokens in place of {old.size}", value)
        for name in SHARES
        if (value := getattr(case.given, name)) is not None
    ]
    top_k = case.given.top_k
    if top_k is None:
        return found
    if top_k >= new.size and top_k < old.size:
        wrong = Finding(
            "without effect",
            str(top_k),
            f"the likeliest {top_k} of {old.size} tokens",
            f"all {new.size} tokens",
            f"{new.name} has no more tokens than that",
            f"ask for fewer than {new.size}, or take it out",
        )
        return [*found, lost("top_k", [wrong])]
    off = (
        "off"
        if top_k <= 0
        else "never had an effect"
        if top_k >= old.size
        else f"of {new.size} tokens in place of {old.size}"
    )
    return [*found, kept("top_k", "same", off, top_k)]

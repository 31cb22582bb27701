"""A single token id of a field: what it meant, what it would mean now, what to do."""

from stackpitch.duties.vocabulary.verdicts.pair import Fate, Pair
from stackpitch.duties.vocabulary.verdicts.words import Finding


def finding(pair: Pair, number: int, fate: Fate | None = None, value: str = "") -> Finding:
    fate = fate or pair.fate(number)
    return Finding(
        fate.word,
        value or f"id {number}",
        pair.old.says(number),
        pair.new.says(number),
        fate.why,
        todo(pair, number, fate),
    )


def todo(pair: Pair, number: int, fate: Fate) -> str:
    if fate.word == "split":
        return f"name the tokens {list(fate.into)}, if each of them is meant wherever it stands, or take the id out"
    if fate.word == "another role" and pair.old.role(number) == "end" and pair.new.ends:
        return f"name the end of text of {pair.new.name}: {', '.join(map(str, sorted(pair.new.ends)[:4]))}"
    if fate.word == "merged":
        return "name the longer tokens that are meant, or take the id out"
    return f"take the id out, or name one of {pair.new.name}"


def moved(pair: Pair, numbers: list[int]) -> tuple[list[int], list[Finding]]:
    """Exact new ids without repeats, in order, and what is wrong with the others."""
    found: dict[int, None] = {}
    wrong: list[Finding] = []
    for number in numbers:
        fate = pair.fate(number)
        if fate.exact:
            found[fate.into[0]] = None
        else:
            wrong.append(finding(pair, number, fate))
    return list(found), wrong

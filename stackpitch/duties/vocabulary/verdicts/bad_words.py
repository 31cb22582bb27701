"""`bad_words_ids`: sequences that are never written. A text that is spelt otherwise now is banned as it is spelt now."""

from stackpitch.duties.vocabulary.verdicts.bans import leaking
from stackpitch.duties.vocabulary.verdicts.case import Case
from stackpitch.duties.vocabulary.verdicts.ids import finding
from stackpitch.duties.vocabulary.verdicts.words import FieldVerdict, Finding, Word, kept, lost, worst

FIELD = "bad_words_ids"


def judge(case: Case) -> list[FieldVerdict]:
    if case.given.bad_words_ids is None:
        return []
    pair, wrong, notes = case.pair, list[Finding](), list[Finding]()
    words, into = list[Word](), list[list[int]]()
    for each in case.given.bad_words_ids:
        old, value = tuple(each), f"ids {each}"
        new = case.words(old)
        text = pair.old.text(old)
        if not new:
            first = next((one for one in each if not pair.fate(one).exact), each[0])
            wrong.append(finding(pair, first, value=value))
        elif all(pair.old.role(one) == "ordinary" for one in old) and (spelt := case.leaks(text)):
            wrong.append(leaking(pair, value, text, spelt))
        else:
            into += [list(one) for one in new]
            words.append(_word(old, new))
            if words[-1] in ("split", "merged"):
                notes.append(
                    Finding(
                        words[-1],
                        value,
                        f"a ban of {text.decode('utf-8', 'backslashreplace')!r}",
                        f"the same, as {into[-len(new) :]}",
                        f"spelt with {len(new[-1])} tokens now",
                        "nothing",
                    )
                )
    if wrong:
        return [lost(FIELD, wrong)]
    return [kept(FIELD, worst(words), f"{len(into)} sequences, each as it is spelt now", into, tuple(notes))]


def _word(old: tuple[int, ...], new: tuple[tuple[int, ...], ...]) -> Word:
    if new == (old,):
        return "same"
    usual = new[-1]
    return "split" if len(usual) > len(old) else "merged" if len(usual) < len(old) else "renumbered"

"""`stop`: texts at which the answer ends. They hold no ids, but can name a special token, or what can't be written."""

from stackpitch.duties.vocabulary.catalogue.vocabulary import Vocabulary
from stackpitch.duties.vocabulary.verdicts.case import Case
from stackpitch.duties.vocabulary.verdicts.words import FieldVerdict, Finding, kept, lost

FIELD = "stop"


def judge(case: Case) -> list[FieldVerdict]:
    texts, pair, wrong = case.given.stop, case.pair, list[Finding]()
    for text in texts or ():
        raw, value = text.encode(), repr(text)
        was, now = raw in pair.old.named, raw in pair.new.named
        if was is not now:
            if now:
                wrong.append(
                    Finding(
                        "another role",
                        value,
                        "ordinary text",
                        "a special token",
                        "engines leave special tokens out of the text that stops are looked for in",
                        f"name it in stop_token_ids as {pair.new.named[raw]}",
                    )
                )
            else:
                wrong.append(
                    Finding(
                        "another role",
                        value,
                        "a special token",
                        "ordinary text",
                        "it is spelt with other tokens now",
                        "check that the model still writes it",
                    )
                )
        elif not was and _spelt(pair.old, raw) and not _spelt(pair.new, raw):
            wrong.append(
                Finding(
                    "without effect",
                    value,
                    "an end of the answer",
                    "a text that is never written",
                    f"{pair.new.name} can't spell it",
                    "take it out, or name another text",
                )
            )
    if wrong:
        return [lost(FIELD, wrong)]
    return [kept(FIELD, "same", "a text is the same in any vocabulary", texts)] if texts is not None else []


def _spelt(vocabulary: Vocabulary, raw: bytes) -> bool:
    return vocabulary.canonical(raw) is not None or vocabulary.canonical(b" " + raw) is not None

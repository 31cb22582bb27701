"""The words of a verdict, from harmless to worst, and the plain values that carry them."""

from typing import Any, Literal, get_args

import msgspec

Word = Literal[
    "same",
    "renumbered",
    "rescaled",
    "merged",
    "split",
    "without effect",
    "gone",
    "out of range",
    "another role",
    "contradictory",
    "leaking",
]
RANK: dict[Word, int] = {word: place for place, word in enumerate(get_args(Word))}
SHOWN = 8  # findings kept of one field


class Finding(msgspec.Struct, frozen=True):
    """One value that does not simply stay: what it meant, what it would mean now, why, and what to do."""

    word: Word
    value: str
    meant: str
    now: str
    why: str
    todo: str


class FieldVerdict(msgspec.Struct, frozen=True):
    """`translated`: the field as it is to be sent to an engine of the new vocabulary; counts only where nothing is lost."""

    field: str
    word: Word
    lost: bool
    reason: str
    translated: Any = None
    findings: tuple[Finding, ...] = ()
    more: int = 0  # findings beyond those shown


class ProfileVerdict(msgspec.Struct, frozen=True):
    name: str
    word: Word
    lost: bool
    fields: tuple[FieldVerdict, ...]

    def field(self, name: str) -> FieldVerdict | None:
        return next((one for one in self.fields if one.field == name), None)


def worst(words: list[Word]) -> Word:
    return max(words, key=RANK.__getitem__, default="same")


def kept(
    field: str, word: Word, reason: str, translated: Any, findings: tuple[Finding, ...] = ()
) -> FieldVerdict:
    """Its meaning is there, translated where it must be."""
    return FieldVerdict(
        field, word, False, reason, translated, findings[:SHOWN], max(0, len(findings) - SHOWN)
    )


def lost(field: str, findings: list[Finding]) -> FieldVerdict:
    """Worst first, so that the first one is what an answer names."""
    findings = sorted(findings, key=lambda one: -RANK[one.word])
    counts: dict[Word, int] = {}
    for one in findings:
        counts[one.word] = counts.get(one.word, 0) + 1
    reason = ", ".join(f"{count} {word}" for word, count in counts.items())
    return FieldVerdict(
        field, findings[0].word, True, reason, None, tuple(findings[:SHOWN]), max(0, len(findings) - SHOWN)
    )

"""Bans, and whether a banned text can now be spelt with other tokens.

A ban of a text held against some of its spellings. It leaks where the new vocabulary has a spelling that no translated ban
stops, and that the old one either did not have or stopped. Looked at: the text without its outer spaces, and with a space
before it; in the case that the profile has, no other; each also as it stands within a new, longer token.
"""

from collections.abc import Iterable

from stackpitch.duties.vocabulary.verdicts.pair import Pair
from stackpitch.duties.vocabulary.verdicts.words import SHOWN, Finding

LONGEST = 64  # bytes of a text of which more than the usual spelling is looked at


class Bans:
    """Sequences of ids of one vocabulary that must not be written."""

    def __init__(self, sequences: Iterable[tuple[int, ...]]) -> None:
        self.all = {one for one in sequences if one}
        self.singles = {one[0] for one in self.all if len(one) == 1}
        self.longer: dict[int, list[tuple[int, ...]]] = {}  # by first id
        for one in sorted(self.all):
            if len(one) > 1:
                self.longer.setdefault(one[0], []).append(one)

    def stop(self, spelt: tuple[int, ...]) -> bool:
        if not self.singles.isdisjoint(spelt):
            return True
        return any(
            spelt[at : at + len(ban)] == ban
            for at, first in enumerate(spelt)
            for ban in self.longer.get(first, ())
        )


def leaks(pair: Pair, before: Bans, after: Bans, text: bytes) -> list[tuple[int, ...]]:
    """New spellings that go past the bans."""
    core = text.strip(b" ") or text
    found: dict[tuple[int, ...], None] = {}
    for one in (core, b" " + core):
        was = pair.old.canonical(one)
        if was is None or not before.stop(was):
            continue  # it could be written before
        usual = pair.new.canonical(one)
        if usual is not None and not after.stop(usual):
            found[usual] = None
        if len(one) <= LONGEST:
            for spelt in pair.spelt(one):
                if not after.stop(spelt):
                    found[spelt] = None
    for number in pair.fresh.holding(core):
        was = pair.old.canonical(pair.new.pieces[number] or b"")
        if was is not None and before.stop(was) and not after.stop((number,)):
            found[number,] = None
    return list(found)


def leaking(pair: Pair, value: str, text: bytes, spelt: list[tuple[int, ...]]) -> Finding:
    shown = ", ".join(
        "+".join(repr(pair.new.text((one,)).decode("utf-8", "backslashreplace")) for one in each)
        for each in spelt[:SHOWN]
    )
    more = f" and {len(spelt) - SHOWN} more" if len(spelt) > SHOWN else ""
    ids = ", ".join(str(list(one)) for one in spelt[:SHOWN])
    return Finding(
        "leaking",
        value,
        f"a ban of the text {text.decode('utf-8', 'backslashreplace')!r}",
        f"a ban that can be gone round as {shown}{more}",
        f"{len(spelt)} spellings of {pair.new.name} are not banned",
        f"ban these as well in bad_words_ids: {ids}{more}",
    )

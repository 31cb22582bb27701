"""From one vocabulary to the next: where each id has gone. The table over all ids is made once, the rest when asked for."""

from bisect import bisect_right
from functools import cached_property
from itertools import islice

import msgspec

from stackpitch.duties.vocabulary.catalogue.vocabulary import Vocabulary
from stackpitch.duties.vocabulary.verdicts.spelling import spellings
from stackpitch.duties.vocabulary.verdicts.words import Word

KEPT = 100_000  # fates, and texts with their spellings, remembered; emptied when it is full
MOST = 64  # spellings looked at of one text, those with long first tokens first


class Fate(msgspec.Struct, frozen=True):
    """What became of an id. `into`: the new ids that spell the same; `exact`: one that is the same and has its role."""

    word: Word
    into: tuple[int, ...]
    why: str

    @property
    def exact(self) -> bool:
        return self.word in ("same", "renumbered")


class Run(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Old ids from `begin` on, so many, each exactly the id that is `shift` further on."""

    begin: int
    count: int
    shift: int


class Pair:
    def __init__(self, old: Vocabulary, new: Vocabulary) -> None:
        self.old, self.new = old, new
        self.fates: dict[int, Fate] = {}
        self.spellings: dict[bytes, tuple[tuple[int, ...], ...]] = {}

    @cached_property
    def table(self) -> list[int]:
        """New id by old id where it is exact, else -1."""
        old, new, found = self.old, self.new, [-1] * self.old.size
        for number, piece in enumerate(old.pieces):
            if piece is None:
                continue
            if number in old.specials:
                there = new.named.get(piece, -1)
                found[number] = there if there >= 0 and (there in new.ends) == (number in old.ends) else -1
            elif number < new.size and new.pieces[number] == piece and number not in new.specials:
                found[number] = number  # also where others have the same bytes
            else:
                found[number] = new.ordinary.get(piece, -1)
        return found

    @cached_property
    def runs(self) -> tuple[Run, ...]:
        found: list[Run] = []
        begin, shift = -1, 0
        for number, there in enumerate([*self.table, -1]):
            if begin >= 0 and (there < 0 or there - number != shift):
                found.append(Run(begin, number - begin, shift))
                begin = -1
            if there >= 0 and begin < 0:
                begin, shift = number, there - number
        return tuple(found)

    @cached_property
    def fresh(self) -> "Fresh":
        return Fresh(self.old, self.new)

    def spelt(self, text: bytes) -> tuple[tuple[int, ...], ...]:
        """Spellings of the new vocabulary that hold a new token."""
        if text not in self.spellings:
            if len(self.spellings) >= KEPT:
                self.spellings.clear()
            self.spellings[text] = tuple(islice(spellings(self.new, self.fresh.all, text), MOST))
        return self.spellings[text]

    def fate(self, number: int) -> Fate:
        found = self.fates.get(number)
        if found is None:
            if len(self.fates) >= KEPT:
                self.fates.clear()
            found = self.fates[number] = self._fate(number)
        return found

    def _fate(self, number: int) -> Fate:
        old, new = self.old, self.new
        role = old.role(number)
        if role == "none":
            return Fate("out of range", (), f"no token of {old.name} has the id")
        there = self.table[number]
        if there >= 0:
            return Fate("same" if there == number else "renumbered", (there,), "")
        piece = old.pieces[number] or b""
        if role in ("end", "special"):
            return self._role(number, piece, role)
        if piece in new.named:
            return Fate("another role", (), f"the text is now the special token {new.named[piece]}")
        into = new.canonical(piece)
        if into is not None and len(into) > 1:
            return Fate("split", into, f"it is spelt with {len(into)} tokens now")
        longer = self.fresh.holding(piece)
        if longer:
            return Fate("merged", (), f"it is only there within longer tokens now, as {new.says(longer[0])}")
        if number >= new.size:
            return Fate("out of range", (), f"ids of {new.name} go up to {new.size - 1}")
        return Fate("gone", (), f"{new.name} can't spell it")

    def _role(self, number: int, piece: bytes, role: str) -> Fate:
        new, word = self.new, "end of text" if role == "end" else "special token"
        there = new.named.get(piece)
        if there is not None:
            turned = "ends a text now" if there in new.ends else "ends no text now"
            return Fate("another role", (), f"the same token, {there}, {turned}")
        if new.role(number) == "ordinary" or piece in new.ordinary:
            ends = ", ".join(f"{one} ({new.says(one)})" for one in sorted(new.ends)[:4])
            return Fate(
                "another role",
                (),
                f"the {word} is ordinary text now; {new.name} ends with {ends or 'no known token'}",
            )
        if number >= new.size:
            return Fate("out of range", (), f"ids of {new.name} go up to {new.size - 1}")
        return Fate("gone", (), f"{new.name} has no such {word}")


class Fresh:
    """Ordinary tokens whose bytes are new, searched for a part. The bytes lie one after the other between marks, so that
    one search over all of them finds a part."""

    MARK = b"\xff\xfe\xff"  # in no text; a token that has it is found still, at worst looked at for nothing

    def __init__(self, old: Vocabulary, new: Vocabulary) -> None:
        self.new = new
        self.ids = sorted(number for piece, number in new.ordinary.items() if piece not in old.ordinary)
        self.all = frozenset(self.ids)
        self.starts: list[int] = []
        parts, at = [], 0
        for number in self.ids:
            piece = new.pieces[number] or b""
            self.starts.append(at)
            parts.append(piece)
            at += len(piece) + len(self.MARK)
        self.joined = self.MARK.join(parts)
        self.found: dict[bytes, tuple[int, ...]] = {}  # by part; emptied when it is full

    def holding(self, part: bytes, most: int = 64) -> tuple[int, ...]:
        """Ids of those that hold the part, in order, so many at most."""
        if not part:
            return ()
        if part not in self.found:
            if len(self.found) >= KEPT:
                self.found.clear()
            self.found[part] = self._holding(part, most)
        return self.found[part]

    def _holding(self, part: bytes, most: int) -> tuple[int, ...]:
        found: list[int] = []
        at = self.joined.find(part)
        while at >= 0 and len(found) < most:
            place = bisect_right(self.starts, at) - 1
            number = self.ids[place]
            if part in (self.new.pieces[number] or b""):
                found.append(number)
            following = self.starts[place + 1] if place + 1 < len(self.starts) else len(self.joined)
            at = self.joined.find(part, following)
        return tuple(found)

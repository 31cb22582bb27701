"""One vocabulary: what each id stands for, and how a text is spelt with it. No I/O; the encoder is handed in."""

from collections.abc import Callable
from functools import cached_property
from typing import Literal

Role = Literal["ordinary", "special", "end", "none"]  # "none": no token has the id
KEPT = 100_000  # spellings remembered; emptied when it is full


class Vocabulary:
    """`pieces`: bytes by id, None where no token has it. Ids are whole numbers from 0 up to `size`."""

    def __init__(
        self,
        digest: str,
        name: str,
        pieces: list[bytes | None],
        specials: frozenset[int],
        ends: frozenset[int],
        encode: Callable[[str], list[int]],
    ) -> None:
        self.digest, self.name, self.pieces, self.encode = digest, name, pieces, encode
        self.specials, self.ends = specials | ends, ends
        self.size = len(pieces)
        self.spelt: dict[bytes, tuple[int, ...] | None] = {}

    @cached_property
    def ordinary(self) -> dict[bytes, int]:
        """Id by bytes of ordinary tokens; the lowest where several have them."""
        found: dict[bytes, int] = {}
        for number, piece in enumerate(self.pieces):
            if piece is not None and number not in self.specials:
                found.setdefault(piece, number)
        return found

    @cached_property
    def named(self) -> dict[bytes, int]:
        """Id by content of special tokens."""
        return {
            piece: one
            for one in sorted(self.specials, reverse=True)
            if (piece := self.pieces[one]) is not None
        }

    @cached_property
    def longest(self) -> int:
        return max(map(len, self.ordinary), default=0)

    def role(self, number: int) -> Role:
        if not 0 <= number < self.size or self.pieces[number] is None:
            return "none"
        return "end" if number in self.ends else "special" if number in self.specials else "ordinary"

    def says(self, number: int) -> str:
        """For people: what an id is."""
        role = self.role(number)
        if role == "none":
            return (
                f"nothing (ids go up to {self.size - 1})"
                if number >= self.size
                else "nothing (no token has the id)"
            )
        text = repr((self.pieces[number] or b"").decode("utf-8", "backslashreplace")[:80])
        return {
            "ordinary": f"the text {text}",
            "special": f"the special token {text}",
            "end": f"the end of text {text}",
        }[role]

    def text(self, numbers: tuple[int, ...]) -> bytes:
        return b"".join(self.pieces[one] or b"" for one in numbers if 0 <= one < self.size)

    def canonical(self, text: bytes) -> tuple[int, ...] | None:
        """How the encoder spells it, else the fewest tokens that do; None if none can."""
        if text not in self.spelt:
            if len(self.spelt) >= KEPT:
                self.spelt.clear()
            self.spelt[text] = self._encoded(text) or self._fewest(text)
        return self.spelt[text]

    def _encoded(self, text: bytes) -> tuple[int, ...] | None:
        """Some encoders put a space before the first word by themselves, so it is tried without one as well."""
        try:
            plain = text.decode()
        except UnicodeDecodeError:
            return None
        for tried in (plain, plain[1:]) if plain.startswith(" ") else (plain,):
            found = tuple(self.encode(tried))
            if found and not self.specials.intersection(found) and self.text(found) == text:
                return found
        return None

    def _fewest(self, text: bytes) -> tuple[int, ...] | None:
        best: list[tuple[int, ...] | None] = [(), *[None] * len(text)]
        for end in range(1, len(text) + 1):
            for begin in range(max(0, end - self.longest), end):
                before, number = best[begin], self.ordinary.get(text[begin:end])
                if before is not None and number is not None:
                    found = (*before, number)
                    here = best[end]
                    if here is None or (len(found), found) < (len(here), here):
                        best[end] = found
        return best[-1]

"""How many tokens of the new vocabulary a text has for each of the old, measured on sample texts. Whole numbers only, so
that every gateway comes to the same."""

import msgspec

from stackpitch.duties.vocabulary.catalogue.vocabulary import Vocabulary
from stackpitch.duties.vocabulary.errors import SamplesTooFew

LEAST = 100  # tokens of the samples in the old vocabulary


class Ratio(msgspec.Struct, frozen=True):
    old: int = 1
    new: int = 1

    def scaled(self, tokens: int) -> int:
        """Rounded up: an answer that fitted fits still."""
        return -(-tokens * self.new // self.old)

    def text(self) -> str:
        return f"{self.new} tokens for {self.old} of the old, times {self.new / self.old:.3f}"


def measured(old: Vocabulary, new: Vocabulary, samples: list[str]) -> Ratio:
    """Raises SamplesTooFew."""
    before, after = (sum(len(one.encode(text)) for text in samples) for one in (old, new))
    if before < LEAST or after < 1:
        raise SamplesTooFew(before, LEAST)
    return Ratio(before, after)

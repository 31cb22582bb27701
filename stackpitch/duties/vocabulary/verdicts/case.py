"""What the modules for the kinds of parameters judge by: one profile's parameters, and bans in both vocabularies."""

from functools import cached_property

from stackpitch.duties.vocabulary.parameters import BAN, Parameters
from stackpitch.duties.vocabulary.verdicts.bans import Bans, leaks
from stackpitch.duties.vocabulary.verdicts.pair import Pair
from stackpitch.duties.vocabulary.verdicts.ratio import Ratio


class Case:
    def __init__(self, pair: Pair, ratio: Ratio, given: Parameters) -> None:
        self.pair, self.ratio, self.given = pair, ratio, given

    @cached_property
    def bias(self) -> dict[int, float]:
        return {int(number): value for number, value in (self.given.logit_bias or {}).items()}

    @cached_property
    def banned(self) -> list[int]:
        return [number for number, value in self.bias.items() if value <= BAN]

    @cached_property
    def before(self) -> Bans:
        return Bans([*((one,) for one in self.banned), *map(tuple, self.given.bad_words_ids or [])])

    @cached_property
    def after(self) -> Bans:
        """As they would be sent: single ids where they are exact, sequences as they are spelt now."""
        singles = [fate.into for one in self.banned if (fate := self.pair.fate(one)).exact]
        return Bans(
            [*singles, *(one for each in self.given.bad_words_ids or [] for one in self.words(tuple(each)))]
        )

    @cached_property
    def may(self) -> set[int] | None:
        """Ids of the new vocabulary that may be written at all; None: every one."""
        if self.given.allowed_token_ids is None:
            return None
        return {fate.into[0] for one in self.given.allowed_token_ids if (fate := self.pair.fate(one)).exact}

    def words(self, sequence: tuple[int, ...]) -> tuple[tuple[int, ...], ...]:
        """A banned sequence in the new vocabulary: id by id where each is exact, and as its text is spelt now if this
        was the spelling that it had. None of both: it can't be banned any more."""
        fates = [self.pair.fate(one) for one in sequence]
        exact = tuple(one.into[0] for one in fates if one.exact)
        found = [exact] if len(exact) == len(sequence) else []
        if all(self.pair.old.role(one) == "ordinary" for one in sequence):
            text = self.pair.old.text(sequence)
            if not found or self.pair.old.canonical(text) == sequence:
                usual = self.pair.new.canonical(text)
                found += [usual] if usual is not None and usual not in found else []
        return tuple(found)

    def leaks(self, text: bytes) -> list[tuple[int, ...]]:
        """Spellings that go past the bans, of tokens that may be written."""
        found = leaks(self.pair, self.before, self.after, text)
        return [one for one in found if self.may is None or self.may.issuperset(one)]

"""Ways to spell a text with at least one token that is new. Spellings of old tokens alone are as open, or as banned, as they
were: their bans are translated id by id."""

from collections.abc import Iterator, Set

from stackpitch.duties.vocabulary.catalogue.vocabulary import Vocabulary


def spellings(new: Vocabulary, fresh: Set[int], text: bytes) -> Iterator[tuple[int, ...]]:
    """Those with long first tokens first. Their number can double with each byte: take a few."""
    size = len(text)
    steps: list[list[tuple[int, int]]] = [
        [] for _ in range(size)
    ]  # from each place: token and where it ends, longest first
    ends, ends_fresh = (
        [False] * size + [True],
        [False] * (size + 1),
    )  # reached from there at all; with a new token
    for begin in range(size - 1, -1, -1):
        for end in range(min(size, begin + new.longest), begin, -1):
            number = new.ordinary.get(text[begin:end])
            if number is not None and ends[end]:
                steps[begin].append((number, end))
                ends[begin] = True
                ends_fresh[begin] = ends_fresh[begin] or ends_fresh[end] or number in fresh

    def onward(begin: int, had: bool) -> Iterator[tuple[int, ...]]:
        if begin == size:
            yield ()
            return
        for number, end in steps[begin]:
            if had or number in fresh or ends_fresh[end]:
                for rest in onward(end, had or number in fresh):
                    yield (number, *rest)

    return onward(0, False) if ends_fresh[0] else iter(())

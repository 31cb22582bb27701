"""What a client of the soak notices in a stream's content, and that the soak's tables are whole."""

import re
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest

from soak.content import Checker, Marks
from soak.mutants import MUTANTS
from soak.oracle.excuses import GRANTED_BY, Excuse
from soak.plan import SLOW_DISCOVERY, drawn

PROMISES = Path(__file__).parent.parent / "docs" / "promises.md"
Pieces = list[bytes]


def stream(request: str = "a1", attempt: str = "w1-1", events: int = 5) -> Pieces:
    marks = Marks(request, attempt, Random(1))
    return [*(marks.event() for _ in range(events)), marks.last("queue=0")]


def found(pieces: Pieces, whole: bool = True) -> list[str]:
    checker = Checker("a1")
    for piece in pieces:
        checker.feed(piece)
    checker.end(whole)
    return checker.wrong


def cut_anywhere(pieces: Pieces) -> Pieces:
    data, random = b"".join(pieces), Random(2)
    cuts = sorted(random.sample(range(len(data)), 40))
    return [data[begin:end] for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True)]


def test_what_a_worker_wrote_is_good_however_it_is_cut() -> None:
    assert not found(stream()) and not found(cut_anywhere(stream()))
    assert not found(stream()[:3], whole=False)
    checker = Checker("a1")
    assert [checker.feed(piece) for piece in stream()] == [1, 1, 1, 1, 1, 0]


@pytest.mark.parametrize(
    ("change", "told"),
    [
        (lambda good: good[:2] + good[3:], "event 3 came where 2 was next"),
        (lambda good: good[:2] + good[1:], "event 1 came where 2 was next"),
        (lambda good: [good[1], good[0], *good[2:]], "event 1 came where 0 was next"),
        (lambda good: [*good[:2], stream("b2")[2], *good[2:]], "event 2 of b2 is in it"),
        (lambda good: [*good[:2], *stream(attempt="w2-1")[2:]], "event 2 of w2-1 follows one of w1-1"),
        (lambda good: [good[0], good[1].replace(b"w1-1 1 ", b"w1-1 1 x"), *good[2:]], "event 1 was changed"),
        (lambda good: [*good[:4], good[5]], "its worker wrote 5 events, and 4 came"),
        (lambda good: good[:5], "it was told as whole, and ends after event 5"),
        (lambda good: [*good, b'data: {"choices":[]}\n\n'], "follows the end"),
        (lambda good: [*good, b"data: half"], "ends it"),
        (lambda good: [*good[:2], b"data: <html>\n\n", *good[2:]], "is no event that a worker wrote"),
    ],
)
def test_what_is_not_as_it_was_written_is_told(change: Callable[[Pieces], Pieces], told: str) -> None:
    assert any(told in one for one in found(change(stream())))


def test_each_excuse_has_its_sentence_and_each_mutant_its_term() -> None:
    """And the table of terms names all mutants, and none that is not there."""
    assert set(GRANTED_BY) == set(Excuse)
    text = PROMISES.read_text()
    table = text[text.index("## Terms that bind") : text.index("Not judged by the soak")]
    rows = {row.split("|")[1].strip(): row.split("|")[5] for row in table.splitlines() if row.count("|") == 6}
    named = {name: term for term, row in rows.items() for name in re.findall(r"`([a-z-]+)`", row)}
    assert named == {name: mutant.term for name, mutant in MUTANTS.items()}


@pytest.mark.parametrize("seconds", [9, 12, 18, 30])
def test_a_slow_discovery_makes_no_run_longer(seconds: int) -> None:
    """It made runs of 9 s last for 18 s, in which a gateway that is broken on purpose was found no more."""
    troubles = [one for seed in range(40) for one in drawn(seed, seconds, 4).troubles]
    slow = [one for one in troubles if one.kind == SLOW_DISCOVERY]
    assert bool(slow) == (seconds >= 18)
    assert all(one.at + one.length <= seconds for one in slow)

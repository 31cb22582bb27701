"""Plays every scenario file."""

from pathlib import Path

import pytest

from play import Play, scenarios

ALL = scenarios(Path(__file__).parent / "scenarios")


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_scenario(lines: list[str]) -> None:
    play = Play()
    for number, line in enumerate(lines, 1):
        try:
            play.line(line)
        except AssertionError as wrong:
            raise AssertionError(f"line {number}, {line!r}: {wrong}") from None
    assert not play.asked, f"also asked for: {play.asked}"

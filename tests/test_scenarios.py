"""Plays every scenario file."""

from pathlib import Path

import pytest

from play import Play, scenarios
from stackpitch.gateway.host import PEER_WORD

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


def test_words_between_1024_gateways_tell_of_1024_servers() -> None:
    plays = [Play(), Play()]
    for number, play in enumerate(plays):
        play.line(f"with peers=1 gateways=1024 number={number}")
        play.line("fleet " + " ".join(f"r{one} w{one}" for one in range(512)))
    told, heard = (play.brain.fleet for play in plays)
    for place, seat in enumerate(told.order):
        seat.mean = place % 200 / 100 / 1024
    words = [told.speak(0) for _ in range(6)]
    heard.hear(0, words[0])
    assert 0 < len(heard.others) and max(len(word) for word in words) + 9 + 10 <= PEER_WORD
    for word in words[1:]:
        heard.hear(0, word)
    assert [round(seat.mean * 1024 * 100) for seat in heard.order] == [place % 200 for place in range(1024)]

"""Plays every scenario file."""

from pathlib import Path

import pytest

from play import Play, scenarios
from traffic import Traffic
from stackpitch.gateway.host import MAX_GOSSIP_BYTES

ALL = scenarios(Path(__file__).parent / "scenarios")


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_scenario(lines: list[str]) -> None:
    play = Traffic()
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
    for place, seat in enumerate(told.ordered):
        seat.mean_share = place % 200 / 100 / 1024
    words = [told.encode_means(0) for _ in range(6)]
    heard.merge_means(0, words[0])
    assert 0 < len(heard.peer_held) and max(len(word) for word in words) + 9 + 10 <= MAX_GOSSIP_BYTES
    for word in words[1:]:
        heard.merge_means(0, word)
    assert [round(seat.mean_share * 1024 * 100) for seat in heard.ordered] == [
        place % 200 for place in range(1024)
    ]


def read_at(play: Play, name: str, text: str, session: str) -> str:
    """The reader that it goes to; it is read and streamed at once."""
    play.do_gen(name, "chat", shared=text, session=session)
    gen = play.gens[name]
    play.do_end(name, "read")
    play.do_start(name)
    play.do_end(name, "streamed")
    play.asked.clear()
    return gen.legs[0].server.name


def test_a_hot_text_is_spread_and_another_that_takes_its_place() -> None:
    play = Play()
    play.line("fleet " + " ".join(f"r{one}" for one in range(60)) + " w1")
    found = {}
    for round, hot in enumerate(("old", "new")):
        for number in range(90):
            where = read_at(
                play, f"{hot}{number}", hot if number % 3 == 0 else f"text{number}.{round}", f"{hot}{number}"
            )
            found.setdefault(hot if number % 3 == 0 else "", []).append(where)
    for hot in ("old", "new"):
        assert len(set(found[hot][-10:])) >= 5, "a third of all traffic is more than one reader bears"
    assert len({read_at(play, f"again{number}", "old", f"again{number}") for number in range(2)}) == 1, (
        "it is rare now"
    )


def test_a_writer_planned_for_a_read_that_failed_is_let_go_of() -> None:
    play = Play()
    play.line("fleet r1 r2 r3 w1 w2 w3 w4")
    for number in range(12):
        play.now += 100_000
        play.do_gen(
            f"g{number}", "chat", session=f"s{number}", prompt="2000", gives_up=str(play.now // 10 + 9000)
        )
        play.do_end(f"g{number}", "unreachable")
        play.do_end(f"g{number}", "read")
        play.do_start(f"g{number}")
        play.do_end(f"g{number}", "streamed")
    assert (
        len(
            {leg.server.name for gen in play.gens.values() for leg in gen.legs if leg.server.role == "writer"}
        )
        > 1
    )
    assert [seat.own_tok for seat in play.brain.fleet.server_states.values()] == [0] * 7

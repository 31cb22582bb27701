"""Plays every scenario file, and cases that need many servers."""

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
        except AssertionError as error:
            raise AssertionError(f"line {number}, {line!r}: {error}") from None
    assert not play.asked, f"also asked for: {play.asked}"


def test_gossip_between_1024_gateways_covers_1024_servers() -> None:
    """Each message fits the limit of its size, so the servers are spread over several messages."""
    plays = [Play(), Play()]
    for number, play in enumerate(plays):
        play.line(f"with peers=1 gateways=1024 number={number}")
        play.line("fleet " + " ".join(f"r{server} w{server}" for server in range(512)))
    sender, receiver = (play.brain.fleet for play in plays)
    for index, state in enumerate(sender.ordered):
        state.mean_share = index % 200 / 100 / 1024
    messages = [sender.encode_means(0) for _ in range(6)]
    receiver.merge_means(0, messages[0])
    assert (
        0 < len(receiver.peer_held) and max(len(message) for message in messages) + 9 + 10 <= MAX_GOSSIP_BYTES
    )
    for message in messages[1:]:
        receiver.merge_means(0, message)
    assert [round(state.mean_share * 1024 * 100) for state in receiver.ordered] == [
        index % 200 for index in range(1024)
    ]


def read_at(play: Play, name: str, prefix: str, session: str) -> str:
    """The name of the reader that a generation goes to. It is read and streamed at once."""
    play.do_gen(name, "chat", shared=prefix, session=session)
    gen = play.gens[name]
    play.do_end(name, "read")
    play.do_start(name)
    play.do_end(name, "streamed")
    play.asked.clear()
    return gen.legs[0].server.name


def test_a_hot_prefix_is_spread_and_so_is_its_successor() -> None:
    """A prefix of a third of all traffic needs several readers; once it is rare, one reader is enough."""
    play = Play()
    play.line("fleet " + " ".join(f"r{server}" for server in range(60)) + " w1")
    readers = {}
    for round, hot in enumerate(("old", "new")):
        for number in range(90):
            reader = read_at(
                play, f"{hot}{number}", hot if number % 3 == 0 else f"text{number}.{round}", f"{hot}{number}"
            )
            readers.setdefault(hot if number % 3 == 0 else "", []).append(reader)
    for hot in ("old", "new"):
        assert len(set(readers[hot][-10:])) >= 5, "a third of all traffic is more than one reader can do"
    assert len({read_at(play, f"again{number}", "old", f"again{number}") for number in range(2)}) == 1, (
        "it is rare now"
    )


def test_a_writer_planned_for_a_failed_read_holds_no_tokens() -> None:
    """The next read plans another writer; the tokens projected for the first one must not stay counted."""
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
    assert [state.own_tok for state in play.brain.fleet.server_states.values()] == [0] * 7

"""What is left out to decide faster changes no decision: whole plays with and without it, line by line."""

import pytest

from benchmarks.decisions import CASES, World
from stackpitch.brain import Dispatcher

BY_NAME = {case.name: case for case in CASES}


def lines(name: str) -> list[str]:
    found: list[str] = []
    World(BY_NAME[name], 5, found.append).play(6)
    return found


@pytest.mark.parametrize("name", ["reports", "peers-zones", "zones-mixed", "stormy"])
def test_servers_asked_each_and_one_for_all_decide_alike(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    fast = lines(name)
    monkeypatch.setattr(Dispatcher, "UNIFORM_CHECK", False)
    assert len(fast) > 300 and lines(name) == fast

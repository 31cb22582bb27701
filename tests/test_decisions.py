"""Checking one candidate for all changes no decision: whole runs with and without the shortcut are equal."""

import pytest

from benchmarks.decisions import CASES, World
from stackpitch.brain import Dispatcher

BY_NAME = {case.name: case for case in CASES}


def lines(name: str) -> list[str]:
    recorded: list[str] = []
    World(BY_NAME[name], 5, recorded.append).play(6)
    return recorded


@pytest.mark.parametrize("name", ["reports", "peers-zones", "zones-mixed", "stormy"])
def test_one_check_for_all_candidates_decides_like_a_check_of_each(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fast = lines(name)
    monkeypatch.setattr(Dispatcher, "UNIFORM_CHECK", False)
    assert len(fast) > 300 and lines(name) == fast

"""How days are played beside the tests. The days themselves: `test_owner_days` and the like."""

import threading
from pathlib import Path

import pytest
from played_days import Play, Played, Plays, as_processes, made_up, plays


class Counted(Plays):
    """Days that end when they are told to."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.now, self.most, self.played = set[Play](), 0, list[Play]()
        self.told = threading.Event()

    def _play(self, one: Play) -> Played:
        with self.lock:
            self.played.append(one)
            self.now.add(one)
            self.most = max(self.most, len(self.now))
            assert not one.alone or len(self.now) == 1
        assert self.told.wait(20)
        with self.lock:
            self.now.discard(one)
        if "fails" in one.words:
            raise AssertionError("no outcome")
        return Played("{}", 0, self.folder)


@pytest.fixture
def days(tmp_path: Path) -> Counted:
    made = Counted(tmp_path, 8)
    yield made
    made.told.set()
    made.end()


def test_a_test_that_names_its_days_by_a_function_stays_a_test() -> None:
    def which() -> list[Play]:
        return []

    @plays(which)
    def judged() -> None:
        pass

    assert judged.__name__ == "judged" and judged.pytestmark[0].args == (which,)


def test_a_few_beside_each_other_equal_ones_once_and_one_alone_after_all(days: Counted) -> None:
    virtual = [made_up("x", f"seed={seed}") for seed in range(5)]
    real = [as_processes("y", f"seed={seed}") for seed in range(5)]
    alone = as_processes("z", alone=True)
    days.begin([*virtual, *real, alone, *virtual])
    days.told.set()
    assert days.outcome(alone).exit == 0 and days.outcome(virtual[0]).found == {"exit": 0}
    assert days.played[-1] == alone and sorted(days.played, key=repr) == sorted(
        [*virtual, *real, alone], key=repr
    )
    assert days.most <= 2 + 3, "of eight processors two for made-up days, and three days as processes"


def test_one_that_gives_no_outcome_fails_its_own_test_alone(days: Counted) -> None:
    bad, good, alone = made_up("fails"), made_up("x"), as_processes("z", alone=True)
    days.begin([bad, good])
    days.told.set()
    assert days.outcome(alone).exit == 0 and days.outcome(good).exit == 0
    with pytest.raises(AssertionError, match="no outcome"):
        days.outcome(bad)


def test_nothing_is_begun_once_the_session_is_over(tmp_path: Path) -> None:
    made = Plays(tmp_path, 1)
    made.end()
    with pytest.raises(RuntimeError, match="over"):
        made._play(made_up("x"))

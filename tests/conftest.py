"""Hooks of the whole test run."""

from collections.abc import Iterator

import pytest
from known_red import KnownRed, read
from played_days import Played, Plays, asked_by

# Their tests mostly wait for processes that they start: `make test` runs them beside all others, in a session of their own.
WAITING = {"test_duties.py", "test_duties_weights.py", "test_watch.py"}
# Their tests hold a real process to tenths of a second: `make test` runs them when nothing else runs.
ALONE = "test_crossings_"


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--faults", help="system calls of the platform's gateway processes fail so")


def pytest_configure(config: pytest.Config) -> None:
    if named := config.getoption("--faults"):
        # Here, as other test runs copy this file without the crossings.
        from crossing_faults import preload_faults

        preload_faults(named)
    config.pluginmanager.register(KnownRed(config, read(config.rootpath / "KNOWN-RED.txt")), "known-red")
    config.addinivalue_line("markers", "waiting: mostly waits for processes of its own")
    config.addinivalue_line("markers", "alone: holds a process to bounds that a busy machine would break")
    config.addinivalue_line(
        "markers", "plays(which): days that the test judges, by its parameters; see tests/played_days.py"
    )


@pytest.hookimpl(tryfirst=True)  # before -m takes tests out
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if item.path.name in WAITING:
            item.add_marker("waiting")
        elif item.path.name.startswith(ALONE):
            item.add_marker("alone")


@pytest.fixture(scope="session", autouse=True)
def days(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Iterator[Plays]:
    """The days of all collected tests, begun in their order."""
    made = Plays(tmp_path_factory.mktemp("days"))
    made.begin(one for item in request.session.items for one in asked_by(item))
    yield made
    made.end()


@pytest.fixture
def played(request: pytest.FixtureRequest, days: Plays) -> list[Played]:
    """What became of the days that this test names."""
    return [days.outcome(one) for one in asked_by(request.node)]

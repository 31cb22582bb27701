"""Hooks of the whole test run."""

import tempfile
from collections.abc import Iterator
from pathlib import Path

import platform_process
import pytest
from known_red import KnownRed, read
from played_days import Played, Plays, asked_by

from soak.shim import Kind, NoCompiler, Shim, build

# Their tests mostly wait for processes that they start: `make test` runs them beside all others, in a session of their own.
WAITING = {"test_duties.py", "test_duties_weights.py", "test_watch.py"}
# Their tests hold a real process to tenths of a second: `make test` runs them when nothing else runs.
ALONE = "test_crossings_"

FAULTS = {
    "short-io": {Kind.SHORT_IO: 200},
    "local": {Kind.CONNECT: 50, Kind.SOCKET: 20, Kind.ACCEPT: 200, Kind.WAIT: 50},
}  # of a thousand calls of a gateway process


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--faults", choices=FAULTS, help="system calls of the platform's gateway processes fail so"
    )


def preload_faults(named: str) -> None:
    folder = Path(tempfile.mkdtemp())
    try:
        shim = Shim(folder, build(folder))
    except NoCompiler as wrong:
        pytest.exit(f"not run: {wrong}", 2)
    shim.set(FAULTS[named])
    platform_process.FAULTS.update(shim.environment())


def pytest_configure(config: pytest.Config) -> None:
    if named := config.getoption("--faults"):
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

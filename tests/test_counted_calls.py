"""An error in a call to an engine, of any kind, is logged and ends that call alone."""

from typing import Any

import pytest

from stackpitch.gateway.connections import EngineConnections
from stackpitch.loop import MS, ConnectFailed, ConnectionLost, Coro, Group, LocalFault
from stackpitch.loop.virtual import VirtualWorld


class RecordedLog:
    """A log that records the level and event of each line."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, str]] = []

    def __getattr__(self, level: str) -> Any:
        return lambda event, **fields: self.lines.append((level, event))


@pytest.mark.parametrize(
    ("error", "line"),
    [
        (ConnectionLost("reset"), ("warning", "call_failed")),
        (ConnectFailed("refused"), ("warning", "call_failed")),
        (LocalFault("no ports"), ("warning", "call_failed")),
        (KeyError("odd"), ("exception", "call_raised")),
    ],
)
def test_a_call_that_raises(error: Exception, line: tuple[str, str]) -> None:
    world, log = VirtualWorld(), RecordedLog()
    connections: Any = EngineConnections.__new__(EngineConnections)
    connections.pending_calls, connections.log = 0, log

    def call() -> Coro[None]:
        yield from world.sleep(MS)
        raise error

    def body(group: Group) -> Coro[str]:
        group.spawn(connections.tracked(call()), "call")
        yield from world.sleep(5 * MS)
        return "goes on"

    assert world.run(world.group(body)) == "goes on"
    assert log.lines == [line] and not connections.pending_calls

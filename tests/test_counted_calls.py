"""What a small call raises ends that call alone, whatever it is."""

from typing import Any

import pytest

from stackpitch.gateway.connections import EngineConnections
from stackpitch.loop import MS, ConnectFailed, ConnectionLost, Coro, Group, LocalFault
from stackpitch.loop.virtual import VirtualWorld


class Lines:
    """Log lines, by level and event."""

    def __init__(self) -> None:
        self.said: list[tuple[str, str]] = []

    def __getattr__(self, level: str) -> Any:
        return lambda event, **fields: self.said.append((level, event))


@pytest.mark.parametrize(
    ("wrong", "said"),
    [
        (ConnectionLost("reset"), ("warning", "call_failed")),
        (ConnectFailed("refused"), ("warning", "call_failed")),
        (LocalFault("no ports"), ("warning", "call_failed")),
        (KeyError("odd"), ("exception", "call_raised")),
    ],
)
def test_a_call_that_raises(wrong: Exception, said: tuple[str, str]) -> None:
    world, lines = VirtualWorld(), Lines()
    host: Any = EngineConnections.__new__(EngineConnections)
    host.pending_calls, host.log = 0, lines

    def call() -> Coro[None]:
        yield from world.sleep(MS)
        raise wrong

    def body(group: Group) -> Coro[str]:
        group.spawn(host.tracked(call()), "call")
        yield from world.sleep(5 * MS)
        return "goes on"

    assert world.run(world.group(body)) == "goes on"
    assert lines.said == [said] and not host.pending_calls

"""What a connection waits for: steps that are done for its leg, or the other side to give up."""

from collections.abc import Callable

from stackpitch.loop import ConnectionLost, Coro, Stream, World


def hung(stream: Stream) -> Coro[str]:
    """Takes work and answers nothing until the other side gives up."""
    while True:
        if not (yield from stream.recv()):
            return "hung"


def until(world: World, stream: Stream, ready: Callable[[], bool]) -> Coro[None]:
    """Waits for steps; ConnectionLost once the other side has left."""
    stream.wake_on_input(world.current)
    try:
        while not ready():
            if stream.eof:
                raise ConnectionLost("given up")
            yield
    finally:
        stream.wake_on_input(None)

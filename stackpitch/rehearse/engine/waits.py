"""What a connection waits for: steps that are done for its leg, or the other side to give up."""

from collections.abc import Callable

from stackpitch.loop import Coro, Lost, Stream, World


def hung(stream: Stream) -> Coro[str]:
    """Takes work and answers nothing until the other side gives up."""
    while True:
        if not (yield from stream.recv()):
            return "hung"


def until(world: World, stream: Stream, ready: Callable[[], bool]) -> Coro[None]:
    """Waits for steps; Lost once the other side has left."""
    stream.attend(world.current)
    try:
        while not ready():
            if stream.eof:
                raise Lost("given up")
            yield
    finally:
        stream.attend(None)

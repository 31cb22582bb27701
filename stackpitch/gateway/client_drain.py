"""Waits for a client to take what is buffered for it."""

from stackpitch.loop import Coro, Stream, Time, World


def drain_client(world: World, client: Stream, below: int, stall: Time, most: Time | None) -> Coro[bool]:
    """Whether no more than `below` is left; else it is cut off: it took nothing for `stall`, or not enough within `most`, as
    one that takes a byte now and then. Raises ConnectionLost."""
    until = None if most is None else world.now() + max(stall, most)
    while (before := client.buffered) > below:
        with world.limit(stall if until is None else min(stall, until - world.now())) as scope:
            yield from client.drain(max(below, before - 1))
        late = until is not None and world.now() >= until
        if client.buffered > below and (late or (scope.expired and client.buffered >= before)):
            client.abort()
            return False
    return True

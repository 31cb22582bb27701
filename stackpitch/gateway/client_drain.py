"""Waits for a slow client to read what is buffered for it."""

from stackpitch.loop import Coro, Stream, Time, World


def drain_client(
    world: World, client: Stream, below: int, stall: Time, time_limit: Time | None
) -> Coro[bool]:
    """Waits until at most `below` bytes are buffered; False if the client was cut off instead.

    That happens if it read nothing for `stall`, or not enough within `time_limit`, as a client that reads
    a byte now and then. Raises ConnectionLost.
    """
    until = None if time_limit is None else world.now() + max(stall, time_limit)
    while (before := client.buffered) > below:
        with world.limit(stall if until is None else min(stall, until - world.now())) as scope:
            yield from client.drain(max(below, before - 1))
        late = until is not None and world.now() >= until
        if client.buffered > below and (late or (scope.expired and client.buffered >= before)):
            client.abort()
            return False
    return True

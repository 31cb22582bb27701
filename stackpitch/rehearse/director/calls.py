"""Calls to control and admin ports, and the wait for a process to listen."""

from stackpitch.exchange import request_once
from stackpitch.loop import MS, SECOND, ConnectFailed, Coro, World
from stackpitch.rehearse.director.places import HOST, Net, Post, Seat, Source
from stackpitch.rehearse.director.stage import Stage
from stackpitch.wire import http


def call(
    world: World, address: tuple[str, int], target: str, body: bytes, method: str = "POST"
) -> Coro[http.ResponseParser | None]:
    """The whole answer, its body in `pieces`; None if none came."""
    request = http.request(method, target, "director", body, [("connection", "close")])
    return (yield from request_once(world, address, 2 * SECOND, request, 1 << 22))


def reachable(stage: Stage, one: Seat | Post | Net | Source) -> Coro[None]:
    """Waits until a process listens. Raises RuntimeError if it ended instead."""
    for _ in range(600):
        if one.child is not None and (code := one.child.code()) is not None:
            raise RuntimeError(f"{one.name} ended with {code}: {stage.last_line(one.name)}")
        try:
            stream = yield from stage.world.connect((HOST, one.port), SECOND)
        except ConnectFailed:
            yield from stage.world.sleep(30 * MS)
            continue
        stream.close()
        return
    raise RuntimeError(f"{one.name} does not listen on port {one.port}: {stage.last_line(one.name)}")

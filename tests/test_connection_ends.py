"""How connections end on real sockets, with the peer's bytes arriving before, between and after each step.

A scene runs once to count its points: those that it names, and one before and one after each call of the
socket under test. Then it runs once for each point, at which the peer's bytes arrive; on loopback they are in
the socket buffer at once, and the loop has not polled since.
"""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest
from test_door import AnsweringHost, answer, make_listener, request

from stackpitch.gateway.outcomes import Phase
from stackpitch.gateway.pool import Budget, Pool
from stackpitch.loop import MS, SECOND, ConnectFailed, ConnectionLost, Coro, Group, RealWorld, Stream, World
from stackpitch.loop.real import RealStream
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.wire import http

Scene = Callable[["Points"], None]


class Points:
    """Counts the points of a scene; at the chosen one `act` is called, once."""

    def __init__(self, chosen: int) -> None:
        self.chosen, self.count = chosen, 0
        self.act: Callable[[], None] = lambda: None
        self.names: list[str] = []

    def __call__(self, name: str) -> None:
        if self.count == self.chosen:
            self.act()
        self.names.append(name)
        self.count += 1

    def acted_by(self, name: str) -> bool:
        """Whether `act` was called at the last point of that name or before it."""
        return 0 <= self.chosen <= max((at for at, one in enumerate(self.names) if one == name), default=-1)


class SpiedSocket:
    """A socket with a point before and after each call that matters."""

    def __init__(self, sock: Any, point: Points) -> None:
        self.sock, self.point = sock, point

    def __getattr__(self, name: str) -> Any:
        attribute = getattr(self.sock, name)
        if name not in ("recv", "send", "shutdown", "close"):
            return attribute

        def call(*given: Any) -> Any:
            self.point(f"before {name}")
            try:
                return attribute(*given)
            finally:
                self.point(f"after {name}")

        return call


def play_all_points(scene: Scene) -> int:
    """Plays the scene once without the act and once for each of its points; returns their number."""
    unacted = Points(-1)
    scene(unacted)
    for chosen in range(unacted.count):
        point = Points(chosen)
        try:
            scene(point)
        except AssertionError as error:
            raise AssertionError(
                f"at point {chosen}, {(*point.names, 'the last')[chosen]}: {error}"
            ) from None
    return unacted.count


STRAYS = {
    "half a line": b"HTTP/1.1 202 Acc",
    "a complete response": http.response(202, b"{}"),
    "half a line, then the end": b"HTTP/1.1 2",
    "the end": b"",
    "a reset": b"",
}


def stray(far: socket.socket, kind: str) -> None:
    if kind == "a reset":
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        far.close()
        return
    with suppress(OSError):  # it may be closed already
        far.sendall(STRAYS[kind])
        if "end" in kind:
            far.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize(
    "step", ["reused", "replaced by a new one", "swept", "evicted", "its server is gone"]
)
@pytest.mark.parametrize("kind", STRAYS)
def test_stray_bytes_on_an_idle_connection_to_a_server(kind: str, step: str) -> None:
    """Bytes from before the check at reuse are never read as a response; whatever comes, no slot is lost."""

    def scene(point: Points) -> None:
        world, budget = RealWorld(), Budget(1 if step == "evicted" else 4)
        listener, other = (socket.create_server(("127.0.0.1", 0)) for _ in range(2))
        near: list[Stream] = []

        def main() -> Coro[None]:
            pools = [
                Pool(world, one.getsockname(), 4, SECOND // 4, SECOND, 5 * MS, budget)
                for one in (listener, other)
            ]
            pool = pools[0]
            first = yield from pool.acquire([Phase.QUEUED])
            far, _ = listener.accept()
            far.sendall(b"its answer")
            yield from first.recv()
            point.act = lambda: stray(far, kind)
            first.sock = SpiedSocket(first.sock, point)  # type: ignore[attr-defined]
            point("its response is complete")
            pool.release(first)
            point("it settles")
            yield from world.sleep(2 * MS)
            point("it settles, and the loop has polled")
            yield from world.sleep(5 * MS)
            point("it has settled")
            seen = point.acted_by("before recv" if "before recv" in point.names else "it has settled")
            assert first.closed == seen, "it is kept with bytes on it, or closed without any"
            point("it is idle")
            if step == "swept":
                pool.idle_time = -1
                pool.sweep()
            elif step == "its server is gone":
                pool.close()
            else:
                near.append(
                    (yield from pools[step == "evicted"].acquire([Phase.QUEUED], fresh="new" in step))
                )
                if near[0] is first:
                    assert not point.acted_by("it is idle") and not point.acted_by("before recv"), (
                        "it is reused with bytes on it"
                    )
                else:
                    assert step != "reused" or point.chosen >= 0, "nothing arrived, and it was not reused"
                    near[0].write(b"x")  # it can be used
            point("after the step")
            for one in near:
                pools[step == "evicted"].discard(one)
            pool.close()
            yield from world.sleep(6 * MS)
            assert not budget.open and not budget.idle and not pool.open, f"{budget.open} slots are lost"
            far.close()

        world.run(main())
        world.epoll.close()
        for one in (listener, other):
            one.close()

    assert play_all_points(scene) >= 7


COME = {
    "a complete request": request("beef" * 4),
    "half a line": b"POST /v1/cha",
    "the end": b"",
    "a complete request, then the end": request("beef" * 4),
}


@pytest.mark.parametrize("step", ["SIGTERM", "its idle time is over", "its slot is wanted"])
@pytest.mark.parametrize("kind", COME)
def test_bytes_as_an_idle_client_connection_is_half_closed(kind: str, step: str) -> None:
    """Either served completely, or closed without a response and never passed to the host.

    A reset may only follow what arrives after the close.
    """

    def scene(point: Points) -> None:
        world, host = RealWorld(), AnsweringHost()

        def body(group: Group) -> Coro[None]:
            client_listener = make_listener(
                world,
                host,
                max_connections=1 if "slot" in step else 50,
                idle=50 * MS if "time" in step else SECOND,
                head=20 * MS,
                body=20 * MS,
            )
            listener = world.listen(("127.0.0.1", 0))
            group.spawn(client_listener.serve(group, listener), "door")
            client = yield from world.connect(listener.address, SECOND)
            client.write(request("a" * 16))
            assert (yield from answer(client)) is not None
            yield from world.sleep(2 * MS)

            def come() -> None:
                with suppress(OSError):
                    client.sock.sendall(COME[kind])  # type: ignore[attr-defined]
                    if "end" in kind:
                        client.sock.shutdown(socket.SHUT_WR)  # type: ignore[attr-defined]

            point.act = come
            near = next(iter(client_listener.idle_connections))
            near.sock = SpiedSocket(near.sock, point)  # type: ignore[attr-defined]
            point("it is idle")
            if step == "SIGTERM":
                client_listener.close_idle()
            elif "slot" in step:
                (yield from world.connect(listener.address, SECOND)).close()
            else:
                yield from world.sleep(49 * MS)
            point("after the step")
            yield from world.sleep(5 * MS)
            point("later")
            received = []
            try:
                received.append((yield from answer(client)))
                if received[0] is not None and received[0].status == 200:
                    received.append((yield from answer(client)))
                    assert received[1] is None, "a second answer"
            except ConnectionLost as error:
                assert "after close" in point.names and not point.acted_by("after close"), (
                    f"no clean end: {error}"
                )
            client.close()
            taken = host.accepted.count("beef" * 4)
            if point.acted_by("it is idle") and "before recv" not in point.names[: point.chosen]:
                # A client that has sent FIN counts as gone but may still read: it gets a response, and the
                # host never sees its request.
                status = received[0].status if received and received[0] is not None else None
                wanted = {
                    "a complete request": 200,
                    "half a line": 408,
                    "a complete request, then the end": 429,
                }.get(kind)
                assert status == wanted, f"it was there, unseen: {status}"
            assert taken == sum(one is not None and one.status == 200 for one in received), (
                f"taken {taken} times"
            )
            yield from world.sleep(30 * MS)
            assert (
                not client_listener.connections
                and not client_listener.lingering
                and not client_listener.idle_connections
            ), "it stays"
            listener.close()
            group.cancel()

        world.run(world.group(body))
        world.epoll.close()

    assert play_all_points(scene) >= 6


@pytest.mark.parametrize("make_world", [RealWorld, lambda: VirtualWorld(3)], ids=["real", "virtual"])
@pytest.mark.parametrize("finished", [False, True])
@pytest.mark.parametrize("who", ["near", "far"])
def test_draining_fails_on_a_reset(who: str, finished: bool, make_world: Callable[[], World]) -> None:
    """A task that drains a connection gets an error if the peer did not read everything."""

    def main(world: World) -> Coro[bool]:
        listener = world.listen(("127.0.0.1", 0))
        near = yield from world.connect(listener.address, SECOND)
        far = yield from listener.accept()
        near.write(b"x" * 20_000_000)
        if finished:
            near.finish()
        world.at(world.now() + 5 * MS, {"near": near, "far": far}[who].abort)
        try:
            with world.limit(SECOND):
                yield from near.drain()
        except ConnectionLost:
            return True
        return False

    world = make_world()
    assert world.run(main(world))


@pytest.mark.parametrize("late", [0, 20 * MS])
def test_a_half_close_after_buffered_bytes(late: Any) -> None:
    """The client receives everything, then the end, even if it sends meanwhile."""

    def main(world: RealWorld) -> Coro[tuple[int, bytes]]:
        listener = world.listen(("127.0.0.1", 0))
        near = yield from world.connect(listener.address, SECOND)
        far = yield from listener.accept()
        near.write(b"x" * 20_000_000)
        near.finish()
        assert near.buffered, "nothing is late here"
        yield from world.sleep(late)
        far.write(b"y" * 1000)
        count = 0
        while data := (yield from far.recv()):
            count += len(data)
        far.write(b"z")
        return count, (yield from near.recv())

    world = RealWorld()
    assert world.run(main(world)) == (20_000_000, b"y" * 1000 + b"z")


def test_connections_that_wait_in_the_accept_queue_as_the_listener_closes_are_answered() -> None:
    """More connections than are accepted in one go, each with its request sent, and one without any.

    Closing the listener without accepting them first would reset them.
    """

    def body(group: Group) -> Coro[list[int | None]]:
        client_listener, listener = make_listener(world, host), world.listen(("127.0.0.1", 0))
        group.spawn(client_listener.serve(group, listener), "door")
        yield from world.sleep(2 * MS)
        clients = []
        for number in range(40):
            sock = socket.create_connection(listener.address)
            sock.sendall(request(f"{number:016x}"))
            sock.setblocking(False)
            clients.append(RealStream(world, sock, listener.address))
        silent = yield from world.connect(listener.address, SECOND)
        listener.finish()
        statuses = []
        for one in [*clients, silent]:
            received = yield from answer(one)
            statuses.append(None if received is None else received.status)
            one.close()
        with pytest.raises(ConnectFailed):
            yield from world.connect(listener.address, SECOND)
        assert not client_listener.accepting
        group.cancel()
        return statuses

    world, host = RealWorld(), AnsweringHost()
    assert world.run(world.group(body)) == [200] * 40 + [503]
    world.epoll.close()

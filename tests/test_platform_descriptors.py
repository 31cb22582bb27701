"""Descriptor limits: idle clients must not take the descriptors that discovery, releases and legs need."""

import socket
import time
from pathlib import Path
from types import SimpleNamespace

import pytest
from platform_process import MOST, Agent, Gateway, Server, ask, idle, waited

from stackpitch.gateway.outcomes import Phase
from stackpitch.gateway.pool import Budget, Pool, PoolExhausted
from stackpitch.loop import MS, SECOND, ConnectionLost, Coro, Group, Stream, Task
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.platform import serve
from stackpitch.platform.config import MINIMUMS
from stackpitch.platform.lines import NullMetrics
from stackpitch.platform.listener import PlatformListener
from stackpitch.platform.plan import CLIENT_SHARE, RESERVED_DESCRIPTORS
from stackpitch.wire import http

CLIENT_PLACES = int((MOST - RESERVED_DESCRIPTORS) * CLIENT_SHARE)  # for clients, of all descriptors


@pytest.mark.parametrize("sockets", [MOST, 4 * MOST], ids=["as many as configured", "fewer than configured"])
def test_discovery_is_taken_up_while_idle_clients_fill_the_descriptors(tmp_path: Path, sockets: int) -> None:
    agent = Agent()
    clients: list[socket.socket] = []
    with Gateway(tmp_path, agent, sockets) as gateway:
        watch = agent.told(10)
        agent.listener.close()
        watch.close()
        clients += [idle(gateway.port, True) for _ in range(2 * MOST)]
        waited(lambda: gateway.held() >= MOST, 0.5)
        clients += [idle(gateway.port, False) for _ in range(2 * MOST)]
        peak = gateway.held()
        agent.revision = 2
        agent.up()
        began = time.monotonic()
        agent.told(6)
        took = time.monotonic() - began
        assert took < 5 and peak < MOST, f"told after {took:.1f} s, {peak} descriptors"
        assert gateway.process.poll() is None
    for one in clients:
        one.close()


@pytest.mark.parametrize("sockets", [MOST, 4 * MOST], ids=["as many as configured", "fewer than configured"])
def test_a_starved_process_takes_up_discovery_and_lets_go_while_idle_clients_fill_its_descriptors(
    tmp_path: Path, sockets: int
) -> None:
    """The process runs a quarter of the time.

    The read's connection ends with its answer, so the release needs a new one. It is due within 0.8 s of the
    read's end and may wait once until the process runs again.
    """
    read = http.response(202, b'{"cached_tokens":4}', [("connection", "close")])
    agent, servers = Agent(), [Server("r1", read), Server("w1", read)]
    agent.members = [one.member for one in servers]
    with Gateway(tmp_path, agent, sockets) as gateway:
        watch = agent.told(10)
        own = gateway.held() - 1  # without its watch, which is about to end
        gateway.starve(0.3, 0.1)
        crowd = gateway.crowd(4 * MOST, 0.05)
        agent.listener.close()
        watch.close()
        assert waited(lambda: gateway.held() >= own + CLIENT_PLACES, 3), "the idle clients are not accepted"
        waited(lambda: gateway.held() >= MOST, 2)
        agent.revision = 2
        agent.up()
        began = time.monotonic()
        agent.told(6)
        took = time.monotonic() - began
        client = ask(gateway.port, "00000000000000aa", "order")
        reads = servers[0].got
        assert waited(lambda: bool(reads), 3), "no read began"
        client.close()
        time.sleep(0.5)
        servers[0].go.set()
        ended = time.monotonic()
        released = [one for server in servers for one in server.got if one[0] == "DELETE"]
        while not released and time.monotonic() - ended < 3:
            time.sleep(0.01)
            released = [one for server in servers for one in server.got if one[0] == "DELETE"]
        assert released and released[0][2] - ended < 1.1 and released[0][1].endswith("00aa"), (
            "its state stayed"
        )
        assert took < 5.6 and gateway.peak < MOST, f"told after {took:.1f} s, {gateway.peak} descriptors"
        assert gateway.process.poll() is None
    for one in crowd:
        one.close()


def test_a_full_queue_that_is_accepted_in_one_go_keeps_to_the_bound() -> None:
    """The listener returns connection after connection without a wait, so no task that would close one gets
    to run."""

    class Accepted:
        closed = False

        def close(self) -> None:
            self.closed = True

    class Queue:
        left = 300

        def accept(self) -> Coro[Accepted]:
            yield from ()
            if not self.left:
                raise ConnectionLost("empty")
            self.left -= 1
            came.append(Accepted())
            most.append(sum(not one.closed for one in came))
            return came[-1]

    class Spawned:
        def spawn(self, coro: Coro[None], name: str) -> None:
            coro.close()

    came: list[Accepted] = []
    most: list[int] = []
    host = SimpleNamespace(name="n")
    door = PlatformListener(
        VirtualWorld(1),
        host,
        None,
        NullMetrics(),
        max_connections=20,
        max_bodies=1,
        max_body=1,
        max_head=1,
        head=1,
        body=1,
        idle=1,
        stall=1,
        margin=1,
    )
    assert list(door.serve(Spawned(), Queue())) == []
    assert max(most) == 20 + door.max_over_limit + 1 and len(came) == 300


def test_the_reserve_holds_all_that_is_open_beside_clients_and_servers() -> None:
    assert serve.RESERVED_DESCRIPTORS <= 24 and MINIMUMS["sockets"] - serve.RESERVED_DESCRIPTORS >= 8


@pytest.mark.parametrize("kept", [True, False], ids=["given back", "dropped"])
def test_a_place_that_comes_free_at_one_server_serves_a_leg_or_release_that_waits_at_another(
    kept: bool,
) -> None:
    world, budget, got = VirtualWorld(1), Budget(1), list[int]()
    ports = [world.listen(("127.0.0.1", port)).address for port in (6000, 6001)]
    first, second = (Pool(world, address, 4, SECOND // 4, SECOND, 0, budget) for address in ports)

    def late() -> Coro[None]:
        stream = yield from second.acquire([Phase.QUEUED])
        got.append(world.now())
        second.discard(stream)

    def body(group: Group) -> Coro[None]:
        stream = yield from first.acquire([Phase.QUEUED])
        group.spawn(late(), "late")
        yield from world.sleep(50 * MS)
        (first.release if kept else first.discard)(stream)
        freed.append(world.now())

    freed: list[int] = []
    world.run(world.group(body))
    assert got[0] - freed[0] < 10 * MS and budget.open == 0


Act = tuple[int, str]  # ms after the last one, and `name pool`, `free` or `cancel name`


@pytest.mark.parametrize(
    "acts, order",
    [
        ([(1, "b B"), (1, "a A"), (1, "free"), (5, "free")], "b a"),  # the pools were made as A, B
        ([(1, "b B"), (1, "a A"), (1, "c B"), (1, "free"), (5, "free"), (5, "free")], "b a c"),
        # Also if the free connection belongs to the later one's own server.
        ([(1, "b B"), (1, "a O"), (1, "free"), (5, "free")], "b a"),
        # One that arrives as the first is woken takes nothing from it.
        ([(1, "b B"), (1, "free"), (0, "a O"), (5, "free")], "b a"),
        # Woken and cancelled at once: the next one gets the connection.
        ([(1, "b B"), (1, "a A"), (1, "free"), (0, "cancel b")], "a"),
        ([(1, "b B"), (1, "a A"), (0, "cancel b"), (0, "free")], "a"),
        # Woken in the turn in which its time limit ends: the next one gets the connection.
        ([(1, "b B"), (1, "a A"), (249, "free")], "a"),
        ([(1, "b B"), (0, "a A"), (250, "free")], ""),
    ],
    ids=str,
)
@pytest.mark.parametrize("kept", [True, False], ids=["given back", "dropped"])
def test_a_place_goes_to_whoever_has_waited_longest(kept: bool, acts: list[Act], order: str) -> None:
    world, budget, got, tasks = VirtualWorld(1), Budget(1), list[str](), dict[str, Task]()
    pools = {
        name: Pool(world, world.listen(("127.0.0.1", 6000 + at)).address, 4, SECOND // 4, SECOND, 0, budget)
        for at, name in enumerate("OAB")
    }
    held: list[tuple[Pool, Stream]] = []

    def one(name: str, pool: Pool) -> Coro[None]:
        try:
            stream = yield from pool.acquire([Phase.QUEUED])
        except PoolExhausted:
            return
        got.append(name)
        held.append((pool, stream))

    def body(group: Group) -> Coro[None]:
        yield from one("first", pools["O"])
        for after, act in acts:
            if after:
                yield from world.sleep(after * MS)
            what, *words = act.split()
            if what == "free":
                pool, stream = held.pop()
                (pool.release if kept else pool.discard)(stream)
            elif what == "cancel":
                tasks[words[0]].cancel()
            else:
                tasks[what] = group.spawn(one(what, pools[words[0]]), what)
        yield from world.sleep(20 * MS)
        for pool, stream in held:
            pool.discard(stream)

    world.run(world.group(body))
    assert " ".join(got[1:]) == order
    assert not budget.open and not budget.waiters and not any(pool.open for pool in pools.values())

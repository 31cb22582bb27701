"""The simulated world: its network behaves like a real one, and a scenario in it is reproducible."""

import hashlib

import pytest
from played_days import made_up, plays, seeds

from stackpitch.loop import MS, SECOND, ConnectFailed, ConnectionLost
from stackpitch.loop.virtual import WINDOW, VirtualWorld

ADDRESS = ("127.0.0.1", 80)


def run(body, programs=None):
    world = VirtualWorld(1, programs=programs)

    def main():
        yield from world.group(lambda group: body(world, group))

    world.run(main())
    world.close()
    return world


def pair(world, listener):
    near = yield from world.connect(ADDRESS, SECOND)
    far = yield from listener.accept()
    return near, far


def test_bytes_arrive_in_order_and_later():
    def body(world, group):
        near, far = yield from pair(world, world.listen(ADDRESS))
        begun = world.now()
        for part in (b"one", b"two", b"three"):
            near.write(part)
        assert far.recv_now() is None
        got = b""
        while len(got) < 11:
            got += yield from far.recv(4)
        assert got == b"onetwothree" and world.now() > begun
        near.finish()
        assert (yield from far.recv()) == b""
        far.write(b"still")
        assert (yield from near.recv()) == b"still"
        far.close()
        assert (yield from near.recv()) == b""

    run(body)


def test_a_slow_reader_blocks_its_writer():
    def body(world, group):
        near, far = yield from pair(world, world.listen(ADDRESS))
        near.write(b"x" * (3 * WINDOW))
        assert near.buffered == 2 * WINDOW
        with world.limit(SECOND) as scope:
            yield from near.drain()
        assert scope.expired
        got = 0
        while got < 3 * WINDOW:
            got += len((yield from far.recv()))
        assert not near.buffered

    run(body)


def test_resets_and_failed_connections():
    def body(world, group):
        with pytest.raises(ConnectFailed, match="refused"):
            yield from world.connect(ADDRESS, SECOND)
        listener = world.listen(ADDRESS, backlog=2)
        with pytest.raises(OSError, match="in use"):
            world.listen(ADDRESS)
        near, far = yield from pair(world, listener)
        near.write(b"never read")
        yield from world.sleep(10 * MS)
        far.close()  # with unread bytes, so a reset
        with pytest.raises(ConnectionLost, match="reset"):
            yield from near.recv()
        listener.block_connections(True)
        begun = world.now()
        with pytest.raises(ConnectFailed, match="no connection in 300 ms"):
            yield from world.connect(ADDRESS, 300 * MS)
        assert world.now() - begun == 300 * MS
        listener.block_connections(False)
        yield from world.connect(ADDRESS, SECOND)
        yield from world.connect(ADDRESS, SECOND)
        with pytest.raises(ConnectFailed, match="no connection"):
            yield from world.connect(ADDRESS, 300 * MS)  # the accept queue is full
        listener.close()

    run(body)


def test_no_code_of_a_killed_process_runs():
    seen = []

    def programs(command):
        def server():
            world = worlds[0]
            world.at(world.now() + 5 * SECOND, lambda: seen.append("timer"))
            listener = world.listen(ADDRESS)
            stream = yield from listener.accept()
            try:
                if command == ["polite"]:
                    yield from world.signals(15)()
                    return
                yield from world.sleep(10 * SECOND)
            finally:
                seen.append("unwound")
                stream.close()

        return server()

    worlds = []

    def body(world, group):
        worlds.append(world)
        child = world.spawn_child(["server"])
        yield from world.sleep(MS)
        near = yield from world.connect(ADDRESS, SECOND)
        child.signal(9)
        with pytest.raises(ConnectionLost):
            yield from near.recv()
        assert (yield from child.wait()) == -9 == child.code()
        yield from world.sleep(20 * SECOND)
        assert not seen
        with pytest.raises(ConnectFailed, match="refused"):
            yield from world.connect(ADDRESS, SECOND)
        polite = world.spawn_child(["polite"])
        yield from world.sleep(MS)
        yield from world.connect(ADDRESS, SECOND)
        yield from world.sleep(MS)
        polite.signal(15)
        assert (yield from polite.wait()) == 0 and seen == ["unwound"]

    run(body, programs)


def test_a_stopped_process_does_nothing_until_continued_then_catches_up():
    seen, worlds = [], []

    def programs(command):
        def server():
            world = worlds[0]
            listener = world.listen(ADDRESS)
            world.at(
                world.now() + SECOND,
                lambda: world.at(world.now() + MS, lambda: seen.append(("chain", world.now()))),
            )
            stream = yield from listener.accept()
            with world.limit(2 * SECOND) as scope:
                seen.append(((yield from stream.recv()), world.now()))
                yield from world.sleep(10 * SECOND)
            seen.append(("expired", scope.expired, world.now()))
            yield from world.signals(15)()

        return server()

    def body(world, group):
        worlds.append(world)
        child = world.spawn_child(["server"])
        yield from world.sleep(MS)
        near = yield from world.connect(ADDRESS, SECOND)
        yield from world.sleep(MS)
        child.signal(19)
        begun = world.now()
        near.write(b"while it sleeps")
        yield from world.connect(ADDRESS, SECOND)  # its kernel still accepts connections
        child.signal(2)
        yield from world.sleep(9 * SECOND)
        assert not seen and child.code() is None
        child.signal(18)
        assert child.code() == -2, "a signal sent while it was stopped takes effect when it continues"
        second = world.spawn_child(["server"])
        yield from world.sleep(MS)
        near = yield from world.connect(ADDRESS, SECOND)
        yield from world.sleep(MS)
        second.signal(19)
        begun = world.now()
        near.write(b"while it sleeps")
        yield from world.sleep(9 * SECOND)
        second.signal(18)
        yield from world.sleep(MS)
        resumed = begun + 9 * SECOND
        assert seen == [(b"while it sleeps", resumed), ("expired", True, resumed), ("chain", resumed + MS)]
        second.signal(19)
        second.signal(9)
        assert (yield from second.wait()) == -9
        yield from world.sleep(20 * SECOND)
        assert len(seen) == 3

    run(body, programs)


def test_a_killed_process_loses_unsynced_file_data():
    """Over many kills every possible loss occurs, and synced data is never lost."""
    outcomes = set()

    def programs(command):
        def writer():
            files, other = worlds[0].files(), worlds[0].files()
            first = files.open("/d/one", create=True)
            files.write(first, b"safe")
            files.sync(first)
            files.sync_folder("/d")
            files.write(first, b"lost")
            assert files.lock(first) and not other.lock(other.open("/d/one"))
            second = files.open("/d/two.new", create=True)
            files.write(second, b"two")
            files.sync(second)
            files.rename("/d/two.new", "/d/two")
            if command == ["ends"]:
                return
            yield from worlds[0].sleep(SECOND)

        return writer()

    worlds = []

    def body(world, group):
        worlds[:] = [world]
        for _ in range(60):
            world.disk.names.clear()
            child = world.spawn_child(["killed"])
            yield from world.sleep(MS)
            assert child.code() is None
            child.signal(9)
            files = world.files()
            first = files.open("/d/one")
            assert files.lock(first), "the lock is released with its holder"
            names = tuple(name for name in ("/d/two", "/d/two.new") if name in world.disk.names)
            outcomes.add((files.read(first, 0, 99), names))
        world.disk.names.clear()
        assert (yield from world.spawn_child(["ends"]).wait()) == 0
        assert bytes(world.disk.names["/d/one"].data) == b"safelost" and "/d/two" in world.disk.names

    run(body, programs)
    assert {data for data, _ in outcomes} == {b"safe", b"safel", b"safelo", b"safelos", b"safelost"}
    assert {names for _, names in outcomes} == {(), ("/d/two",), ("/d/two.new",)}


def test_a_deadlock_is_reported():
    world = VirtualWorld()

    def main():
        yield

    with pytest.raises(RuntimeError, match="nothing is due"):
        world.run(main())


MASS = "days/mass-restart.jsonnet"


def records(played):
    assert played.exit == 0, played.printed
    return {
        path.name: hashlib.sha256(path.read_bytes()).hexdigest()
        for path in sorted(played.folder.glob("*.jsonl"))
    }


@plays(
    lambda: [
        made_up(MASS, f"seed={seed}", hash_seed=hashes) for seed, hashes in ((1, "1"), (1, "77"), (2, "1"))
    ]
)
def test_the_same_seed_gives_the_same_records_byte_for_byte(played):
    """Also with another hash seed, which reorders sets. Another world seed gives other records."""
    first, other_hash_seed, other_seed = map(records, played)
    assert first == other_hash_seed and len(first) > 6
    assert other_seed != first


@plays(lambda: [seeds("days/bad-day.jsonnet", 1, 3)])
def test_several_seeds_of_the_bad_day_scenario(played):
    assert played[0].exit == 0 and "3 of 3 seeds kept all rules" in played[0].printed, played[0].printed

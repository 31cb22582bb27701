"""The event loop on real sockets: scopes, groups, timers, streams, child processes."""

import signal
import sys
from collections.abc import Callable
from typing import Any

import pytest

from stackpitch.loop import MS, SECOND, ConnectFailed, ConnectionLost, Coro, Group, RealWorld


def run(main: Callable[[RealWorld], Coro[Any]]) -> Any:
    world = RealWorld(3)
    return world.run(main(world))


def test_a_time_limit_cancels_only_its_own_block() -> None:
    def main(world: RealWorld) -> Coro[list[str]]:
        seen = []
        with world.limit(20 * MS) as outer:
            with world.limit(SECOND) as inner:
                yield from world.sleep(SECOND)
            seen.append("not reached")
        assert outer.expired and not inner.expired
        yield from world.sleep(0)
        return seen

    assert run(main) == []


@pytest.mark.parametrize("cancels", [False, True])
def test_remove_limit_undoes_an_expiry_of_the_same_turn_but_not_a_cancel(cancels: bool) -> None:
    def main(world: RealWorld) -> Coro[bool]:
        world.at(world.now() + MS, world.current.wake)  # the awaited event, first in the turn
        with world.limit(MS) as scope:
            if cancels:
                world.at(world.now() + MS, scope.cancel)  # an explicit cancellation stays in effect
            until = world.now() + 3 * MS
            while world.now() < until:
                pass  # until both are due, so that one turn runs both
            yield
            assert scope.expired
            scope.remove_limit()
            yield from world.sleep(2 * MS)
            return True
        return False

    assert run(main) is not cancels


def test_every_wait_in_a_cancelled_scope_ends_at_once() -> None:
    def main(world: RealWorld) -> Coro[int]:
        attempts = 0
        with world.limit(5 * MS):
            while True:
                try:
                    yield from world.sleep(SECOND)
                finally:
                    attempts += 1
                    if attempts < 3:
                        continue  # noqa: B012 - suppresses the cancellation on purpose
        return attempts

    assert run(main) == 3


def test_tasks_end_before_their_group_which_raises_their_error() -> None:
    ended = []

    def child(world: RealWorld, name: str, delay: int, error: Exception | None) -> Coro[None]:
        try:
            yield from world.sleep(delay)
            if error is not None:
                raise error
        finally:
            with world.shield():
                yield from world.sleep(2 * MS)
            ended.append(name)

    def main(world: RealWorld) -> Coro[None]:
        def body(group: Group) -> Coro[None]:
            group.spawn(child(world, "slow", SECOND, None), "slow")
            group.spawn(child(world, "bad", 5 * MS, ValueError("lost?")), "bad")
            yield from world.sleep(SECOND)

        try:
            yield from world.group(body)
        finally:
            ended.append("group")

    with pytest.raises(ValueError, match="lost"):
        run(main)
    assert sorted(ended[:2]) == ["bad", "slow"] and ended[2:] == ["group"]


def test_two_errors_are_raised_together() -> None:
    def fail(text: str) -> Coro[None]:
        yield from ()
        raise ValueError(text)

    def main(world: RealWorld) -> Coro[None]:
        def body(group: Group) -> Coro[None]:
            group.spawn(fail("one"), "one")
            group.spawn(fail("two"), "two")
            yield from world.sleep(SECOND)

        yield from world.group(body)

    with pytest.raises(BaseExceptionGroup) as caught:
        run(main)
    assert {str(error) for error in caught.value.exceptions} == {"one", "two"}


def test_an_expired_limit_cancels_the_tasks_of_a_group() -> None:
    def main(world: RealWorld) -> Coro[bool]:
        def body(group: Group) -> Coro[None]:
            group.spawn(world.sleep(10 * SECOND), "long")
            yield from world.sleep(0)

        with world.limit(10 * MS) as scope:
            yield from world.group(body)
        return scope.expired and not world.timers.next()

    assert run(main) is True


def test_a_task_that_only_pauses_can_be_cancelled() -> None:
    def main(world: RealWorld) -> Coro[int]:
        turns = 0
        with world.limit(20 * MS):
            while turns < 1_000_000:
                turns += 1
                yield from world.pause()
        return turns

    assert run(main) < 1_000_000


def test_drain_waits_for_a_peer_that_does_not_read() -> None:
    def main(world: RealWorld) -> Coro[tuple[bool, int]]:
        listener = world.listen(("127.0.0.1", 0))
        near = yield from world.connect(listener.address, SECOND)
        far = yield from listener.accept()
        near.write(b"x" * 20_000_000)
        with world.limit(30 * MS) as scope:
            yield from near.drain()
        received = 0

        def read_all() -> Coro[None]:
            nonlocal received
            while received < 20_000_000:
                received += len((yield from far.recv()))

        def body(group: Group) -> Coro[None]:
            group.spawn(read_all(), "reading")
            yield from near.drain()

        yield from world.group(body)
        return scope.expired, received

    assert run(main) == (True, 20_000_000)


def test_data_and_end_of_stream_that_arrive_together_are_both_received() -> None:
    def main(world: RealWorld) -> Coro[list[bytes]]:
        listener = world.listen(("127.0.0.1", 0))
        near = yield from world.connect(listener.address, SECOND)
        far = yield from listener.accept()
        near.write(b"last words")
        near.close()
        yield from world.sleep(20 * MS)
        with world.limit(SECOND):
            return [(yield from far.recv()), (yield from far.recv())]
        return []

    assert run(main) == [b"last words", b""]


def test_a_forced_read_returns_data_that_epoll_has_not_reported_yet() -> None:
    def main(world: RealWorld) -> Coro[list[bytes | None]]:
        listener = world.listen(("127.0.0.1", 0))
        near = yield from world.connect(listener.address, SECOND)
        far = yield from listener.accept()
        seen = [far.recv_now()]
        near.write(b"last words")
        near.close()
        return [*seen, far.recv_now(), far.recv_now(force=True), far.recv_now(force=True)]

    assert run(main) == [None, None, b"last words", b""]


def test_a_reset_raises_an_error_and_a_local_close_wakes_the_reader() -> None:
    def main(world: RealWorld) -> Coro[list[str]]:
        listener, seen = world.listen(("127.0.0.1", 0)), []
        for end in ("abort", "close here"):
            near = yield from world.connect(listener.address, SECOND)
            far = yield from listener.accept()
            world.at(world.now() + 5 * MS, near.abort if end == "abort" else far.close)
            try:
                yield from far.recv()
            except ConnectionLost as error:
                seen.append(str(error))
        return seen

    assert run(main) == ["Connection reset by peer", "closed here"]


def test_connecting_fails_if_refused_or_if_not_accepted_in_time() -> None:
    def main(world: RealWorld) -> Coro[list[str]]:
        listener, seen = world.listen(("127.0.0.1", 0)), []
        connected = yield from world.connect(listener.address, SECOND)
        accepted = yield from listener.accept()
        listener.block_connections(True)
        begun = world.now()
        try:
            yield from world.connect(listener.address, 50 * MS)
        except ConnectFailed as error:
            seen.append(str(error))
        assert 45 * MS < world.now() - begun < SECOND
        connected.write(b"well")  # open connections still work
        seen.append((yield from accepted.recv()).decode())
        listener.block_connections(False)
        (yield from world.connect(listener.address, 3 * SECOND)).close()
        listener.close()
        try:
            yield from world.connect(listener.address, SECOND)
        except ConnectFailed as error:
            seen.append(str(error))
        return seen

    assert run(main) == ["no connection in 50 ms", "well", "Connection refused"]


def test_signals_and_children() -> None:
    def main(world: RealWorld) -> Coro[tuple[int, int, int]]:
        caught = world.signals(signal.SIGUSR1)
        signal.raise_signal(signal.SIGUSR1)
        number = yield from caught()
        child = world.spawn_child([sys.executable, "-c", "raise SystemExit(3)"])
        code = yield from child.wait()
        endless = world.spawn_child([sys.executable, "-c", "import signal; signal.pause()"])
        endless.signal(signal.SIGKILL)
        return number, code, (yield from endless.wait())

    assert run(main) == (signal.SIGUSR1, 3, -signal.SIGKILL)


def test_a_slow_step_is_reported() -> None:
    slow_steps = []

    def main(world: RealWorld) -> Coro[None]:
        world.on_slow_step = lambda name, spent: slow_steps.append((name, spent))
        yield from world.sleep(0)
        until = world.now() + 60 * MS
        while world.now() < until:
            pass
        yield from world.sleep(0)

    run(main)
    assert len(slow_steps) == 1 and slow_steps[0][0] == "main" and slow_steps[0][1] >= 60 * MS


def test_random_generators_depend_on_seed_and_name() -> None:
    first, same, other = RealWorld(3).rng("a"), RealWorld(3).rng("a"), RealWorld(3).rng("b")
    drawn = first.random()
    assert same.random() == drawn != other.random()


def test_a_full_accept_queue_does_not_starve_other_tasks() -> None:
    def main(world: RealWorld) -> Coro[int]:
        def body(group: Group) -> Coro[int]:
            listener = world.listen(("127.0.0.1", 0))
            clients = []
            for _ in range(120):
                clients.append((yield from world.connect(listener.address, SECOND)))
            turns = [0]

            def other() -> Coro[None]:
                while True:
                    turns[0] += 1
                    yield from world.sleep(0)

            group.spawn(other(), "others")
            for _ in range(120):
                yield from listener.accept()
            group.cancel()
            return turns[0]

        return (yield from world.group(body)) or 0

    assert run(main) >= 5

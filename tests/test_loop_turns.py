"""Turns: in order of coming, and of the others beside one that never has to wait."""

import socket

import pytest
from test_loop import run

from stackpitch.loop import MS, SECOND, Coro, Group, RealWorld, Semaphore


@pytest.mark.parametrize("most", [1, 2])
def test_turns_are_given_in_order_of_coming_and_none_is_lost_to_one_that_gave_up(most: int) -> None:
    def main(world: RealWorld) -> Coro[tuple[list[int], int]]:
        turns, began, open_ones = Semaphore(world, most), list[int](), list[int]()

        def one(number: int) -> Coro[None]:
            with world.limit(8 * MS if number == 3 else SECOND):
                yield from turns.acquire()
                began.append(number)
                open_ones.append(turns.in_use)
                yield from world.sleep(20 * MS)
                turns.release()

        def body(group: Group) -> Coro[None]:
            for number in range(6):
                group.spawn(one(number), f"turn {number}")
                yield from world.sleep(MS)

        yield from world.group(body)
        assert not turns.in_use and not turns.waiters
        return began, max(open_ones)

    assert run(main) == ([0, 1, 2, 4, 5], most)


@pytest.mark.parametrize("what", ["accepts a full queue", "reads what never ends"])
def test_one_that_never_has_to_wait_lets_the_others_run(what: str) -> None:
    """A flood gives it something in each step; a task that only pauses meanwhile has to get its turn all the same."""

    def main(world: RealWorld) -> Coro[tuple[int, int]]:
        listener, turns, took = world.listen(("127.0.0.1", 0)), 0, 0
        knocking = [
            socket.create_connection(listener.address) for _ in range(320 if "accepts" in what else 1)
        ]

        def busy(group: Group) -> Coro[None]:
            nonlocal took
            stream = yield from listener.accept()
            while took < 300:
                if "reads" in what:
                    knocking[0].sendall(b"x" * 65536)  # on loopback it is there at once
                    yield from stream.recv()
                else:
                    (yield from listener.accept()).close()
                took += 1
            group.cancel()

        def other() -> Coro[None]:
            nonlocal turns
            while True:
                turns += 1
                yield from world.pause()

        def body(group: Group) -> Coro[None]:
            group.spawn(other(), "other")
            group.spawn(busy(group), "busy")
            yield from ()

        yield from world.group(body)
        for one in knocking:
            one.close()
        return took, turns

    took, turns = run(main)
    assert took == 300 and turns >= 300 // 17, f"{turns} turns"

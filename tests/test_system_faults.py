"""Calls of the system that fail while a connection is made, taken, watched or closed: nothing is left behind, and the
loop goes on."""

import errno
import gc
import os
import select
import socket
from collections.abc import Callable
from typing import Any

import pytest

from stackpitch.loop import MS, SECOND, ConnectFailed, Coro, Group, LocalFault, RealWorld
from stackpitch.loop.real import listener as listening

LOCAL = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EHOSTUNREACH, errno.EAGAIN, errno.EPERM]


class FaultySocket(socket.socket):
    """Calls fail as `fail` says: the errors that they meet, first to last."""

    fail: dict[str, list[int]] = {}

    def _meet(self, call: str) -> None:
        if found := self.fail.get(call):
            raise OSError(code := found.pop(0), os.strerror(code))

    def connect_ex(self, address: Any) -> int:
        if found := self.fail.get("connect"):
            return found.pop(0)
        return super().connect_ex(address)

    def setsockopt(self, *given: Any) -> None:
        self._meet("setsockopt")
        super().setsockopt(*given)

    def accept(self) -> tuple[socket.socket, Any]:
        self._meet("accept")
        return super().accept()

    def close(self) -> None:
        super().close()
        self._meet("close")


class FaultyEpoll:
    def __init__(self, epoll: select.epoll) -> None:
        self.epoll = epoll

    def _meet(self, call: str) -> None:
        if found := FaultySocket.fail.get(call):
            raise OSError(code := found.pop(0), os.strerror(code))

    def register(self, *given: Any) -> None:
        self._meet("register")
        self.epoll.register(*given)

    def modify(self, *given: Any) -> None:
        self._meet("modify")
        self.epoll.modify(*given)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.epoll, name)


@pytest.fixture
def faulty(monkeypatch: pytest.MonkeyPatch) -> RealWorld:
    """A world whose sockets and epoll meet what `FaultySocket.fail` says."""
    monkeypatch.setattr(FaultySocket, "fail", {})
    monkeypatch.setattr(socket, "socket", FaultySocket)
    world = RealWorld()
    world.epoll = FaultyEpoll(world.epoll)  # type: ignore[assignment]
    return world


def descriptors() -> int:
    gc.collect()  # what earlier tests left is not counted
    return len(os.listdir("/proc/self/fd"))


def echoed(world: RealWorld, before: Callable[[], None]) -> None:
    """`before` comes between the listener and the client; then a connection is made, and serves."""

    def body(group: Group) -> Coro[None]:
        listener = world.listen(("127.0.0.1", 0))

        def serve() -> Coro[None]:
            word = b""
            while not word:  # the first connections may be given up where they were made
                stream = yield from listener.accept()
                word = yield from stream.recv()
                stream.write(word)
                yield from stream.drain()
                stream.close()

        group.spawn(serve(), "serve")
        before()
        stream = yield from world.connect(listener.address, SECOND)
        stream.write(b"word")
        assert (yield from stream.recv()) == b"word"
        stream.close()
        listener.close()

    at_rest = descriptors()
    world.run(world.group(body))
    assert not world.handlers and descriptors() == at_rest


@pytest.mark.parametrize("call", ["connect", "setsockopt", "register", "modify", "accept", "close"])
@pytest.mark.parametrize("times", [1, 2, 4])
def test_a_connection_serves_after_momentary_faults(faulty: RealWorld, call: str, times: int) -> None:
    echoed(faulty, lambda: FaultySocket.fail.update({call: [errno.ENOBUFS] * times}))


@pytest.mark.parametrize("code", LOCAL)
def test_a_local_fault_that_lasts_is_told_as_one(faulty: RealWorld, code: int) -> None:
    def main() -> Coro[None]:
        FaultySocket.fail["connect"] = [code] * 1000
        at_rest, begun = descriptors(), faulty.now()
        with pytest.raises(LocalFault):
            yield from faulty.connect(("127.0.0.1", 1), 100 * MS)
        assert faulty.now() - begun <= 150 * MS
        assert 3 < 1000 - len(FaultySocket.fail["connect"]) < 30, "tries in that time"
        assert descriptors() == at_rest and not faulty.handlers

    faulty.run(main())
    assert sum(faulty.take_faults().values()) > 3 and not faulty.take_faults()


def test_a_refusal_is_the_other_sides(faulty: RealWorld) -> None:
    def main() -> Coro[None]:
        FaultySocket.fail["connect"] = [errno.ECONNREFUSED]
        with pytest.raises(ConnectFailed) as caught:
            yield from faulty.connect(("127.0.0.1", 1), 100 * MS)
        assert not isinstance(caught.value, LocalFault)

    faulty.run(main())


def test_an_error_of_accept_that_lasts_leaves_the_others_their_turns(faulty: RealWorld) -> None:
    codes = [errno.EINVAL] * 5 + [errno.ECONNABORTED] * 40 + [errno.EPERM]

    def body(group: Group) -> Coro[None]:
        listener = faulty.listen(("127.0.0.1", 0))
        FaultySocket.fail["accept"] = list(codes)
        group.spawn(listener.accept(), "accept")
        yield from faulty.connect(listener.address, SECOND)
        turns = faulty.poll_count
        yield from faulty.sleep(100 * MS)
        assert faulty.poll_count - turns < 100, "the loop spins"
        assert len(FaultySocket.fail["accept"]) < len(codes), "nobody accepts"
        group.cancel()

    faulty.run(faulty.group(body))
    assert listening.RealListener.MAX_WITHOUT_WAIT == 16

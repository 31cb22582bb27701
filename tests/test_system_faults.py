"""System calls that fail while a connection is opened, accepted, registered or closed: no descriptor leaks,
and the loop goes on."""

import errno
import gc
import os
import select
import socket
from collections.abc import Callable
from typing import Any

import pytest

from stackpitch.loop import MS, SECOND, ConnectFailed, Coro, Group, LocalFault, RealWorld
from stackpitch.loop.real import listener as real_listener

LOCAL = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EHOSTUNREACH, errno.EAGAIN, errno.EPERM]


class FaultySocket(socket.socket):
    """Its calls raise the errors listed for them in `fail`, in order."""

    fail: dict[str, list[int]] = {}

    def _raise_next(self, call: str) -> None:
        if codes := self.fail.get(call):
            raise OSError(code := codes.pop(0), os.strerror(code))

    def connect_ex(self, address: Any) -> int:
        if codes := self.fail.get("connect"):
            return codes.pop(0)
        return super().connect_ex(address)

    def setsockopt(self, *args: Any) -> None:
        self._raise_next("setsockopt")
        super().setsockopt(*args)

    def accept(self) -> tuple[socket.socket, Any]:
        self._raise_next("accept")
        return super().accept()

    def close(self) -> None:
        super().close()
        self._raise_next("close")


class FaultyEpoll:
    """An epoll whose calls fail as those of `FaultySocket`."""

    def __init__(self, epoll: select.epoll) -> None:
        self.epoll = epoll

    def _raise_next(self, call: str) -> None:
        if codes := FaultySocket.fail.get(call):
            raise OSError(code := codes.pop(0), os.strerror(code))

    def register(self, *args: Any) -> None:
        self._raise_next("register")
        self.epoll.register(*args)

    def modify(self, *args: Any) -> None:
        self._raise_next("modify")
        self.epoll.modify(*args)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.epoll, name)


@pytest.fixture
def faulty(monkeypatch: pytest.MonkeyPatch) -> RealWorld:
    """A world whose sockets and epoll fail as `FaultySocket.fail` says."""
    monkeypatch.setattr(FaultySocket, "fail", {})
    monkeypatch.setattr(socket, "socket", FaultySocket)
    world = RealWorld()
    world.epoll = FaultyEpoll(world.epoll)  # type: ignore[assignment]
    return world


def descriptors() -> int:
    gc.collect()  # closes descriptors left by earlier tests
    return len(os.listdir("/proc/self/fd"))


def check_echo(world: RealWorld, inject: Callable[[], None]) -> None:
    """Calls `inject` after listening, then connects and expects a working connection."""

    def body(group: Group) -> Coro[None]:
        listener = world.listen(("127.0.0.1", 0))

        def serve() -> Coro[None]:
            word = b""
            while not word:  # the client may have abandoned the first connections
                stream = yield from listener.accept()
                word = yield from stream.recv()
                stream.write(word)
                yield from stream.drain()
                stream.close()

        group.spawn(serve(), "serve")
        inject()
        stream = yield from world.connect(listener.address, SECOND)
        stream.write(b"word")
        assert (yield from stream.recv()) == b"word"
        stream.close()
        listener.close()

    open_before = descriptors()
    world.run(world.group(body))
    assert not world.handlers and descriptors() == open_before


@pytest.mark.parametrize("call", ["connect", "setsockopt", "register", "modify", "accept", "close"])
@pytest.mark.parametrize("times", [1, 2, 4])
def test_a_connection_works_after_transient_faults(faulty: RealWorld, call: str, times: int) -> None:
    check_echo(faulty, lambda: FaultySocket.fail.update({call: [errno.ENOBUFS] * times}))


@pytest.mark.parametrize("code", LOCAL)
def test_a_lasting_local_fault_raises_local_fault(faulty: RealWorld, code: int) -> None:
    def main() -> Coro[None]:
        FaultySocket.fail["connect"] = [code] * 1000
        open_before, begun = descriptors(), faulty.now()
        with pytest.raises(LocalFault):
            yield from faulty.connect(("127.0.0.1", 1), 100 * MS)
        assert faulty.now() - begun <= 150 * MS
        assert 3 < 1000 - len(FaultySocket.fail["connect"]) < 30, "number of attempts"
        assert descriptors() == open_before and not faulty.handlers

    faulty.run(main())
    assert sum(faulty.take_faults().values()) > 3 and not faulty.take_faults()


def test_a_refusal_is_not_a_local_fault(faulty: RealWorld) -> None:
    def main() -> Coro[None]:
        FaultySocket.fail["connect"] = [errno.ECONNREFUSED]
        with pytest.raises(ConnectFailed) as caught:
            yield from faulty.connect(("127.0.0.1", 1), 100 * MS)
        assert not isinstance(caught.value, LocalFault)

    faulty.run(main())


def test_a_lasting_error_of_accept_does_not_starve_other_tasks(faulty: RealWorld) -> None:
    codes = [errno.EINVAL] * 5 + [errno.ECONNABORTED] * 40 + [errno.EPERM]

    def body(group: Group) -> Coro[None]:
        listener = faulty.listen(("127.0.0.1", 0))
        FaultySocket.fail["accept"] = list(codes)
        group.spawn(listener.accept(), "accept")
        yield from faulty.connect(listener.address, SECOND)
        polls = faulty.poll_count
        yield from faulty.sleep(100 * MS)
        assert faulty.poll_count - polls < 100, "the loop spins"
        assert len(FaultySocket.fail["accept"]) < len(codes), "nobody accepts"
        group.cancel()

    faulty.run(faulty.group(body))
    assert real_listener.RealListener.MAX_WITHOUT_WAIT == 16

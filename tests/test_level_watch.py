"""Streams watched by level: a loop with nothing to do waits, whatever lies unread, and nothing that comes is missed."""

import socket
from collections.abc import Callable
from typing import Any

import pytest

from stackpitch.loop import MS, ConnectionLost, Coro, RealWorld
from stackpitch.loop.real import RealStream

STILL = 100 * MS
FEW_TURNS = 12  # of the loop, in `STILL`; one that spins makes thousands


def pair(world: RealWorld) -> tuple[RealStream, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname())
        near, peer = listener.accept()
    near.setblocking(False)
    return RealStream(world, near, peer), far


def reset(far: socket.socket) -> None:
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    far.close()


EVENTS: dict[str, Callable[[socket.socket], Any]] = {
    "bytes": lambda far: far.sendall(b"x" * 1000),
    "an end": lambda far: far.shutdown(socket.SHUT_WR),
    "bytes and an end": lambda far: (far.sendall(b"x" * 1000), far.shutdown(socket.SHUT_WR)),
    "a reset": reset,
    "bytes and a reset": lambda far: (far.sendall(b"x" * 1000), reset(far)),
}


@pytest.mark.parametrize(
    "attended", [False, True], ids=["nobody waits", "somebody attends and waits elsewhere"]
)
@pytest.mark.parametrize("what", EVENTS)
def test_what_nobody_takes_does_not_keep_the_loop_busy(what: str, attended: bool) -> None:
    world = RealWorld()

    def main() -> Coro[None]:
        stream, far = pair(world)
        assert stream.recv_now() is None
        if attended:
            stream.wake_on_input(world.current)
        EVENTS[what](far)
        for _ in range(4):  # what ends a wait early is no turn too many
            yield from world.sleep(STILL // 4)
        before = world.poll_count
        yield from world.sleep(STILL)
        assert world.poll_count - before <= FEW_TURNS
        stream.wake_on_input(None)
        got = b""
        try:
            while data := (yield from stream.recv(300)):
                got += data
                if got == b"x" * 1000 and what == "bytes":
                    far.sendall(b"y")
                    got += yield from stream.recv()
                    break
        except ConnectionLost:
            assert "reset" in what
        if "reset" not in what:
            assert got == b"x" * 1000 * ("bytes" in what) + b"y" * (what == "bytes")
        stream.close()

    world.run(main())
    assert not world.handlers, "a closed stream's handler stays behind"


def test_a_full_socket_takes_up_again_after_short_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    world, whole = RealWorld(), b"0123456789" * 300_000

    def main() -> Coro[None]:
        stream, far = pair(world)
        taken = stream._send
        monkeypatch.setattr(stream, "_send", lambda data: taken(bytes(data[:70_000])))
        far.setblocking(False)
        stream.write(whole)
        got = bytearray()
        while len(got) < len(whole):
            try:
                got += far.recv(1 << 16)
            except BlockingIOError:
                yield from world.sleep(MS)
        assert bytes(got) == whole and not stream.buffered
        stream.close()
        far.close()

    world.run(main())

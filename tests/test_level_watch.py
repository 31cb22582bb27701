"""Level-triggered streams: unread data must not make an idle loop spin, and no event is missed."""

import socket
from collections.abc import Callable
from typing import Any

import pytest

from stackpitch.loop import MS, ConnectionLost, Coro, RealWorld
from stackpitch.loop.real import RealStream

IDLE = 100 * MS
MAX_POLLS = 12  # of an idle loop during `IDLE`; a spinning one makes thousands


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
def test_unread_events_do_not_make_the_loop_spin(what: str, attended: bool) -> None:
    world = RealWorld()

    def main() -> Coro[None]:
        stream, far = pair(world)
        assert stream.recv_now() is None
        if attended:
            stream.wake_on_input(world.current)
        EVENTS[what](far)
        for _ in range(4):  # one early wake-up is allowed
            yield from world.sleep(IDLE // 4)
        before = world.poll_count
        yield from world.sleep(IDLE)
        assert world.poll_count - before <= MAX_POLLS
        stream.wake_on_input(None)
        received = b""
        try:
            while data := (yield from stream.recv(300)):
                received += data
                if received == b"x" * 1000 and what == "bytes":
                    far.sendall(b"y")
                    received += yield from stream.recv()
                    break
        except ConnectionLost:
            assert "reset" in what
        if "reset" not in what:
            assert received == b"x" * 1000 * ("bytes" in what) + b"y" * (what == "bytes")
        stream.close()

    world.run(main())
    assert not world.handlers, "a closed stream leaves its handler behind"


def test_writing_continues_after_short_writes_and_a_full_socket(monkeypatch: pytest.MonkeyPatch) -> None:
    world, payload = RealWorld(), b"0123456789" * 300_000

    def main() -> Coro[None]:
        stream, far = pair(world)
        send = stream._send
        monkeypatch.setattr(stream, "_send", lambda data: send(bytes(data[:70_000])))
        far.setblocking(False)
        stream.write(payload)
        received = bytearray()
        while len(received) < len(payload):
            try:
                received += far.recv(1 << 16)
            except BlockingIOError:
                yield from world.sleep(MS)
        assert bytes(received) == payload and not stream.buffered
        stream.close()
        far.close()

    world.run(main())

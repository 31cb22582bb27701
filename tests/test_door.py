"""The door on sockets of this machine: how connections end, and what strangers can cost."""

from types import SimpleNamespace
from typing import Any

from stackpitch.gateway.permission import Denials
from stackpitch.interface import Product
from stackpitch.loop import MS, SECOND, ConnectFailed, ConnectionLost, Coro, Group, Stream, World
from stackpitch.loop.real import RealWorld
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.platform.lines import NullMetrics
from stackpitch.platform.listener import PlatformListener
from stackpitch.wire import http

CHAT = Product("chat", "idempotent", "all", 0, 10_000, 0, 600, 40_000, 1, 0)


class Answering:
    """Stands for the host: answers each request that is taken."""

    def __init__(self) -> None:
        self.name, self.requests, self.taken = "h", dict[Any, Any](), list[str]()
        self.denials = Denials()

    def request_arrived(self, ask: Any) -> None:
        self.taken.append(ask.gen.name)
        ask.begin(0)
        ask.forward([b"data: {}\n\n", b"data: [DONE]\n\n"])
        ask.finish()

    def client_departed(self, ask: Any) -> None:
        ask.detach_client()


def door(world: World, host: Any, **odd: Any) -> PlatformListener:
    given: dict[str, Any] = {
        "max_connections": 50,
        "max_bodies": 1 << 20,
        "max_body": 1 << 18,
        "max_head": 1 << 14,
        "head": SECOND // 5,
        "body": SECOND // 5,
        "idle": SECOND,
        "stall": SECOND,
        "margin": MS,
        "fresh": SECOND // 5,
    } | odd
    log: Any = SimpleNamespace(exception=lambda event, **fields: print(event, fields))
    made = PlatformListener(world, host, log, NullMetrics(), None, **given)  # type: ignore[arg-type]
    made.products = {"chat": CHAT}
    return made


def request(name: str, body: bytes = b"{}") -> bytes:
    return http.request(
        "POST",
        "/v1/chat/completions",
        "h",
        body,
        [("req-id", name), ("req-kind", "chat"), ("req-deadline-ms", "900")],
    )


def answer(stream: Stream) -> Coro[http.ResponseParser | None]:
    """None: an end without an answer. Raises ConnectionLost on a reset."""
    reader = http.ResponseParser(1 << 14, 1 << 20)
    while not reader.complete:
        data = yield from stream.recv()
        if not data:
            return None
        reader.feed(data)
    return reader


def played(body: Any, world: World | None = None, **odd: Any) -> Any:
    world, host = world or RealWorld(), Answering()

    def main() -> Coro[Any]:
        def inside(group: Group) -> Coro[Any]:
            made, listener = door(world, host, **odd), world.listen(("127.0.0.1", 0))
            group.spawn(made.serve(group, listener), "door")
            found = yield from body(world, group, made, host, listener.address)
            listener.close()
            group.cancel()
            return found

        return (yield from world.group(inside))

    return world.run(main())


def test_bytes_before_and_after_a_resting_connection_is_shut() -> None:
    """In turn: the request is in the kernel as the gateway looks; it comes on the half-closed connection; both."""

    def body(
        world: RealWorld, group: Group, made: PlatformListener, host: Answering, address: Any
    ) -> Coro[list[Any]]:
        seen = []
        for when in ("before", "after", "both"):
            made.stopping = False
            stream = yield from world.connect(address, SECOND)
            stream.write(request("0" * 15 + str(len(seen))))
            first = yield from answer(stream)
            yield from world.sleep(5 * MS)
            if when != "after":
                stream.write(request("beef" * 4))  # nobody has polled since
            made.close_idle()
            if when != "before":
                stream.write(request("dead" * 4))
            try:
                second = yield from answer(stream)
                end = yield from stream.recv()
            except ConnectionLost as wrong:
                second, end = None, str(wrong).encode()
            seen.append((when, first is not None, second and second.headers.get("connection"), end))
            stream.close()
            yield from world.sleep(5 * MS)
        return [
            seen,
            host.taken.count("beef" * 4),
            host.taken.count("dead" * 4),
            made.connections,
            len(made.lingering),
        ]

    seen, before, after, left, lingering = played(body)
    assert before == 2 and after == 0, "what came before is served, what comes after the half-close never"
    assert seen[0] == ("before", True, "close", b"")
    assert seen[1] == ("after", True, None, b"")
    assert seen[2][:3] == ("both", True, "close")  # the surplus is refused after the answer
    assert left == lingering == 0


def test_an_answer_before_a_close_is_not_lost_to_a_reset() -> None:
    """The client goes on sending while the last answer of its connection is on its way to it."""

    def body(
        world: RealWorld, group: Group, made: PlatformListener, host: Answering, address: Any
    ) -> Coro[int]:
        whole = 0
        for number in range(20):
            made.stopping = False
            stream = yield from world.connect(address, SECOND)
            stream.write(request(f"a{number:015d}"))
            made.stopping = True
            yield from world.sleep(number * 2)
            stream.write(b"x" * 5000)
            yield from world.sleep(5 * MS)
            got = yield from answer(stream)
            whole += got is not None and got.status == 200 and got.headers["connection"] == "close"
            stream.close()
        return whole

    assert played(body) == 20


def test_one_that_asks_and_never_reads_does_not_keep_its_place() -> None:
    def body(world: World, group: Group, made: PlatformListener, host: Answering, address: Any) -> Coro[bool]:
        stream = yield from world.connect(address, SECOND)
        try:
            for _ in range(6000):  # more answers than the buffers between have room for
                stream.write(b"GET /-/healthy HTTP/1.1\r\n\r\n")
                yield from world.sleep(MS)
                if made.connections == 0:
                    return True
        except ConnectionLost:
            pass
        yield from world.sleep(2 * SECOND)
        return made.connections == 0

    assert played(body, VirtualWorld(3))


def test_one_that_sends_on_behind_its_last_answer_is_read_no_further_than_a_body() -> None:
    """At full speed for half a second it would take the others' time; 16 MB leave room for what systems buffer."""

    def body(
        world: RealWorld, group: Group, made: PlatformListener, host: Answering, address: Any
    ) -> Coro[int]:
        stream, sent = (yield from world.connect(address, SECOND)), 0
        stream.write(b"GET /elsewhere HTTP/1.1\r\n\r\n")
        try:
            while sent < 1 << 27:
                stream.write(b"x" * 65536)
                yield from stream.drain()
                sent += 65536
                yield from world.pause()
        except ConnectionLost:
            pass
        stream.close()
        return sent

    assert played(body) < 16 << 20


BAD: dict[str, bytes] = {  # sent over and over, a piece each millisecond, by one that never reads
    "says nothing": b"",
    "a head without an end": b"x",
    "a head over its bound": b"x" * 4000,
    "a body without an end": request("0" * 16)[:-1].replace(b"content-length: 2", b"content-length: 200000"),
    "trailers without an end": b"POST /v1 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n"
    + b"a: b\r\n" * 500,
    "bytes after its request": request("0" * 16) + b"x" * 9000,
    "noise": b"\x07\x80\xff" * 3000,
    "one request after another": request("0" * 16),
}


def test_others_are_served_among_many_that_are_bad() -> None:
    """Ten of each kind, each coming again as it is shut out; fifty good requests among them, one every 20 ms."""

    def body(
        world: RealWorld, group: Group, made: PlatformListener, host: Answering, address: Any
    ) -> Coro[dict[str, int]]:
        most = {
            "connections": 0,
            "body_bytes": 0,
            "lingering": 0,
            "idle_connections": 0,
            "late": 0,
            "lost": 0,
        }

        def bad(kind: str) -> Coro[None]:
            while True:
                try:
                    stream = yield from world.connect(address, SECOND)
                    while not stream.eof:
                        if stream.buffered < 100_000:
                            stream.write(BAD[kind])
                        yield from world.sleep(MS if BAD[kind] else 10 * MS)
                except (ConnectionLost, ConnectFailed):
                    yield from world.sleep(MS)
                else:
                    stream.close()

        for kind in BAD:
            for _ in range(10):
                group.spawn(bad(kind), kind)
        yield from world.sleep(300 * MS)
        for number in range(50):
            begun, got = world.now(), None
            for _ in range(3):  # a connection may be turned away, or make way for another
                try:
                    stream = yield from world.connect(address, SECOND)
                    stream.write(request(f"{number:016x}"))
                    got = yield from answer(stream)
                    stream.close()
                except (ConnectionLost, ConnectFailed):
                    continue
                if got is not None and got.status == 200:
                    break
            most["lost"] += got is None or got.status != 200
            most["late"] += world.now() - begun > 500 * MS
            for table in ("connections", "body_bytes", "lingering", "idle_connections"):
                found = getattr(made, table)
                most[table] = max(most[table], found if isinstance(found, int) else len(found))
            yield from world.sleep(20 * MS)
        return most

    most = played(body, max_connections=120)
    assert most["lost"] == most["late"] == 0, str(most)
    assert most["connections"] <= 120 + 17 and most["body_bytes"] <= 1 << 20, str(most)


def test_a_request_whose_facts_raise_is_answered() -> None:
    """An error that nobody thought of costs its request alone, which is still owed an answer."""

    def body(
        world: RealWorld, group: Group, made: PlatformListener, host: Answering, address: Any
    ) -> Coro[list[int | None]]:
        class Odd(dict[str, Product]):
            def get(self, *_: Any) -> Any:
                raise KeyError("odd")

        found, good = list[int | None](), made.products
        for products in (Odd(), good):
            made.products = products
            stream = yield from world.connect(address, SECOND)
            stream.write(request("a" * 16))
            got = yield from answer(stream)
            found.append(None if got is None else got.status)
            stream.close()
        return found

    assert played(body) == [500, 200]

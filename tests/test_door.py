"""The client listener on real and virtual sockets: how connections end, and what bad clients can cost."""

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


class AnsweringHost:
    """A host that answers each accepted request at once. `accepted`: the ids of the requests."""

    def __init__(self) -> None:
        self.name, self.requests, self.accepted = "h", dict[Any, Any](), list[str]()
        self.denials, self.recently_run = Denials(), None

    def request_arrived(self, client_request: Any) -> None:
        self.accepted.append(client_request.gen.name)
        client_request.begin(0)
        client_request.forward([b"data: {}\n\n", b"data: [DONE]\n\n"])
        client_request.finish()

    def client_departed(self, client_request: Any) -> None:
        client_request.detach_client()


def make_listener(world: World, host: Any, **overrides: Any) -> PlatformListener:
    settings: dict[str, Any] = {
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
    } | overrides
    log: Any = SimpleNamespace(exception=lambda event, **fields: print(event, fields))
    client_listener = PlatformListener(world, host, log, NullMetrics(), **settings)  # type: ignore[arg-type]
    client_listener.products = {"chat": CHAT}
    return client_listener


def request(name: str, body: bytes = b"{}") -> bytes:
    return http.request(
        "POST",
        "/v1/chat/completions",
        "h",
        body,
        [("req-id", name), ("req-kind", "chat"), ("req-deadline-ms", "900")],
    )


def answer(stream: Stream) -> Coro[http.ResponseParser | None]:
    """Reads one response; None if the connection ends without. Raises ConnectionLost on a reset."""
    reader = http.ResponseParser(1 << 14, 1 << 20)
    while not reader.complete:
        data = yield from stream.recv()
        if not data:
            return None
        reader.feed(data)
    return reader


def run_with_listener(body: Any, world: World | None = None, /, **overrides: Any) -> Any:
    world, host = world or RealWorld(), AnsweringHost()

    def main() -> Coro[Any]:
        def inside(group: Group) -> Coro[Any]:
            client_listener, listener = (
                make_listener(world, host, **overrides),
                world.listen(("127.0.0.1", 0)),
            )
            group.spawn(client_listener.serve(group, listener), "door")
            result = yield from body(world, group, client_listener, host, listener.address)
            listener.close()
            group.cancel()
            return result

        return (yield from world.group(inside))

    return world.run(main())


def test_requests_around_the_half_close_of_an_idle_connection() -> None:
    """In turn: the request is in the socket buffer at the check; it arrives after the half-close; both."""

    def body(
        world: RealWorld, group: Group, client_listener: PlatformListener, host: AnsweringHost, address: Any
    ) -> Coro[list[Any]]:
        seen = []
        for when in ("before", "after", "both"):
            client_listener.stopping = False
            stream = yield from world.connect(address, SECOND)
            stream.write(request("0" * 15 + str(len(seen))))
            first = yield from answer(stream)
            yield from world.sleep(5 * MS)
            if when != "after":
                stream.write(request("beef" * 4))  # the loop has not polled since
            client_listener.close_idle()
            if when != "before":
                stream.write(request("dead" * 4))
            try:
                second = yield from answer(stream)
                end = yield from stream.recv()
            except ConnectionLost as error:
                second, end = None, str(error).encode()
            seen.append((when, first is not None, second and second.headers.get("connection"), end))
            stream.close()
            yield from world.sleep(5 * MS)
        return [
            seen,
            host.accepted.count("beef" * 4),
            host.accepted.count("dead" * 4),
            client_listener.connections,
            len(client_listener.lingering),
        ]

    seen, before, after, left, lingering = run_with_listener(body)
    assert before == 2 and after == 0, (
        "a request from before the half-close is served, one from after it never"
    )
    assert seen[0] == ("before", True, "close", b"")
    assert seen[1] == ("after", True, None, b"")
    assert seen[2][:3] == ("both", True, "close")  # the surplus is refused after the answer
    assert left == lingering == 0


def test_an_answer_before_a_close_is_not_lost_to_a_reset() -> None:
    """The client sends on while the last response of its connection is on its way to it."""

    def body(
        world: RealWorld, group: Group, client_listener: PlatformListener, host: AnsweringHost, address: Any
    ) -> Coro[int]:
        complete = 0
        for number in range(20):
            client_listener.stopping = False
            stream = yield from world.connect(address, SECOND)
            stream.write(request(f"a{number:015d}"))
            client_listener.stopping = True
            yield from world.sleep(number * 2)
            stream.write(b"x" * 5000)
            yield from world.sleep(5 * MS)
            received = yield from answer(stream)
            complete += (
                received is not None and received.status == 200 and received.headers["connection"] == "close"
            )
            stream.close()
        return complete

    assert run_with_listener(body) == 20


def test_a_client_that_never_reads_is_cut_off() -> None:
    def body(
        world: World, group: Group, client_listener: PlatformListener, host: AnsweringHost, address: Any
    ) -> Coro[bool]:
        stream = yield from world.connect(address, SECOND)
        try:
            for _ in range(6000):  # more responses than fit into the buffers on the way
                stream.write(b"GET /-/healthy HTTP/1.1\r\n\r\n")
                yield from world.sleep(MS)
                if client_listener.connections == 0:
                    return True
        except ConnectionLost:
            pass
        yield from world.sleep(2 * SECOND)
        return client_listener.connections == 0

    assert run_with_listener(body, VirtualWorld(3))


def test_bytes_after_the_last_response_are_read_up_to_the_size_of_a_body() -> None:
    """Half a second at full speed would take time from other clients; 16 MB allow for kernel buffers."""

    def body(
        world: RealWorld, group: Group, client_listener: PlatformListener, host: AnsweringHost, address: Any
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

    assert run_with_listener(body) < 16 << 20


BAD: dict[str, bytes] = {  # sent repeatedly, once a millisecond, by a client that never reads
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


def test_good_clients_are_served_among_bad_ones() -> None:
    """Ten bad clients of each kind, which reconnect when cut off; fifty good requests, one every 20 ms."""

    def body(
        world: RealWorld, group: Group, client_listener: PlatformListener, host: AnsweringHost, address: Any
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
            begun, received = world.now(), None
            for _ in range(3):  # a connection may be rejected, or evicted for another
                try:
                    stream = yield from world.connect(address, SECOND)
                    stream.write(request(f"{number:016x}"))
                    received = yield from answer(stream)
                    stream.close()
                except (ConnectionLost, ConnectFailed):
                    continue
                if received is not None and received.status == 200:
                    break
            most["lost"] += received is None or received.status != 200
            most["late"] += world.now() - begun > 500 * MS
            for table in ("connections", "body_bytes", "lingering", "idle_connections"):
                found = getattr(client_listener, table)
                most[table] = max(most[table], found if isinstance(found, int) else len(found))
            yield from world.sleep(20 * MS)
        return most

    most = run_with_listener(body, max_connections=120)
    assert most["lost"] == most["late"] == 0, str(most)
    assert most["connections"] <= 120 + 17 and most["body_bytes"] <= 1 << 20, str(most)


def test_a_request_whose_facts_raise_is_answered() -> None:
    """An unforeseen error costs its request alone, which is still owed a response."""

    def body(
        world: RealWorld, group: Group, client_listener: PlatformListener, host: AnsweringHost, address: Any
    ) -> Coro[list[int | None]]:
        class Odd(dict[str, Product]):
            def get(self, *_: Any) -> Any:
                raise KeyError("odd")

        statuses, good = list[int | None](), client_listener.products
        for products in (Odd(), good):
            client_listener.products = products
            stream = yield from world.connect(address, SECOND)
            stream.write(request("a" * 16))
            received = yield from answer(stream)
            statuses.append(None if received is None else received.status)
            stream.close()
        return statuses

    assert run_with_listener(body) == [500, 200]

"""The other ends of a measurement, each a process: a source of streams, bare relays, counting clients.

python -m benchmarks.peers source PORT              answers every leg at once, at the pace that the body asks for
python -m benchmarks.peers bare PORT TO...          a relay on our loop that decides nothing
python -m benchmarks.peers asyncio PORT TO...       the same on the standard library's asyncio streams
python -m benchmarks.peers clients PORT FILE        asks as FILE (JSON) says, prints what it measured as JSON
"""

import asyncio
import json
import sys
import time
from itertools import cycle

import msgspec

from stackpitch.loop import MS, SECOND, ConnectionLost, Coro, Group, RealWorld, Stream
from stackpitch.wire import engine, http, sse

HOST = "127.0.0.1"


def token(number: int) -> bytes:
    """One event as engines send them, with the time of its sending in it."""
    return (
        b'{"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk","created":1700000000,"model":"m","t":%d,'
        b'"choices":[{"index":0,"delta":{"content":" w%03d"},"finish_reason":null}]}'
        % (time.monotonic_ns(), number % 1000)
    )


def source(world: RealWorld, port: int) -> Coro[None]:
    def one(stream: Stream) -> Coro[None]:
        try:
            while True:
                reader = http.RequestParser(1 << 16, 1 << 24)
                while not reader.complete:
                    data = yield from stream.recv()
                    if not data:
                        return
                    reader.feed(data)
                tree = msgspec.json.decode(reader.body())
                transfer = tree.get("kv_transfer_params", {})
                if transfer.get("do_remote_decode"):
                    answer = engine.ReadAnswer(engine.Transfer(transfer["state_id"]), engine.Usage(100, 0))
                    stream.write(http.response(200, msgspec.json.encode(answer)))
                    continue
                stream.write(
                    http.head(
                        200,
                        [
                            ("content-type", "text/event-stream"),
                            ("transfer-encoding", "chunked"),
                            (engine.STATE_HEADER, "fetched"),
                        ],
                    )
                )
                count, gap = tree["x_count"], int(tree["x_gap_ms"] * MS)
                due = world.now()
                for number in range(count):
                    stream.write(http.chunk(sse.event(token(number))))
                    if stream.buffered > 1 << 16:
                        yield from stream.drain(1 << 15)
                    due += gap
                    if gap:
                        yield from world.sleep(due - world.now())
                    elif number % 32 == 31:
                        yield from world.pause()
                stream.write(http.chunk(sse.DONE) + http.LAST_CHUNK)
        except ConnectionLost:
            pass
        finally:
            stream.close()

    def body(group: Group) -> Coro[None]:
        listener = world.listen((HOST, port))
        while True:
            group.spawn(one((yield from listener.accept())), "one")

    yield from world.group(body)


def bare(world: RealWorld, port: int, to: list[int]) -> Coro[None]:
    turn = cycle(to)

    def pump(here: Stream, there: Stream) -> Coro[None]:
        try:
            while data := (yield from here.recv()):
                there.write(data)
                if there.buffered > 1 << 18:
                    yield from there.drain(1 << 17)
        except ConnectionLost:
            pass
        finally:
            there.close()

    def body(group: Group) -> Coro[None]:
        listener = world.listen((HOST, port))
        while True:
            near = yield from listener.accept()
            far = yield from world.connect((HOST, next(turn)), SECOND)
            group.spawn(pump(near, far), "up")
            group.spawn(pump(far, near), "down")

    yield from world.group(body)


async def standard(port: int, to: list[int]) -> None:
    turn = cycle(to)

    async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection(HOST, next(turn))
        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))

    server = await asyncio.start_server(one, HOST, port)
    await server.serve_forever()


def clients(world: RealWorld, port: int, plan: dict) -> Coro[dict]:
    """`streams` at once, each asking `asks` times in a row on a kept connection."""
    firsts: list[int] = []
    delays: list[int] = []
    counts = [0, 0]

    def one(number: int) -> Coro[None]:
        stream = yield from world.connect((HOST, port), 5 * SECOND)
        stream_plan = {
            "model": "m",
            "stream": True,
            "x_count": plan["count"],
            "x_gap_ms": plan["gap_ms"],
            "max_tokens": plan["count"],
            "messages": [{"role": "user", "content": "x" * plan["prompt"]}],
        }
        body = msgspec.json.encode(stream_plan)
        yield from world.sleep(number * plan.get("spread_ms", 0) * MS)
        for ask in range(plan["asks"]):
            headers = [("x-product", "m"), ("x-request-id", f"{number}.{ask}")]
            if plan.get("sessions"):
                headers.append(("x-session-id", f"{number}.{ask // 3}"))
            begun = time.monotonic_ns()
            stream.write(http.request("POST", "/v1/chat/completions", "m", body, headers))
            reader, events, first = http.ResponseParser(1 << 16, 1 << 30), sse.EventParser(), True
            while not reader.complete:
                data = yield from stream.recv()
                if not data:
                    raise ConnectionLost("closed")
                reader.feed(data)
                if reader.status != 200:
                    counts[1] += 1
                    continue
                now = time.monotonic_ns()
                for found in events.feed(b"".join(reader.pieces)):
                    if first:
                        firsts.append(now - begun)
                        first = False
                    if found != b"[DONE]" and (at := found.find(b'"t":')) > 0:
                        counts[0] += 1
                        delays.append(now - int(found[at + 4 : found.index(b",", at)]))
        stream.close()

    def body(group: Group) -> Coro[None]:
        for number in range(plan["streams"]):
            group.spawn(one(number), "one")
        yield from world.pause()

    begun = time.monotonic_ns()
    yield from world.group(body)
    took = (time.monotonic_ns() - begun) / 1e9

    def part(of: list[int], share: float) -> float:
        ranked = sorted(of)
        return ranked[min(len(ranked) - 1, int(share * len(ranked)))] / 1e6 if ranked else 0.0

    return {
        "took_s": took,
        "chunks": counts[0],
        "refused": counts[1],
        "asks": len(firsts),
        "first_ms": [part(firsts, 0.5), part(firsts, 0.99)],
        "delay_ms": [part(delays, 0.5), part(delays, 0.99)],
    }


def main() -> None:
    what, port = sys.argv[1], int(sys.argv[2])
    if what == "asyncio":
        asyncio.run(standard(port, [int(one) for one in sys.argv[3:]]))
        return
    world = RealWorld()
    if what == "source":
        world.run(source(world, port))
    elif what == "bare":
        world.run(bare(world, port, [int(one) for one in sys.argv[3:]]))
    else:
        print(json.dumps(world.run(clients(world, port, json.loads(sys.argv[3])))))


if __name__ == "__main__":
    main()

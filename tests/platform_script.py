"""Parts of the platform gateway's stage: settings, answers as bytes, scripted servers and clients."""

import json
from typing import TYPE_CHECKING, Any

from stackpitch.loop import MS, ConnectionLost, Coro, Stream
from stackpitch.wire import http, sse

if TYPE_CHECKING:
    from platform_stage import Stage

BODY = b'{"stream":true}'
DISCOVERY, DOOR, ID = 7000, 5000, "0123456789abcdef"
SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "me": 0,
    "zone": "a",
    "models": ["r", "w"],
    "bounds": {
        "connIdleMs": 30000,
        "connectTimeoutMs": 250,
        "maxAttempts": 4,
        "retryAfter": True,
        "maxRetryAfterMs": 1000,
        "secondCopies": True,
        "cancel": True,
    },
    "classes": [
        {"name": "chat", "effect": "free", "aimMs": 1000, "deadlineMs": 4000, "worth": 1},
        {
            "name": "pay",
            "effect": "guarded",
            "dedupScope": "all",
            "keyTtlMs": 400,
            "aimMs": 1000,
            "deadlineMs": 4000,
            "worth": 1,
        },
        {"name": "order", "effect": "single_shot", "aimMs": 2500, "deadlineMs": 9000, "worth": 1},
    ],
    "guarantees": {"coldFrom": 0.3, "warmUpMs": 5000, "fallMultiple": 3},
    "extra": {
        "aimUsPer1000PromptTokens": [4e4, 4e4],
        "dutyByKind": ["read", "write"],
        "kvTokens": [100000, 100000],
        "localRead": True,
        "releaseMs": 500,
        "tokenAimMs": [60, 60],
    },
    "report": {"fields": ["utilization", "backlog", "x0"], "via": "piggyback"},
}


def event(word: str) -> bytes:
    choice = {"index": 0, "delta": {"content": word}, "finish_reason": None}
    return http.chunk(sse.event(json.dumps({"choices": [choice]}).encode()))


USAGE = http.chunk(
    sse.event(b'{"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":7}}}')
)
HEAD = http.head(200, [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")])
LAST = http.chunk(sse.DONE) + http.chunk(b": Srv-Load: queue=1,util=0.5,x0=0.3\n\n") + http.LAST_CHUNK
STREAM = HEAD + event("w") + USAGE + LAST
READ = http.response(202, b'{"cached_tokens":4}')
# Acts that send these bytes, after which the connection stays open; a part after | is sent 20 ms later.
WHOLE: dict[str, bytes] = {
    "noise": b"\x07\x80\xffnoise\r\n" * 9,
    "bad-head": b"HTTP/1.1 2x0 OK\r\n\r\n",
    "long-head": b"HTTP/1.1 200 OK\r\na: " + b"x" * 40000,
    "error": http.response(500, b"{}"),
    "declined": http.response(503, b"", [("srv-declined", "1")]),
    "over": http.response(504, b"", [("srv-declined", "1")]),
    "no-state": http.response(410, b"", [("srv-declined", "1")]),
    "unmarked": http.response(503, b""),
    "no-event": HEAD + http.chunk(b"\x01\x02\x03" * 9),
    "empty": HEAD + http.LAST_CHUNK,
    "bad-chunk": HEAD + event("w") + b"|" + b"zz\r\nnoise",
    "unfit-chunk": HEAD + event("w") + b"|" + b"2\r\nabcdef\r\n",
    "huge-chunk": HEAD + event("w") + b"|" + b"c0000000\r\ndata: " + b"x" * 100_000,
    "no-done": HEAD + event("w") + b"|" + http.LAST_CHUNK,
    "early": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" + STREAM,
    "second": STREAM + READ,
    "deep-read": http.response(202, b'{"cached_tokens":' + b"[" * 9000 + b"]" * 9000 + b"}"),
    "odd-read": http.response(202, b'{"cached_tokens":"many"}'),
    "huge-read": http.response(202, b'{"cached_tokens":1%b}' % (b"0" * 30)),
    "odd-load": HEAD
    + event("w")
    + http.chunk(sse.DONE)
    + http.chunk(b": Srv-Load: queue=1e30,util=500,x0=-40\n\n")
    + http.LAST_CHUNK,
    "over-load": HEAD
    + event("w")
    + http.chunk(sse.DONE)
    + http.chunk(b": Srv-Load: queue=1,util=500,x0=1.2\n\n")
    + http.LAST_CHUNK,
    "bad-load": HEAD
    + event("w")
    + http.chunk(sse.DONE)
    + http.chunk(b": Srv-Load: queue=x,,=\n\n")
    + http.LAST_CHUNK,
}


class ScriptedServer:
    """`calls`: method (`HOLD` for a reservation) and id of each request that arrived completely."""

    def __init__(self, stage: "Stage", name: str, port: int) -> None:
        self.stage, self.name, self.port, self.acts = stage, name, port, ["ok"]
        self.calls: list[tuple[str, str]] = []
        self.blind = 0  # time after which a new connection is read
        self.fields: dict[str, list[dict[str, str]]] = {}  # by id: the header fields of each attempt
        # By id: the deadline in ms that each attempt carried, and when it had arrived completely.
        self.deadlines: dict[str, list[tuple[int, int]]] = {}
        self.came: list[
            list[Any]
        ] = []  # of each request: first bytes, bytes received, whether it is complete
        self.listener = stage.world.listen(("127.0.0.1", port))
        stage.group.spawn(self.serve(), name)

    def serve(self) -> Coro[None]:
        while True:
            try:
                stream = yield from self.listener.accept()
            except ConnectionLost:
                return
            self.stage.opened += 1
            self.stage.group.spawn(self.connection(stream), self.name)

    def connection(self, stream: Stream) -> Coro[None]:
        stale = False
        try:
            if self.blind:
                yield from self.stage.world.sleep(self.blind)
            while True:
                reader = http.RequestParser(65536, 1 << 20)
                came = [b"", 0, False]
                while not reader.complete:
                    data = yield from stream.recv()
                    if not data:
                        return
                    if not came[1]:
                        self.came.append(came)
                    came[:2] = [(came[0] + data)[:500], came[1] + len(data)]
                    reader.feed(data)
                came[2] = True
                name = reader.headers.get("req-id") or reader.path.rpartition("/")[2]
                held = reader.path.startswith("/kv/") and reader.method == "POST"
                self.calls.append(("HOLD" if held else reader.method, name))
                if reader.path.startswith("/kv/"):
                    stream.write(http.response(204 if reader.method == "DELETE" else 200, b""))
                    continue
                assert reader.headers["req-deadline-ms"].isdigit() and reader.body() == self.stage.bodies.get(
                    name, BODY
                ), "the request was changed"
                self.fields.setdefault(name, []).append(reader.headers)
                self.deadlines.setdefault(name, []).append(
                    (int(reader.headers["req-deadline-ms"]), self.stage.world.now())
                )
                act, _, number = (self.acts.pop(0) if len(self.acts) > 1 else self.acts[0]).partition(":")
                if stale:
                    stream.abort()
                    return
                stale = act == "stale"
                if act == "echo" and self.name[0] != "r":
                    stream.write(HEAD + event(name) + USAGE + LAST)
                    continue
                yield from self.act(stream, act, int(number or 0))
                if act in ("reset", "cut"):
                    return
        except ConnectionLost:
            pass
        finally:
            self.stage.opened -= 1
            stream.close()

    def act(self, stream: Stream, act: str, number: int) -> Coro[None]:
        """`late:MS`, `words:COUNT`; `cut`, `silence` or `dribble` (bytes of an event that never ends) after
        two words; `reset` or `reset:MS`; `silent`; a key of WHOLE. `echo`: an event with the request's id.
        `stale`: a good answer, but the connection is reset at its next request. `wide:COUNT`, `small:COUNT`:
        events of 4,000 or 400 bytes, as fast as they are read; `endless`, `pings`: events or comments without
        an end."""
        if act in ("wide", "small", "endless", "pings"):
            stream.write(HEAD + event("w"))
            for _ in range(number - 1 if number else 1 << 20):
                stream.write(
                    {
                        "wide": event("w" * 4000),
                        "small": event("w" * 400),
                        "endless": event("w"),
                        "pings": http.chunk(b": ping\n\n"),
                    }[act]
                )
                if number:
                    yield from stream.drain(1 << 16)
                else:
                    yield from self.stage.world.sleep(5 * MS)
            stream.write(USAGE + LAST)
        elif act in WHOLE:
            for part in WHOLE[act].split(b"|"):
                stream.write(part)
                yield from self.stage.world.sleep(20 * MS)
        elif act == "reset":
            yield from self.stage.world.sleep(number * MS)
            stream.abort()
        elif act != "silent":
            yield from self.stage.world.sleep(number * MS if act == "late" else 2 * MS)
            if self.name[0] == "r":
                stream.write(READ)
                return
            stream.write(HEAD)
            for _ in range(number if act == "words" else 2):
                stream.write(event("w"))
                yield from self.stage.world.sleep(50 * MS)
            if act == "dribble":
                for octet in b"data: never whole" * 9:
                    stream.write(http.chunk(bytes([octet])))
                    yield from self.stage.world.sleep(500 * MS)
            if act == "cut":
                stream.abort()
            elif act != "silence":
                stream.write(USAGE + LAST)


class Client:
    """A scripted client and what it received."""

    def __init__(self, stream: Stream, name: str) -> None:
        self.stream, self.id = stream, name
        self.end: str | None = None
        self.why = ""
        self.asked, self.limit = 0, 0  # when it sent its request, ms that it will wait
        self.words, self.after, self.ended, self.last = 0, b"", 0, False
        self.fields: list[str] = []  # of the last answer's head
        self.sent: dict[str, str] = {}  # fields of its last request that are forwarded unchanged
        self.text = ""  # body of the last answer
        self.again = ""
        self.pace = (65536, 0)  # bytes that it reads at a time, ticks between two reads

"""The stage's discovery: a list and its changes, calls that are answered, spoilt or not at all."""

import json
from typing import Any

from stackpitch.loop import MS, SECOND, ConnectionLost, Coro, Stream
from stackpitch.wire import http


class ScriptedDiscovery:
    """A part of the stage."""

    def listing(self, members: list[dict[str, Any]], whole: bool = True) -> dict[str, Any]:
        return {"revision": self.revision, "complete": whole, "members": members}

    def listen(self) -> None:
        self.listeners[self.port] = self.world.listen(("127.0.0.1", self.port))
        self.group.spawn(self.discovery(self.listeners[self.port]), "discovery")

    def discovery(self, listener: Any) -> Coro[None]:
        while True:
            try:
                stream = yield from listener.accept()
            except ConnectionLost:
                return
            self.watching[stream] = listener.address[1]
            self.group.spawn(self.told(stream, listener.address[1]), "watch")

    def told(self, stream: Stream, port: int) -> Coro[None]:
        try:
            while True:
                reader = http.RequestParser(4096, 0)
                while not reader.complete:
                    data = yield from stream.recv()
                    if not data:
                        return
                    reader.feed(data)
                asked, era, spoil = self.world.now(), self.era, self.spoils.pop(0) if self.spoils else "ok"
                self.calls += 1
                query = dict(part.partition("=")[::2] for part in reader.query.split("&"))
                since, wait = int(query.get("since", -1)), int(query.get("timeout_ms", 0)) * MS
                while spoil == "ok" and since == self.revision and self.world.now() - asked < wait:
                    yield from self.world.sleep(5 * MS)
                while self.silent or port != self.port or era != self.era or spoil == "never":
                    yield from self.world.sleep(5 * MS)
                    if stream.eof:
                        return
                whole = since < 0 or since > self.revision
                found = (
                    list(self.members.values())
                    if whole
                    else [one for revision, one in self.news if revision > since]
                )
                if spoil == "part":
                    found, whole = found[:1], False
                yield from self.spoilt(stream, spoil, json.dumps(self.listing(found, whole)).encode())
        except ConnectionLost:
            pass
        finally:
            self.watching.pop(stream, None)
            stream.close()

    def spoilt(self, stream: Stream, spoil: str, body: bytes) -> Coro[None]:
        """`cut` in the middle, a byte a second, or bytes that are no such answer; `last`: good, then closed; `part`: one
        member alone, as if it were news."""
        good = http.response(200, body, [("connection", "close")] if spoil == "last" else [])
        if spoil == "cut":
            stream.write(good[: len(good) // 2])
            yield from self.world.sleep(5 * MS)
            stream.abort()
        elif spoil == "trickle":
            for at in range(len(good)):
                stream.write(good[at : at + 1])
                yield from self.world.sleep(SECOND)
        else:
            stream.write(
                {
                    "deep": http.response(
                        200, b'{"revision":99,"complete":true,"members":[' + b"[" * 9000 + b"]" * 9000 + b"]}"
                    ),
                    "noise": b"\x07\x80noise\r\n",
                    "text": http.response(200, b"no list"),
                    "status": http.response(500, b"{}"),
                    "endless": http.head(200, [("transfer-encoding", "chunked")])
                    + http.chunk(b"x" * 65536) * 33,
                    "large": http.head(200, [("content-length", "20000000")]),
                }.get(spoil, good)
            )

    def do_discovery(self, how: str, *spoils: str) -> None:
        self.silent = how == "silent"
        if how == "next":
            self.spoils = list(spoils)
        elif how == "forgets":
            self.era += 1
        elif how == "moves":
            self.port += 1
            self.listen()
            self.file.write_text(json.dumps(self.configured()))
        elif how in ("cut-off", "back"):
            self.listeners[self.port].block_connections(how == "cut-off")
        elif how == "down":
            self.listeners.pop(self.port).close()
            for stream in [one for one, port in self.watching.items() if port == self.port]:
                stream.abort()
        elif how == "up":
            self.listen()
        if how in ("speaks", "up", "back", "moves"):
            self.told_at, self.calls = self.world.now(), 0

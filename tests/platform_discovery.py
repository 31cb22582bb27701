"""Scripted discovery for the stage: a list, its changes, and calls that are answered, answered badly or not
at all."""

import json
from typing import Any

from stackpitch.loop import MS, SECOND, ConnectionLost, Coro, Stream
from stackpitch.wire import http


class ScriptedDiscovery:
    """Mixed into the stage."""

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
            self.group.spawn(self.connection_to_discovery(stream, listener.address[1]), "watch")

    def connection_to_discovery(self, stream: Stream, port: int) -> Coro[None]:
        try:
            while True:
                reader = http.RequestParser(4096, 0)
                while not reader.complete:
                    data = yield from stream.recv()
                    if not data:
                        return
                    reader.feed(data)
                asked, epoch, kind = (
                    self.world.now(),
                    self.epoch,
                    self.answer_kinds.pop(0) if self.answer_kinds else "ok",
                )
                self.calls += 1
                query = dict(part.partition("=")[::2] for part in reader.query.split("&"))
                since, wait = int(query.get("since", -1)), int(query.get("timeout_ms", 0)) * MS
                while kind == "ok" and since == self.revision and self.world.now() - asked < wait:
                    yield from self.world.sleep(5 * MS)
                while self.silent or port != self.port or epoch != self.epoch or kind == "never":
                    yield from self.world.sleep(5 * MS)
                    if stream.eof:
                        return
                whole = since < 0 or since > self.revision
                members = (
                    list(self.members.values())
                    if whole
                    else [member for revision, member in self.news if revision > since]
                )
                if kind == "part":
                    members, whole = members[:1], False
                body = json.dumps(self.listing(members, whole)).encode()
                if delay := 3 * SECOND if kind == "old" else self.delay:
                    yield from self.world.sleep(delay)
                yield from self.answer_as(stream, kind, body)
        except ConnectionLost:
            pass
        finally:
            self.watching.pop(stream, None)
            stream.close()

    def answer_as(self, stream: Stream, kind: str, body: bytes) -> Coro[None]:
        """Answers a call badly: `cut`: reset in the middle; `trickle`: a byte a second; `last`: a good
        answer, then closed; `part`: only the first member, as a partial list; `old`: 3 s later, the list as
        it was at the call; else bytes that are no valid answer."""
        good = http.response(200, body, [("connection", "close")] if kind == "last" else [])
        if kind == "cut":
            stream.write(good[: len(good) // 2])
            yield from self.world.sleep(5 * MS)
            stream.abort()
        elif kind == "trickle":
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
                }.get(kind, good)
            )

    def do_discovery(self, how: str, *answer_kinds: str) -> None:
        self.silent = how == "silent"
        if how == "next":
            self.answer_kinds = list(answer_kinds)
        elif how == "slow":
            self.delay = int(answer_kinds[0]) * MS
        elif how == "resets":
            for stream in list(self.watching):
                stream.abort()
        elif how == "forgets":
            self.epoch += 1
        elif how == "moves":
            self.port += 1
            self.listen()
            self.file.write_text(json.dumps(self.configured()))
        elif how in ("cut-off", "back"):
            self.listeners[self.port].block_connections(how == "cut-off")
        elif how == "down":
            self.listeners.pop(self.port).close()
            for stream in [open_stream for open_stream, port in self.watching.items() if port == self.port]:
                stream.abort()
        elif how == "up":
            self.listen()
        if how in ("speaks", "up", "back", "moves"):
            self.changed_at, self.calls = self.world.now(), 0

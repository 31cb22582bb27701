"""A stand-in for the place that models are published at: plain HTTP with Range, and troubles on demand.

What it gives is recorded from its side: when, to whom, which bytes of what.
"""

import re
from dataclasses import dataclass, field
from zlib import crc32

from stackpitch.loop import MS, SECOND, Coro, Group, Listener, Lost, Stream, Time, World
from stackpitch.wire import http

RANGE = re.compile(r"bytes=(\d+)-(\d+)")
PART = 64 * 1024


@dataclass(frozen=True)
class Served:
    at: Time
    path: str
    first: int
    size: int
    spoilt: bool = False


@dataclass
class Origin:
    """`files` by path, to be changed at any time. `spoil`: of so many answers in a thousand one byte is wrong, chosen by
    the seed; `refuse`: status for all; `slow`: bytes a second at most for each answer; `breaks`: so many answers in a
    thousand end halfway."""

    world: World
    files: dict[str, bytes] = field(default_factory=dict)
    seed: int = 0
    spoil: int = 0
    refuse: int = 0
    slow: int = 0
    breaks: int = 0
    served: list[Served] = field(default_factory=list)
    count: int = 0

    def serve(self, group: Group, listener: Listener) -> Coro[None]:
        while True:
            try:
                stream = yield from listener.accept()
            except Lost:
                return
            group.spawn(self._connection(stream), "origin")

    def _connection(self, stream: Stream) -> Coro[None]:
        try:
            kept = True
            while kept:
                request = http.RequestReader(16 * 1024, 0)
                while not request.complete:
                    data = yield from stream.recv()
                    if not data:
                        return
                    request.feed(data)
                kept = (yield from self._answer(stream, request)) and request.keep_alive and not request.extra
        except (Lost, http.BadMessage):
            pass
        finally:
            stream.close()

    def _drawn(self, what: str, share: int) -> bool:
        return crc32(f"{self.seed} {what} {self.count}".encode()) % 1000 < share

    def _answer(self, stream: Stream, request: http.RequestReader) -> Coro[bool]:
        self.count += 1
        whole, asked = self.files.get(request.path), RANGE.fullmatch(request.headers.get("range", ""))
        status = self.refuse or (404 if whole is None else 400 if asked is None else 0)
        if status or whole is None or asked is None:
            stream.write(http.response(status, b"{}"))
            return True
        first, last = int(asked[1]), min(int(asked[2]), len(whole) - 1)
        if first > last:
            stream.write(http.response(416, b"", [("content-range", f"bytes */{len(whole)}")]))
            return True
        data, spoilt = bytearray(whole[first:last + 1]), self._drawn("spoil", self.spoil)
        if spoilt:
            data[self.count % len(data)] ^= 0x55
        stream.write(http.head(206, [("content-length", str(len(data))),
                                     ("content-range", f"bytes {first}-{last}/{len(whole)}")]))
        upto = len(data) // 2 if self._drawn("break", self.breaks) else len(data)
        for at in range(0, upto, PART):
            part = bytes(data[at:min(at + PART, upto)])
            stream.write(part)
            self.served.append(Served(self.world.now(), request.path, first + at, len(part), spoilt))
            if self.slow:
                yield from self.world.sleep(max(MS, len(part) * SECOND // self.slow))
            yield from stream.drain(PART)
        return upto == len(data)

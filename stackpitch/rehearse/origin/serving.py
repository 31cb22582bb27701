"""The origin's answers: ranges of its files, whole, spoilt, slow, cut short or refused."""

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from stackpitch.loop import MS, SECOND, ConnectionLost, Coro, Group, Listener, Stream, Time, World
from stackpitch.wire import http

RANGE = re.compile(r"bytes=(\d+)-(\d+)")
FROM = re.compile(r"gateway/(\d{1,4})")  # in its user agent
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
    thousand end halfway. `only`: the numbers of the gateways that a trouble strikes; all, if none is named.
    What it gave goes to `note` if there is one, else into `served`."""

    world: World
    files: dict[str, bytes] = field(default_factory=dict)
    seed: int = 0
    spoil: int = 0
    refuse: int = 0
    slow: int = 0
    breaks: int = 0
    only: dict[str, frozenset[int]] = field(default_factory=dict)
    note: Callable[..., None] | None = None
    served: list[Served] = field(default_factory=list)
    count: int = 0

    def serve(self, group: Group, listener: Listener) -> Coro[None]:
        while True:
            try:
                stream = yield from listener.accept()
            except ConnectionLost:
                return
            group.spawn(self._connection(stream), "origin")

    def _connection(self, stream: Stream) -> Coro[None]:
        try:
            kept = True
            while kept:
                request = http.RequestParser(16 * 1024, 0)
                while not request.complete:
                    data = yield from stream.recv()
                    if not data:
                        return
                    request.feed(data)
                kept = (
                    (yield from self._answer(stream, request))
                    and request.keep_alive
                    and not request.extra_bytes
                )
        except (ConnectionLost, http.BadMessage):
            pass
        finally:
            stream.close()

    def _ill(self, kind: str, whom: int | None) -> int:
        """The strength of a trouble for this caller."""
        only = self.only.get(kind)
        return int(getattr(self, kind)) if not only or whom in only else 0

    def _drawn(self, what: str, share: int) -> bool:
        return crc32(f"{self.seed} {what} {self.count}".encode()) * 2654435761 % 2**32 * 1000 >> 32 < share

    def _gave(self, one: Served, whom: int | None) -> None:
        if self.note is None:
            self.served.append(one)
        else:
            self.note("served", to=whom, path=one.path, first=one.first, size=one.size, spoilt=one.spoilt)

    def _refused(self, stream: Stream, status: int, whom: int | None, path: str, headers: Any = ()) -> bool:
        if self.note is not None:
            self.note("turned away", to=whom, path=path, status=status)
        stream.write(http.response(status, b"{}", headers))
        return True

    def _answer(self, stream: Stream, request: http.RequestParser) -> Coro[bool]:
        self.count += 1
        whole, asked = self.files.get(request.path), RANGE.fullmatch(request.headers.get("range", ""))
        found = FROM.search(request.headers.get("user-agent", ""))
        whom = int(found[1]) if found is not None else None
        status = self._ill("refuse", whom) or (404 if whole is None else 400 if asked is None else 0)
        if status or whole is None or asked is None:
            return self._refused(stream, status, whom, request.path)
        first, last = int(asked[1]), min(int(asked[2]), len(whole) - 1)
        if first > last:
            return self._refused(
                stream, 416, whom, request.path, [("content-range", f"bytes */{len(whole)}")]
            )
        data, spoilt = bytearray(whole[first : last + 1]), self._drawn("spoil", self._ill("spoil", whom))
        if spoilt:
            data[self.count % len(data)] ^= 0x55
        stream.write(
            http.head(
                206,
                [("content-length", str(len(data))), ("content-range", f"bytes {first}-{last}/{len(whole)}")],
            )
        )
        upto = len(data) // 2 if self._drawn("break", self._ill("breaks", whom)) else len(data)
        slow = self._ill("slow", whom)
        for at in range(0, upto, PART):
            part = bytes(data[at : min(at + PART, upto)])
            stream.write(part)
            self._gave(Served(self.world.now(), request.path, first + at, len(part), spoilt), whom)
            if slow:
                yield from self.world.sleep(max(MS, len(part) * SECOND // slow))
            yield from stream.drain(PART)
        return upto == len(data)

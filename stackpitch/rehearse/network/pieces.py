"""Pieces of weights between neighbours: long answers, passed on as they come and recorded in parts.

part: call, sender (who asked), to (who gives), path, first, size, status    bytes of an answer's body, as they were
                                                                             handed on; `first`: their place in the file
"""

import re
from collections.abc import Callable, Iterator

from stackpitch.loop import MS, ConnectFailed, Coro, Stream, World
from stackpitch.rehearse.network.settings import Link, NetworkSettings
from stackpitch.rehearse.network.weather import Fate, Weather
from stackpitch.rehearse.records import Recorder
from stackpitch.wire import http

MOST_HEAD, MOST_BODY = 16384, 1 << 32
RANGE = re.compile(r"bytes=(\d{1,15})-")
PART = 64 * 1024  # handed on at a time, and held here


class Pieces:
    """A caller's connection carries one request after another. A cut that comes on the answer's way stops it there."""

    def __init__(
        self,
        world: World,
        settings: NetworkSettings,
        recorder: Recorder,
        weather: Weather,
        arrives: Callable[[tuple[int, int], Fate], Coro[bool]],
        numbers: Iterator[int],
    ) -> None:
        self.world, self.set, self.recorder, self.weather = world, settings, recorder, weather
        self.arrives, self.numbers = arrives, numbers

    def serve(self, link: Link, stream: Stream, first: http.RequestParser) -> Coro[None]:
        """Raises ConnectionLost, http.BadMessage."""
        reader: http.RequestParser | None = first
        while reader is not None and (yield from self.one(link, stream, reader)):
            reader = yield from self.next(stream)

    def next(self, stream: Stream) -> Coro[http.RequestParser | None]:
        reader = http.RequestParser(MOST_HEAD, 0)
        with self.world.limit(int(self.set.patience_ms * MS)):
            while not reader.complete:
                data = yield from stream.recv()
                if not data:
                    return None
                reader.feed(data)
            return reader
        return None

    def one(self, link: Link, stream: Stream, reader: http.RequestParser) -> Coro[bool]:
        """Whether the connection can be kept."""
        number, fate = next(self.numbers), self.weather.fate((link.sender, link.to))
        if not (yield from self.arrives((link.sender, link.to), fate)):
            return (yield from self.silence(stream))
        try:
            giver = yield from self.world.connect(link.target, int(self.set.connect_ms * MS))
        except ConnectFailed:
            return False
        try:
            headers = [
                (name, value) for name, value in reader.headers.items() if name in ("range", "user-agent")
            ]
            giver.write(
                http.request(
                    reader.method,
                    reader.url.decode("latin-1"),
                    "network",
                    b"",
                    [*headers, ("connection", "close")],
                )
            )
            answer, asked = (
                http.ResponseParser(MOST_HEAD, MOST_BODY),
                RANGE.match(reader.headers.get("range", "")),
            )
            first = int(asked[1]) if asked is not None else 0
            with self.world.limit(int(self.set.patience_ms * MS)) as scope:
                while not answer.complete:
                    data = yield from giver.recv(PART)
                    if not data:
                        return False
                    answer.feed(data)
                    if self.weather.lies("cut", (link.to, link.sender)):
                        return (yield from self.silence(stream))
                    size = sum(map(len, answer.pieces))
                    answer.pieces.clear()
                    if size:
                        self.recorder.note(
                            "part",
                            call=number,
                            sender=link.sender,
                            to=link.to,
                            path=reader.path,
                            first=first,
                            size=size,
                            status=answer.status,
                        )
                        first += size
                    stream.write(data)
                    yield from stream.drain(PART)
            return not scope.expired and reader.keep_alive and not reader.extra_bytes
        finally:
            giver.close()

    def silence(self, stream: Stream) -> Coro[bool]:
        """Nothing comes: the caller waits until it gives up."""
        with self.world.limit(int(self.set.patience_ms * MS)):
            while (yield from stream.recv()):
                pass
        return False

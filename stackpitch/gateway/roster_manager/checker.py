"""The process that reads and checks files for a gateway, and the lines that it answers in."""

import sys
from collections.abc import Mapping
from pathlib import Path

import msgspec

from stackpitch.loop import Child, ConnectionLost, Coro, Stream, Time, World
from stackpitch.membership.bundle import Bundle, ReadRequest
from stackpitch.membership.entries import Entry

LARGEST_ANSWER = 64 << 20


class Lines:
    """Whole lines of a stream."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.data, self.read = stream, bytearray(), 0

    def next(self) -> Coro[bytes]:
        while (end := self.data.find(b"\n")) < 0:
            part = yield from self.stream.recv(1 << 18)
            self.read += len(part)
            if not part or self.read > LARGEST_ANSWER:
                raise ConnectionLost("the checker ended")
            self.data += part
        line = bytes(self.data[:end])
        del self.data[: end + 1]
        return line


class Checker:
    """The process that reads and checks files. One that takes too long or breaks is ended; the next call starts anew."""

    def __init__(self, world: World, errors: str | None = None) -> None:
        self.world, self.errors = world, errors
        self.child: Child | None = None
        self.stream: Stream | None = None

    def check(self, config: Path, given: Mapping[str, str], limit: Time) -> Coro[Bundle]:
        try:
            with self.world.limit(limit) as scope:
                if self.stream is None:
                    self.child, self.stream = self.world.spawn_piped(
                        [sys.executable, "-m", "stackpitch", "checker"], errors=self.errors
                    )
                self.stream.write(msgspec.json.encode(ReadRequest(str(config), dict(given))) + b"\n")
                lines = Lines(self.stream)
                bundle = msgspec.json.decode((yield from lines.next()), type=Bundle)
                entries: list[Entry] = []
                for _ in range(bundle.more):
                    yield from self.world.pause()  # a large list in many short steps
                    entries += msgspec.json.decode((yield from lines.next()), type=list[Entry])
                bundle.entries = tuple(entries)
                return bundle
            assert scope.expired
            why = f"the check took longer than {limit // 10} ms"
        except (ConnectionLost, OSError, msgspec.DecodeError) as wrong:
            why = f"the check broke: {wrong}"
        yield from self.end()
        return Bundle({str(config): ""}, [f"{config}: {why}"])

    def end(self) -> Coro[None]:
        child, self.child = self.child, None
        if self.stream is not None:
            self.stream.close()
            self.stream = None
        if child is not None:
            child.signal(9)
            with self.world.shield():
                yield from child.wait()

"""The child process that reads and checks files for a gateway.

It answers in lines of JSON: a bundle, then its entries.
"""

import sys
from collections.abc import Mapping
from pathlib import Path

import msgspec

from stackpitch.loop import Child, ConnectionLost, Coro, Stream, Time, World
from stackpitch.membership.bundle import Bundle, ReadRequest
from stackpitch.membership.entries import Entry

MAX_ANSWER = 64 << 20  # bytes


class LineReader:
    """Reads complete lines from a stream, of MAX_ANSWER bytes in total at most."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.data, self.read = stream, bytearray(), 0

    def next(self) -> Coro[bytes]:
        """Raises Lost if the stream ends or sends too much."""
        while (end := self.data.find(b"\n")) < 0:
            part = yield from self.stream.recv(1 << 18)
            self.read += len(part)
            if not part or self.read > MAX_ANSWER:
                raise ConnectionLost("the checker ended")
            self.data += part
        line = bytes(self.data[:end])
        del self.data[: end + 1]
        return line


class Checker:
    """Runs the child process. One that takes too long or fails is killed; the next check starts a new one."""

    def __init__(self, world: World, errors: str | None = None) -> None:
        self.world, self.errors = world, errors
        self.child: Child | None = None
        self.stream: Stream | None = None

    def check(self, config: Path, given: Mapping[str, str], limit: Time) -> Coro[Bundle]:
        """Has the files of a configuration read and checked within `limit`.

        A failure of the check itself is reported as a problem of the bundle.
        """
        try:
            with self.world.limit(limit) as scope:
                if self.stream is None:
                    self.child, self.stream = self.world.spawn_piped(
                        [sys.executable, "-m", "stackpitch", "checker"], errors=self.errors
                    )
                self.stream.write(msgspec.json.encode(ReadRequest(str(config), dict(given))) + b"\n")
                lines = LineReader(self.stream)
                bundle = msgspec.json.decode((yield from lines.next()), type=Bundle)
                entries: list[Entry] = []
                for _ in range(bundle.more):
                    yield from self.world.pause()  # decodes a large list in many short steps
                    entries += msgspec.json.decode((yield from lines.next()), type=list[Entry])
                bundle.entries = tuple(entries)
                return bundle
            assert scope.expired
            problem = f"the check took longer than {limit // 10} ms"
        except (ConnectionLost, OSError, msgspec.DecodeError) as error:
            problem = f"the check failed: {error}"
        yield from self.end()
        return Bundle({str(config): ""}, [f"{config}: {problem}"])

    def end(self) -> Coro[None]:
        """Kills the child process, if there is one, and waits for its end."""
        child, self.child = self.child, None
        if self.stream is not None:
            self.stream.close()
            self.stream = None
        if child is not None:
            child.signal(9)
            with self.world.shield():
                yield from child.wait()

"""Where judging runs: step by step on the loop (tests, the virtual world), or in a child whose answer is awaited."""

import sys
from typing import Protocol

import msgspec

from stackpitch.duties.vocabulary.judging.files import Files, Looked, Outcome, Task, judged, looked
from stackpitch.loop import ConnectionLost, Coro, Time, World
from stackpitch.wire.decoding import decode

MOST = 64 << 20  # bytes of a child's answer
REMEDY = "Look at the gateway's standard error; if the files are large, allow more time for judging."


class Way(Protocol):
    """Neither raises for what stands in the files."""

    def look(self, files: Files) -> Coro[Looked]: ...
    def judge(self, task: Task) -> Coro[Outcome]: ...


class InSteps:
    """Others run between steps; a step of reading a large vocabulary takes seconds."""

    def __init__(self, world: World) -> None:
        self.world = world

    def look(self, files: Files) -> Coro[Looked]:
        yield from self.world.pause()
        return looked(files)

    def judge(self, task: Task) -> Coro[Outcome]:
        steps = judged(task)
        while True:
            try:
                next(steps)
            except StopIteration as done:
                found: Outcome = done.value
                return found
            yield from self.world.pause()


class InChild:
    """`python -m stackpitch.duties.vocabulary.judging`: a task in, an answer out, then it ends; killed after `limit`."""

    def __init__(self, world: World, limit: Time = 1_200_000) -> None:
        self.world, self.limit = world, limit

    def look(self, files: Files) -> Coro[Looked]:
        raw = yield from self._asked(Task(files))
        return decode(raw, type=Looked) if raw else Looked("the judging process gave no answer", REMEDY)

    def judge(self, task: Task) -> Coro[Outcome]:
        raw = yield from self._asked(task)
        return decode(raw, type=Outcome) if raw else Outcome("the judging process gave no answer", REMEDY)

    def _asked(self, task: Task) -> Coro[bytes]:
        """Its whole answer; empty if it broke, took too long or was too large."""
        parts, size = list[bytes](), 0
        try:
            child, stream = self.world.spawn_piped(
                [sys.executable, "-m", "stackpitch.duties.vocabulary.judging"]
            )
        except OSError:
            return b""
        try:
            with self.world.limit(self.limit) as scope:
                stream.write(msgspec.json.encode(task) + b"\n")
                while (data := (yield from stream.recv())) and size <= MOST:
                    parts.append(data)
                    size += len(data)
            raw = b"".join(parts)
            return raw[:-1] if raw.endswith(b"\n") and not scope.expired and size <= MOST else b""
        except ConnectionLost:
            return b""
        finally:
            stream.close()
            with self.world.shield():
                if child.code() is None:
                    child.signal(9)
                yield from child.wait()

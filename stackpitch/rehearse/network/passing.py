"""Whole calls on their way: read from the caller, passed on through the weather, answered or not.

What happens to a request doesn't depend on whether its caller still waits: one that is held arrives after its caller has
given up, as packets do.
"""

from itertools import count

from stackpitch.loop import MS, ConnectFailed, ConnectionLost, Coro, Group, Listener, Stream, Task, World
from stackpitch.rehearse.network import sight
from stackpitch.rehearse.network.pieces import Pieces
from stackpitch.rehearse.network.settings import Link, NetworkSettings
from stackpitch.rehearse.network.weather import Fate, Weather
from stackpitch.rehearse.records import Recorder
from stackpitch.wire import http

MAX_HEAD, MAX_BODY = 16384, 1 << 20


class Broken(Exception):
    """The receiver's side refused or broke the connection, which its caller sees at once."""


class Passing:
    """All links. Tables: calls under way (bounded by `most_calls`), and those that wait for a hold to end."""

    def __init__(self, world: World, settings: NetworkSettings, recorder: Recorder, weather: Weather) -> None:
        self.world, self.set, self.recorder, self.weather = world, settings, recorder, weather
        self.patience = int(settings.patience_ms * MS)
        self.numbers = count(1)
        self.under_way = 0
        self.waiting: dict[Task, None] = {}
        self.pieces = Pieces(world, settings, recorder, weather, self.arrives, self.numbers)
        self.owners: dict[
            str, int
        ] = {}  # who was last seen to act as owner; one entry a duty that gateways know

    def changed(self) -> None:
        """The weather has: whoever waits looks again."""
        for task in self.waiting:
            task.wake()

    def serve(self, group: Group, link: Link, listener: Listener) -> Coro[None]:
        while True:
            stream = yield from listener.accept()
            if self.under_way >= self.set.most_calls:
                self.recorder.note("crowded", sender=link.sender, to=link.to)
                stream.abort()
                continue
            self.under_way += 1
            group.spawn(self.call(group, link, stream), "call")

    def call(self, group: Group, link: Link, stream: Stream) -> Coro[None]:
        """One call from a caller's connection; each connection carries one, but for pieces of weights."""
        try:
            with self.world.limit(self.patience) as scope:
                reader = http.RequestParser(MAX_HEAD, MAX_BODY)
                while not reader.complete:
                    data = yield from stream.recv()
                    if not data:
                        return
                    reader.feed(data)
            if scope.expired:
                return
            if reader.method == "GET":
                yield from self.pieces.serve(link, stream, reader)
                return
            number, path = next(self.numbers), (link.sender, link.to)
            fate = self.weather.fate(path)
            seen = sight.of_call(reader.path, reader.body())
            self.recorder.note(
                "call",
                call=number,
                sender=link.sender,
                to=link.to,
                path=reader.path,
                suffered=list(fate.suffered),
                **seen,
            )
            request = http.request(
                reader.method,
                reader.url.decode("latin-1"),
                "network",
                reader.body(),
                [("connection", "close")],
            )
            if fate.repeat and not fate.lost:
                self.under_way += 1
                group.spawn(self.again(link, number, reader.path, request, fate), "again")
            try:
                answer = yield from self.passed(link, number, 0, reader.path, request, fate)
            except Broken:
                if not self.weather.fate((link.to, link.sender)).lost:
                    stream.abort()
                    return
                answer = None
            if answer is not None and seen.get("kind") in ("owner", "write") and b'"word":"yes"' in answer:
                self.owners[seen["duty"]] = link.sender
            if answer is not None and (yield from self.back(link, number, stream, answer)):
                return
            yield from self.silence(stream)
        except (ConnectionLost, http.BadMessage):
            pass
        finally:
            self.under_way -= 1
            stream.close()

    def again(self, link: Link, number: int, path: str, request: bytes, fate: Fate) -> Coro[None]:
        """The whole request once more; nobody hears the answer."""
        try:
            yield from self.world.sleep(fate.repeat)
            yield from self.passed(link, number, 1, path, request, fate)
        except Broken:
            pass
        finally:
            self.under_way -= 1

    def arrives(self, path: tuple[int, int], fate: Fate) -> Coro[bool]:
        """Waits until a message is through; False if it is lost on the way."""
        if fate.lost:
            return False
        if fate.delay:
            yield from self.world.sleep(fate.delay)
        task = self.world.current
        while fate.held and self.weather.lies("hold", path):
            self.waiting[task] = None
            try:
                yield
            finally:
                self.waiting.pop(task, None)
        late = bool(fate.delay or fate.held)  # a cut that came meanwhile takes what is under way with it
        return not (late and self.weather.lies("cut", path))

    def passed(
        self, link: Link, number: int, copy: int, path: str, request: bytes, fate: Fate
    ) -> Coro[bytes | None]:
        """The receiver's answer as it came, if it gave one in time. Raises Broken."""
        begun = self.world.now()
        if not (yield from self.arrives((link.sender, link.to), fate)):
            self.recorder.note("lost", call=number, copy=copy, way="request")
            return None
        try:
            with self.world.limit(self.patience):
                stream = yield from self.world.connect(link.target, int(self.set.connect_ms * MS))
                try:
                    self.recorder.note("passed", call=number, copy=copy)
                    stream.write(request)
                    if fate.half:
                        yield from stream.drain()
                        stream.finish()
                    reader, raw, body = http.ResponseParser(MAX_HEAD, MAX_BODY), b"", b""
                    while not reader.complete:
                        data = yield from stream.recv()
                        if not data:
                            raise ConnectionLost("closed before its answer")
                        reader.feed(data)
                        raw += data
                        body += b"".join(reader.pieces)
                    self.recorder.note(
                        "answered", call=number, copy=copy, **sight.of_answer(path, reader.status, body)
                    )
                    return raw
                finally:
                    stream.close()
        except (ConnectionLost, ConnectFailed, http.BadMessage) as wrong:
            self.recorder.note("unanswered", call=number, copy=copy, why=str(wrong))
            if isinstance(wrong, ConnectFailed) and self.world.now() - begun >= int(self.set.connect_ms * MS):
                return None  # nobody said no
            raise Broken from None
        self.recorder.note("unanswered", call=number, copy=copy, why="no answer in time")
        return None

    def back(self, link: Link, number: int, stream: Stream, answer: bytes) -> Coro[bool]:
        """Whether the caller was answered, whole or by half."""
        path = (link.to, link.sender)
        fate = self.weather.fate(path)
        if not (yield from self.arrives(path, fate)):
            self.recorder.note("lost", call=number, copy=0, way="answer", suffered=list(fate.suffered))
            return False
        try:
            stream.write(answer[: len(answer) // 2] if fate.half else answer)
            yield from stream.drain()
        except ConnectionLost:
            self.recorder.note("lost", call=number, copy=0, way="answer", suffered=[*fate.suffered, "late"])
            return True
        self.recorder.note("half" if fate.half else "delivered", call=number, suffered=list(fate.suffered))
        stream.finish()
        return True

    def silence(self, stream: Stream) -> Coro[None]:
        """Nothing comes: the caller waits until it gives up."""
        with self.world.limit(self.patience):
            while (yield from stream.recv()):
                pass

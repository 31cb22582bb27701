"""Calls that lay faults on paths and call them off."""

from collections.abc import Callable

import msgspec

from stackpitch.loop import ConnectionLost, Coro, Group, Listener, Stream, World
from stackpitch.rehearse.network.settings import Fault
from stackpitch.wire import http


class Control:
    """`change` is told each fault; `owners` gives who was last seen to act as owner, by duty."""

    def __init__(
        self, world: World, change: Callable[[Fault], None], owners: Callable[[], dict[str, int]]
    ) -> None:
        self.world, self.change, self.owners = world, change, owners

    def serve(self, group: Group, listener: Listener) -> Coro[None]:
        while True:
            stream = yield from listener.accept()
            group.spawn(self.one(stream), "control")

    def one(self, stream: Stream) -> Coro[None]:
        reader = http.RequestParser(8192, 1 << 20)
        try:
            while not reader.complete:
                data = yield from stream.recv()
                if not data:
                    return
                reader.feed(data)
            if reader.path == "/owner":
                stream.write(
                    http.response(200, msgspec.json.encode(self.owners()), [("connection", "close")])
                )
                yield from stream.drain()
                return
            try:
                self.change(msgspec.json.decode(reader.body(), type=Fault))
            except msgspec.DecodeError as wrong:
                stream.write(http.response(422, str(wrong).encode(), [("connection", "close")], "text/plain"))
            else:
                stream.write(http.response(200, b"{}", [("connection", "close")]))
            yield from stream.drain()
        except (ConnectionLost, http.BadMessage):
            pass
        finally:
            stream.close()

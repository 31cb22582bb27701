"""The stand-in origin from its start to SIGTERM: what it serves, and the calls that make it ill."""

import signal
from pathlib import Path

import msgspec

from stackpitch.loop import ConnectionLost, Coro, Group, Listener, Stream, World
from stackpitch.rehearse.origin.serving import Origin
from stackpitch.rehearse.origin.settings import OriginSettings, OriginTrouble
from stackpitch.rehearse.records import Recorder
from stackpitch.wire import http


def run_origin(world: World, settings: OriginSettings) -> Coro[None]:
    """Raises OSError on a port that is taken or a file that is missing."""
    recorder = Recorder(world, Path(settings.records), settings.name)
    files = {path: Path(name).read_bytes() for path, name in settings.files.items()}
    origin = Origin(world, files, settings.seed, note=recorder.note)
    caught = world.signals(signal.SIGTERM, signal.SIGINT)

    def told(trouble: OriginTrouble) -> None:
        recorder.note("ill", **msgspec.to_builtins(trouble))
        setattr(origin, trouble.kind, trouble.strength)
        origin.only[trouble.kind] = frozenset(trouble.gateways)

    def body(group: Group) -> Coro[None]:
        group.spawn(origin.serve(group, world.listen((settings.host, settings.port))), "origin")
        group.spawn(control(group, world.listen((settings.host, settings.control_port))), "control")
        recorder.note("up", files=len(files))
        yield from caught()
        group.cancel()

    def control(group: Group, listener: Listener) -> Coro[None]:
        while True:
            group.spawn(one((yield from listener.accept())), "control")

    def one(stream: Stream) -> Coro[None]:
        reader = http.RequestParser(8192, 1 << 16)
        try:
            while not reader.complete:
                data = yield from stream.recv()
                if not data:
                    return
                reader.feed(data)
            status, answer = 200, b"{}"
            try:
                told(msgspec.json.decode(reader.body(), type=OriginTrouble))
            except msgspec.DecodeError as wrong:
                status, answer = 422, str(wrong).encode()
            stream.write(http.response(status, answer, [("connection", "close")]))
            yield from stream.drain()
        except (ConnectionLost, http.BadMessage):
            pass
        finally:
            stream.close()

    yield from world.group(body)

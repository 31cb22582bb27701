"""Calls that bring troubles over an engine and take them away."""

import msgspec

from stackpitch.loop import ConnectionLost, Coro, Group, Stream
from stackpitch.rehearse.engine.machine import Machine
from stackpitch.wire import http


class Control:
    """Drains and troubles, by call."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine

    def trouble(self, name: str, strength: float, on: bool) -> None:
        machine = self.machine
        machine.recorder.note("trouble", name=name, strength=strength, on=on)
        if name == "drain":
            machine.draining = on
        elif name == "refuse":
            if on and machine.listener is not None:
                machine.listener.close()
            elif not on and machine.listener is None:
                machine.listener = machine.world.listen((machine.set.host, machine.set.port))
        elif name == "slow-handshake":
            if machine.listener is not None:
                machine.listener.block_connections(on)
        elif name == "silent":
            if machine.listener is not None:
                machine.listener.block_connections(True)
            machine.ill["hang"] = 1.0
        elif on:
            machine.ill[name] = strength
        else:
            machine.ill.pop(name, None)
        machine.kick()

    def controlled(self, group: Group) -> Coro[None]:
        machine = self.machine
        assert machine.control is not None
        while True:
            stream = yield from machine.control.accept()
            group.spawn(self.one_control(stream), "control")

    def one_control(self, stream: Stream) -> Coro[None]:
        reader = http.RequestParser(8192, 8192)
        try:
            while not reader.complete:
                data = yield from stream.recv()
                if not data:
                    return
                reader.feed(data)
            call = msgspec.json.decode(reader.body())
            self.trouble(call["name"], call.get("strength", 1.0), call["on"])
            stream.write(http.response(200, b"{}", [("connection", "close")]))
            yield from stream.drain()
        except (ConnectionLost, http.BadMessage):
            pass
        finally:
            stream.close()

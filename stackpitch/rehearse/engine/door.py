"""Connections of gateways and of other engines."""

import msgspec

from stackpitch.loop import MS, ConnectionLost, Coro, Group, Stream
from stackpitch.rehearse.engine.legs import Legs
from stackpitch.rehearse.engine.machine import Machine
from stackpitch.rehearse.engine.waits import hung
from stackpitch.wire import engine, http, orca


class Door:
    """What is asked of an engine, one request after another on each connection."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.legs = Legs(machine)

    def serve(self, group: Group) -> Coro[None]:
        machine = self.machine
        while True:
            if machine.listener is None:
                yield from machine.world.sleep(20 * MS)
                continue
            try:
                stream = yield from machine.listener.accept()
            except ConnectionLost:
                machine.listener = None
                continue
            group.spawn(self.connection(stream), "connection")

    def connection(self, stream: Stream) -> Coro[None]:
        ours: list[str] = []  # states read over this connection
        try:
            while True:
                reader = http.RequestParser(65536, 64 << 20)
                while not reader.complete:
                    data = yield from stream.recv()
                    if not data:
                        return
                    reader.feed(data)
                if not (yield from self.answer(stream, reader, ours)):
                    return
        except (ConnectionLost, http.BadMessage):
            pass
        finally:
            stream.close()
            for state in ours:
                self.machine.free(state, "closed")

    def answer(self, stream: Stream, reader: http.RequestParser, ours: list[str]) -> Coro[bool]:
        machine = self.machine
        path = reader.path
        if path in engine.GENERATE_PATHS:
            return (yield from self.legs.leg(stream, reader, ours))
        if path.startswith("/v1/state/fetch/"):
            yield from self.legs.transfer.served(
                stream, path.rpartition("/")[2], reader.headers.get("x-cell", "")
            )
            return True
        if "hang" in machine.ill or machine.fallen:
            yield from hung(stream)
            return False
        if path == engine.HEALTH:
            stream.write(
                http.response(200, b"{}", [(orca.HEADER, machine.report())] if machine.set.reports else [])
            )
        elif path == engine.WEIGHTS:
            if reader.method == "POST":
                call = msgspec.json.decode(reader.body(), type=engine.WeightsCall)
                machine.load(call.model, call.version)
            stream.write(http.response(200, msgspec.json.encode(engine.WeightsAnswer(machine.weights))))
        elif path in (engine.STATE_RELEASE, engine.STATE_HOLD):
            state = msgspec.json.decode(reader.body(), type=engine.StateCall)
            if path == engine.STATE_HOLD:
                held = (
                    not machine.waiting
                    and len(machine.running) + len(machine.places) < machine.set.slots
                    and machine.memory() + state.tok <= machine.set.memory_tok
                )
                if held:
                    machine.places[state.state_id] = (state.tok, machine.world.now())
                    machine.recorder.note(
                        "held",
                        state=state.state_id,
                        kind="place",
                        gateway=reader.headers.get("x-gateway", ""),
                    )
                stream.write(http.response(200, msgspec.json.encode(engine.HoldAnswer(held))))
            else:
                known = machine.free(state.state_id, "released")
                if machine.places.pop(state.state_id, None) is not None:
                    known = True
                    machine.recorder.note("freed", state=state.state_id, how="released", kind="place")
                stream.write(http.response(200 if known else 404, b"{}"))
        else:
            stream.write(
                http.response(404, engine.error_body("no such path", "not_found", "invalid_request_error"))
            )
        yield from stream.drain()
        return True

"""Read states on their way from a reader to a writer, over links of limited speed."""

from stackpitch.loop import MS, SECOND, ConnectFailed, ConnectionLost, Coro, Stream
from stackpitch.rehearse.engine.machine import Machine
from stackpitch.rehearse.engine.waits import hung
from stackpitch.rehearse.engine.work import Work
from stackpitch.wire import http


class Transfer:
    """Both ends: a writer fetches, a reader serves."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine

    def fetch(self, work: Work) -> Coro[bool]:
        """Fetches a read state from its reader; False if it is not there or can't be had."""
        machine = self.machine
        transfer = work.transfer
        address = (transfer.remote_host or "", transfer.remote_port or 0)
        try:
            with machine.world.limit(3 * SECOND):
                stream = yield from machine.world.connect(address, 250 * MS)
                try:
                    target = f"/v1/state/fetch/{transfer.state_id}"
                    stream.write(
                        http.request("GET", target, "reader", b"", [("x-cell", str(machine.set.cell))])
                    )
                    reader = http.ResponseParser(8192, 8192)
                    while not reader.complete:
                        data = yield from stream.recv()
                        if not data:
                            return False
                        reader.feed(data)
                    if reader.status == 200 and machine.set.vocabulary:
                        machine.recorder.note(
                            "took",
                            state=transfer.state_id,
                            vocabulary=machine.set.vocabulary,
                            key=work.key,
                            leg=work.leg,
                            gateway=work.gateway,
                        )
                    return reader.status == 200
                finally:
                    stream.close()
        except (ConnectionLost, ConnectFailed, http.BadMessage):
            pass
        return False

    def served(self, stream: Stream, state: str, cell: str) -> Coro[None]:
        machine = self.machine
        found = machine.states.get(state)
        if "hang" in machine.ill or machine.fallen:
            yield from hung(stream)
            raise ConnectionLost("given up")
        if found is None:
            stream.write(http.response(404, b"{}"))
            return
        near = cell == str(machine.set.cell)
        speed = (machine.set.near_per_s if near else machine.set.far_per_s) / machine.ill.get(
            "slow-link", 1.0
        )
        begin = max(machine.world.now(), machine.link_busy[near])
        machine.link_busy[near] = begin + int(found[0].prompt_tok / speed * SECOND)
        yield from machine.world.sleep(machine.link_busy[near] - machine.world.now())
        if machine.free(state, "fetched"):
            if machine.set.vocabulary:
                machine.recorder.note("gave", state=state, vocabulary=machine.set.vocabulary)
            stream.write(http.response(200, b"{}"))
        else:
            stream.write(http.response(404, b"{}"))
        yield from stream.drain()

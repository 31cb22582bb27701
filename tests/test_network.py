"""The stand-in network between gateways: what each fault does to whole calls, by text scenarios in made-up time."""

import json
from pathlib import Path

import msgspec
import pytest
from play import scenarios

from stackpitch.duties.calls import ANSWER_DECODER, ENCODER, FORMAT_VERSION, Answer, Call, Stamp, encode_body
from stackpitch.loop import MS, SECOND, ConnectFailed, ConnectionLost
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.rehearse.network import Link, NetworkSettings, run_network
from stackpitch.rehearse.network.settings import Fault
from stackpitch.rehearse.records import read_all
from stackpitch.wire import http

HOST = "127.0.0.1"
ALL = scenarios(Path(__file__).parent / "scenarios_network")


def whole(stream, reader):
    pieces = []
    while not reader.complete:
        data = yield from stream.recv()
        if not data:
            return None
        reader.feed(data)
        pieces += reader.pieces
    return b"".join(pieces)


class Play:
    """Two gateways with numbers 0 and 1; each answers a call with the names of all that it has taken, in order."""

    def __init__(self, world, folder):
        self.world, self.told = world, []
        self.taken, self.listeners = {0: [], 1: []}, {}
        self.settings = NetworkSettings(
            port=100,
            records=str(folder / "network.jsonl"),
            seed=7,
            patience_ms=20_000,
            links=[Link(0, 1, 101, (HOST, 201)), Link(1, 0, 110, (HOST, 200))],
        )

    def gateway(self, number):
        listener = self.listeners[number] = self.world.listen((HOST, 200 + number))

        def body(group):
            try:
                while True:
                    group.spawn(self.one(number, (yield from listener.accept())), "one")
            except ConnectionLost:
                pass

        yield from self.world.group(body)

    def one(self, number, stream):
        try:
            reader = http.RequestParser(8192, 1 << 20)
            while not reader.complete:
                data = yield from stream.recv()
                if not data:
                    self.taken[number].append("(cut short)")
                    return
                reader.feed(data)
            call = msgspec.json.decode(reader.body(), type=Call)
            self.taken[number].append(call.kind)
            answer = ENCODER.encode(Answer("yes", call.stamp, encode_body("+".join(self.taken[number]))))
            stream.write(http.response(200, answer, [("connection", "close")]))
            yield from stream.drain()
        except ConnectionLost:
            pass
        finally:
            stream.close()

    def ask(self, sender, to, name, limit):
        body = ENCODER.encode(Call(FORMAT_VERSION, "fleet", sender, to, "weights", name, Stamp(5, 1)))
        what = "nothing"
        with self.world.limit(limit):
            try:
                stream = yield from self.world.connect((HOST, 100 + 10 * sender + to), limit)
                try:
                    stream.write(http.request("POST", "/duty", "g", body))
                    found = yield from whole(stream, http.ResponseParser(8192, 1 << 20))
                    what = "broken" if found is None else json.loads(bytes(ANSWER_DECODER.decode(found).body))
                finally:
                    stream.close()
            except (ConnectionLost, ConnectFailed) as wrong:
                what = str(wrong)
        self.told.append(f"{name}: {what}")

    def fault(self, name, on, kind="cut", strength=100.0, *paths):
        stream = yield from self.world.connect((HOST, 100), SECOND)
        stream.write(
            http.request("POST", "/fault", "d", ENCODER.encode(Fault(name, on, kind, list(paths), strength)))
        )
        assert (yield from whole(stream, http.ResponseParser(8192, 8192))) == b"{}"
        stream.close()

    def line(self, group, words):
        at, what, *rest = words
        yield from self.world.sleep(int(at) * MS)
        if what == "ask":
            sender, _, to = rest[0].partition(">")
            yield from self.ask(int(sender), int(to), rest[1], int(rest[2]) * MS)
        elif what == "down":
            self.listeners[int(rest[0])].close()
        elif what == "off":
            yield from self.fault(rest[0], False)
        else:
            paths = [(int(one[0]), int(one[2])) for one in rest[1:] if ">" in one]
            yield from self.fault(
                rest[0], True, what, float(next((one for one in rest[1:] if ">" not in one), 100)), *paths
            )

    def run(self, lines):
        def day(group):
            group.spawn(run_network(self.world, self.settings), "network")
            for number in self.taken:
                group.spawn(self.gateway(number), "gateway")
            yield from self.world.sleep(MS)
            for line in lines:
                group.spawn(self.line(group, line.split()), line)
            yield from self.world.sleep(15 * SECOND)
            group.cancel()

        self.world.run(self.world.group(day))


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_faults(lines, tmp_path):
    play = Play(VirtualWorld(1), tmp_path)
    play.run([line for line in lines if line[0] not in ">#"])
    found = [f"{number} took {' '.join(names)}" for number, names in play.taken.items() if names] + play.told
    records = read_all(tmp_path)
    for line in (line[2:] for line in lines if line.startswith("> ")):
        if line.startswith("noted"):
            _, count, what, *facts = line.split()
            wanted = dict(fact.split("=") for fact in facts)
            same = [
                one
                for one in records
                if one["what"] == what and all(str(one.get(name)) == text for name, text in wanted.items())
            ]
            assert len(same) == int(count), [line, records]
        else:
            assert line in found, [line, found]
            found.remove(line)
    assert not found, "told and not wanted"


def test_a_fault_that_is_malformed_is_told_so(tmp_path):
    play, answers = Play(VirtualWorld(1), tmp_path), []

    def day(group):
        group.spawn(run_network(play.world, play.settings), "network")
        yield from play.world.sleep(MS)
        stream = yield from play.world.connect((HOST, 100), SECOND)
        stream.write(http.request("POST", "/fault", "d", b'{"name": "x", "on": true, "kind": "rain"}'))
        reader = http.ResponseParser(8192, 8192)
        answers.append((yield from whole(stream, reader)))
        assert reader.status == 422
        group.cancel()

    play.world.run(play.world.group(day))
    assert b"kind" in answers[0]

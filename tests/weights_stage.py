"""Owner, receivers, neighbours and origin on the made-up network, with a ground whose terms the test gives out."""

import random
from pathlib import Path

from stackpitch.duties.calls import ENCODER, RESERVED_KINDS, Answer, Stamp, encode_body
from stackpitch.duties.weights import errors
from stackpitch.duties.weights import manifest as manifests
from stackpitch.duties.weights.placing.disk import RealDisk
from stackpitch.duties.weights.serving import answer
from stackpitch.duties.weights.settings import WeightsSettings
from stackpitch.duties.weights.work import WeightsWork
from stackpitch.loop import MS, SECOND, ConnectionLost, RealWorld
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.rehearse.memorydisk import MemoryDisk
from stackpitch.rehearse.origin import Origin
from stackpitch.wire import http


class SteppedDown(Exception):
    pass


class Engines:
    def __init__(self):
        self.told, self.using, self.calls = [], set(), 0

    def used(self, model, version):
        return (model, version) in self.using

    def released(self, model, version):
        self.calls += 1
        if self.told[-1:] != [(model, version)]:
            self.told.append((model, version))
        yield from ()


class Tenure:
    """`paused`: calls wait here until it is over, as of a process stopped between its look and its send."""

    def __init__(self, stage, number, term):
        self.stage, self.number, self.stamp, self.paused, self.words = (
            stage,
            number,
            Stamp(term, term),
            False,
            [],
        )

    def holds(self):
        return self.stage.term == self.stamp.term

    def write_record(self, value):
        self.stage.record = value
        yield from ()

    def send_call(self, number, kind, body):
        assert kind not in RESERVED_KINDS, "a kind that belongs to leases and records"
        if not self.paused and not self.holds():
            raise SteppedDown
        while self.paused:
            yield from self.stage.world.sleep(10 * MS)
        found = yield from self.stage.call(number, kind, self.stamp, body)
        if found is not None and not found.yes:
            self.words.append((kind, found.word))
            if found.word == "older term":
                raise SteppedDown
        return found


class DutyHost:
    def __init__(self, stage, number):
        self.stage, self.number, self.gateways = stage, number, 8

    def owner(self, duty):
        return self.stage.owner_number

    def ask(self, number, duty, kind, body):
        return (yield from self.stage.call(number, kind, Stamp(), body))


class Node:
    """One gateway's part: a process of the made-up world. Its disk outlives it."""

    def __init__(self, stage, number):
        self.stage, self.number, self.engines = stage, number, Engines()
        self.disk = RealDisk() if stage.real else MemoryDisk()
        self.folder = f"{stage.folder}/{number}" if stage.real else "weights"
        self.log, self.child, self.work, self.fence, self.deaf = [], None, None, Stamp(), False

    def start(self):
        if self.stage.real:
            self.stage.group.spawn(self.run(), f"node {self.number}")
        else:
            self.child = self.stage.world.spawn_child(["node", str(self.number)])

    def kill(self):
        if self.child is not None:
            self.child.signal(9)
            self.disk.opened.clear()
        self.work = None

    def run(self):
        stage = self.stage
        self.work = WeightsWork(
            stage.world,
            DutyHost(stage, self.number),
            WeightsSettings(wanted=stage.path, folder=self.folder),
            stage.world.unique_id(),
            stage.address,
            self.engines,
            lambda vocabulary: vocabulary in stage.admitted,
            revenue=lambda: 1.0 * self.number,
            log=lambda word, **fields: self.log.append((word, fields)),
            disk=self.disk,
        )
        listener = stage.world.listen(("127.0.0.1", 0 if stage.real else 9000 + self.number))
        self.port = listener.address[1]

        def body(group):
            group.spawn(self.work.serve(), "weights")
            while True:
                stream = yield from listener.accept()
                group.spawn(self.connection(stream), "neighbour")

        yield from stage.world.group(body)

    def connection(self, stream):
        try:
            kept = True
            while kept:
                request = http.RequestParser(8192, 0)
                while not request.complete:
                    data = yield from stream.recv()
                    if not data:
                        return
                    request.feed(data)
                self.stage.served.append((self.number, request.path, request.headers.get("range")))
                kept = yield from answer(self.stage.world, self.work.receiver, request, stream)
        except ConnectionLost:
            pass
        finally:
            stream.close()

    def words(self, word):
        return [fields for said, fields in self.log if said == word]


class Stage:
    """`run(script)`: a generator that gets its turns on the world, with the nodes that `tree` names under way."""

    def __init__(self, folder, tree, files, seed=1, real=False):
        self.admitted = set()
        self.folder, self.real = folder, real
        self.path, self.tree, self.served, self.record = str(folder / "wanted.json"), tree, [], b""
        self.term, self.owner_number, self.calls = 0, None, 0
        self.world = (
            RealWorld()
            if real
            else VirtualWorld(seed, latency=5, programs=lambda command: self.nodes[int(command[1])].run())
        )
        self.origin = Origin(self.world, files)
        self.nodes = {
            number: Node(self, number) for site in tree["sites"].values() for number in site["gateways"]
        }
        self.group, self.tenures = None, []

    def address(self, number):
        return f"127.0.0.1:{self.nodes[number].port}"

    def call(self, number, kind, stamp, body):
        """One of a fleet's calls: 200 ms at most, dropped where nobody hears; the fence of the desk."""
        data = ENCODER.encode(body)
        self.calls += 1
        yield from self.world.sleep(5)
        node = self.nodes.get(number)
        if node is None or node.work is None or node.deaf:
            yield from self.world.sleep(200 * MS)
            return None
        if stamp.term and stamp < node.fence:
            return Answer("older term", node.fence)
        node.fence = max(node.fence, stamp)
        found = yield from node.work.handle_call(0, kind, stamp, raw_of(data))
        yield from self.world.sleep(5)
        return found

    def own(self, number):
        """The next term; whoever had the one before is not told."""
        self.term, self.owner_number = self.term + 1, number
        tenure = Tenure(self, number, self.term)
        self.tenures.append(tenure)

        def owning():
            try:
                yield from self.nodes[number].work.run_as_owner(tenure, self.record)
            except (SteppedDown, BaseExceptionGroup):
                tenure.words.append("stepped down")
            except errors.NoWanted as wrong:
                tenure.words.append(wrong.word)

        self.group.spawn(owning(), f"owner {number}")
        return tenure

    def write(self):
        self.tree["version"] += 1
        with open(self.path, "wb") as file:
            file.write(ENCODER.encode(self.tree))

    def until(self, what, limit=30 * SECOND):
        end = self.world.now() + limit
        while not what():
            assert self.world.now() < end, (
                what,
                {number: node.log[-4:] for number, node in self.nodes.items()},
            )
            yield from self.world.sleep(20 * MS)

    def placed(self, number, model, version="1"):
        path = f"{self.nodes[number].folder}/{model}/placed/{version}"
        if self.real:
            return Path(path).read_bytes() if Path(path).exists() else None
        return self.nodes[number].disk.look(path)

    def run(self, script):
        def body(group):
            self.group = group
            listener = self.world.listen(("127.0.0.1", 0 if self.real else 8000))
            for one in self.tree["models"].values():
                one["origin"] = f"127.0.0.1:{listener.address[1]}"
            self.write()
            group.spawn(self.origin.serve(group, listener), "origin")
            for node in self.nodes.values():
                node.start()
            yield from self.world.sleep(10 * MS)
            yield from script(self)
            self.term += 1
            for node in self.nodes.values():
                node.kill()
            group.cancel()

        self.world.run(self.world.group(body))
        if not self.real:
            self.world.close()


def raw_of(data):
    from msgspec import Raw

    return Raw(data)


def model(data, sites, priority=0, version="1", name="m", piece=100_000):
    one = manifests.made(data, piece)
    return {
        "version": version,
        "priority": priority,
        "sites": sites,
        "origin": "127.0.0.1:8000",
        "path": f"/{name}",
        "manifest": one.model_dump(),
    }


def bytes_of(seed, size=1_000_000):
    return random.Random(seed).randbytes(size)


__all__ = ["Stage", "bytes_of", "encode_body", "model"]

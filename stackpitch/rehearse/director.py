"""Plays a day: starts engines, gateways and clients as processes, brings the troubles, gathers the records.

Ports lie below the system's range for outgoing connections, so that none is lost to one while its engine is down.
"""

import os
import signal
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from stackpitch.loop import MS, SECOND, Child, ConnectFailed, Coro, Group, Lost, Time, World
from stackpitch.rehearse import rules
from stackpitch.rehearse.day import ENGINE_TROUBLES, GATEWAY_TROUBLES, TRAFFIC_TROUBLES, Day, StandIn, Trouble
from stackpitch.rehearse.edits import TRAP, Editor
from stackpitch.rehearse.records import Record, Recorder, read_all
from stackpitch.wire import http

FIRST_PORT, LAST_PORT = 18000, 31000
HOST = "127.0.0.1"
TELL_TRIES = 40


@dataclass(slots=True)
class Seat:
    """One engine's place: it stays, its process comes and goes."""

    name: str
    kind: str
    made_of: StandIn
    cell: int
    zone: str
    port: int
    control: int
    cold: bool
    child: Child | None = None
    state: str = "ready"  # as the list will tell
    started_unix_ms: int | None = None


@dataclass(slots=True)
class Post:
    """One gateway's place."""

    name: str
    number: int
    port: int
    admin: int
    child: Child | None = None
    listed: dict[str, str] = field(default_factory=dict)  # states in its list
    telling: bool = False
    news: int = 0  # calls that were to be made


@dataclass(slots=True)
class Outcome:
    """All that a day gave."""

    day: str
    breaches: list[rules.Breach]
    worth: dict[str, rules.Worth]
    legs: int
    generations: int
    ends: dict[str, int]
    modes: dict[str, int] = field(default_factory=dict)
    finished: bool = True
    edits: dict[str, int] = field(default_factory=dict)

    def as_json(self) -> dict[str, Any]:
        counts = {name: sum(one.rule == rule for one in self.breaches) for rule, name in rules.NAMES.items()}
        total = self.worth.get("all", rules.Worth())
        return {
            "day": self.day, "rules": counts, "kept": not self.breaches and self.finished, "g": round(total.g, 4),
            "generations": self.generations, "legs": self.legs,
            "legs_per_generation": round(self.legs / max(1, self.generations), 3), "ends": self.ends,
            "finished": self.finished, "by_part": {name: round(one.g, 4) for name, one in sorted(self.worth.items())},
            "modes": self.modes, "edits": self.edits,
            "breaches": [{"rule": rules.NAMES[one.rule], "key": one.key, "text": one.text, "story": one.story}
                         for one in self.breaches],
        }


class Director:
    """Runs one day in one folder."""

    def __init__(self, world: World, day: Day, folder: Path, broken: str | None, say: Callable[[str], None]) -> None:
        self.world, self.day, self.folder, self.broken, self.say = world, day, folder, broken, say
        self.random = world.chance("director")
        self.recorder = Recorder(world, folder / "director.jsonl", "director")
        self.seats: dict[str, Seat] = {}
        self.posts: dict[str, Post] = {}
        self.trap: Seat  # an engine that no good list names, on days with edits
        self.editors: list[Editor] = []
        self.version = 1
        self.stopping = False
        self.next_port = FIRST_PORT + os.getpid() * 211 % (LAST_PORT - FIRST_PORT)
        self.start: Time = 0

    # Places, files and processes.

    def port(self) -> int:
        """A free one. Where the search begins differs from process to process: days may be played side by side."""
        while True:
            self.next_port = FIRST_PORT + (self.next_port + 1 - FIRST_PORT) % (LAST_PORT - FIRST_PORT)
            port = self.next_port
            try:
                self.world.listen((HOST, port), 1).close()
            except OSError:
                continue
            return port

    def lay_out(self) -> None:
        counts: dict[str, int] = {}
        for group in self.day.fleet:
            made_of = self.day.kinds[group.kind]
            letter = made_of.role[0]
            for number in range(group.count):
                counts[letter] = counts.get(letter, 0) + 1
                name = f"{letter}{counts[letter]}"
                self.seats[name] = Seat(name, group.kind, made_of, group.cells[number % len(group.cells)], group.zone,
                                        self.port(), self.port(), group.born_cold)
        if any(one.kind == "edits" for one in self.day.troubles):
            kind = next(name for name, one in self.day.kinds.items() if one.role == "writer")
            self.trap = Seat(TRAP, kind, self.day.kinds[kind], 1, "", self.port(), self.port(), False)
        for number in range(self.day.gateways):
            self.posts[f"g{number}"] = Post(f"g{number}", number, self.port(), self.port())

    def command(self, *words: str) -> list[str]:
        return [sys.executable, "-m", "stackpitch", *words]

    def start_engine(self, seat: Seat) -> None:
        day, made = self.day, seat.made_of
        seat.started_unix_ms = self.world.wall_ms() if seat.cold else None
        settings = {
            "name": seat.name, "port": seat.port, "control_port": seat.control, "seed": day.seed,
            "records": str(self.folder / f"{seat.name}.jsonl"), "role": made.role, "cell": seat.cell,
            "memory_tok": made.memory_tok, "reports": day.reports, "local_reads": day.module.local_reads,
            "born_cold": seat.cold, "cold_from": day.module.cold_from, "warm_up_ms": day.module.warm_up_ms,
            "fall_multiple": day.module.fall_multiple, "fall_ms": day.rules.fall_ms,
            **{name: getattr(made, name) for name in ("slots", "queue", "kept_tok", "chunk", "step_ms", "per_seq_ms",
                                                      "read_per_s", "near_per_s", "far_per_s")},
        }
        path = self.folder / f"{seat.name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        seat.child = self.world.spawn_child(self.command("engine", str(path)),
                                            output=str(self.folder / f"{seat.name}.log"))
        self.recorder.note("started", name=seat.name)

    def fleet(self) -> dict[str, Any]:
        return {"version": self.version, "servers": [
            {"name": one.name, "host": HOST, "port": one.port, "kind": one.kind, "zone": one.zone, "cell": one.cell,
             "state": one.state, "started_unix_ms": one.started_unix_ms}
            for one in self.seats.values() if one.state != "gone"]}

    def gateway_settings(self, post: Post) -> dict[str, Any]:
        day = self.day
        kinds = {name: {"role": one.role, "memory_tok": one.memory_tok} for name, one in day.kinds.items()}
        module = day.module.model_dump() | {"gateways": day.gateways, "number": post.number,
                                            "zone": day.module.zone or day.fleet[0].zone}
        return {
            "name": post.name, "seed": day.seed * 1000 + post.number, "roster": str(self.folder / f"{post.name}.fleet"),
            "kept": str(self.folder / f"{post.name}.kept"), "membership": day.membership.model_dump(),
            "door": {"port": post.port, "bytes_per_tok": day.bytes_per_tok},
            "admin": {"port": post.admin}, "engines": day.engines.model_dump(), "module": module,
            "products": {name: one.model_dump() for name, one in day.products.items()},
            "customers": {name: one.model_dump() | {"keys": [name]} for name, one in day.customers.items()},
            "kinds": kinds, "load": day.load.model_dump(), "stop": {"finish_ms": 5000.0},
        }

    def start_gateway(self, post: Post) -> None:
        """Starts with the list that it was last told; a first start is told the present one."""
        path, list_path = self.folder / f"{post.name}.json", self.folder / f"{post.name}.fleet"
        path.write_bytes(msgspec.json.encode(self.gateway_settings(post)))
        if not list_path.exists():
            self.write_list(post)
        self.note_told(post, "ready")
        words = ["serve", "-c", str(path)]
        if self.broken is not None:
            words = ["broken", self.broken, "-c", str(path)]
        post.child = self.world.spawn_child(self.command(*words), output=str(self.folder / f"{post.name}.log"))
        self.recorder.note("started", name=post.name)

    def write_list(self, post: Post) -> None:
        """Whole or not at all, as a gateway that starts just now may read it."""
        beside = self.folder / f"{post.name}.fleet.new"
        beside.write_bytes(msgspec.json.encode(self.fleet()))
        os.replace(beside, self.folder / f"{post.name}.fleet")
        post.listed = {one.name: one.state for one in self.seats.values()}

    def note_told(self, post: Post, only: str | None = None) -> None:
        states = {name: state for name, state in post.listed.items() if only in (None, state)}
        self.recorder.note("told", gateway=post.name, version=self.version, states=states)

    def tell(self, group: Group) -> None:
        """The list has changed: each gateway is told after its own delay."""
        self.version += 1
        for post in self.posts.values():
            group.spawn(self.tell_one(post), f"tell {post.name}")

    def tell_one(self, post: Post) -> Coro[None]:
        """A gateway that is down hears nothing, and is told anew some time after its restart.

        What is ready counts as told from before the call: the gateway may use it before its answer is here. What
        drains or is gone counts from the answer on. Calls to one gateway don't overlap: each stands for its own list.
        """
        yield from self.world.sleep(int(self.day.notice_s * self.random.uniform(0.6, 1.4) * SECOND))
        child = post.child
        post.news += 1
        news = post.news
        while post.telling:
            yield from self.world.sleep(5 * MS)
        if post.news != news:  # a later call, which waited as well, tells all that this one would
            return
        post.telling = True
        try:
            for _ in range(TELL_TRIES):
                if child is None or child is not post.child or child.code() is not None:
                    return
                self.write_list(post)
                self.note_told(post, "ready")
                answer = yield from self.call((HOST, post.admin), "/roster/reload?force=1", b"")
                if answer is not None and answer.status == 200:
                    self.note_told(post)
                    return
                self.recorder.note("untold", gateway=post.name, status=None if answer is None else answer.status)
                yield from self.world.sleep(250 * MS)
            raise RuntimeError(f"{post.name} did not take list {self.version} in {TELL_TRIES} calls")
        finally:
            post.telling = False

    def call(self, address: tuple[str, int], target: str, body: bytes, method: str = "POST") -> Coro[
            http.ResponseReader | None]:
        """The whole answer, its body in `pieces`; None if none came."""
        try:
            with self.world.limit(2 * SECOND):
                stream = yield from self.world.connect(address, SECOND)
                try:
                    stream.write(http.request(method, target, "director", body, [("connection", "close")]))
                    reader, pieces = http.ResponseReader(16384, 1 << 22), list[bytes]()
                    while not reader.complete:
                        data = yield from stream.recv()
                        if not data:
                            return None
                        reader.feed(data)
                        pieces += reader.pieces
                    reader.pieces = pieces
                    return reader
                finally:
                    stream.close()
        except (Lost, ConnectFailed, http.BadMessage):
            pass
        return None

    def reachable(self, one: Seat | Post) -> Coro[None]:
        """Waits until a process listens. Raises RuntimeError if it ended instead."""
        for _ in range(600):
            if one.child is not None and (code := one.child.code()) is not None:
                raise RuntimeError(f"{one.name} ended with {code}: {self.last_line(one.name)}")
            try:
                stream = yield from self.world.connect((HOST, one.port), SECOND)
            except ConnectFailed:
                yield from self.world.sleep(30 * MS)
                continue
            stream.close()
            return
        raise RuntimeError(f"{one.name} does not listen on port {one.port}: {self.last_line(one.name)}")

    def last_line(self, name: str) -> str:
        try:
            lines = (self.folder / f"{name}.log").read_text().strip().splitlines()
        except OSError:
            lines = []
        return lines[-1][:300] if lines else "it logged nothing"

    def kill(self, seat: Seat | Post, number: int = signal.SIGKILL) -> None:
        if seat.child is not None:
            self.recorder.note("killed", name=seat.name, signal=number)
            seat.child.signal(number)

    # Troubles.

    def struck(self, trouble: Trouble) -> list[Seat]:
        if trouble.names:
            return [self.seats[name] for name in trouble.names]
        able = [one for one in self.seats.values() if trouble.role in ("any", one.made_of.role)
                and trouble.cell in (None, one.cell)]
        if trouble.cell is not None and trouble.part >= 1:
            return able
        return self.random.sample(able, max(1, min(len(able), round(trouble.part * len(able)))))

    def control(self, seat: Seat, name: str, strength: float, on: bool) -> Coro[None]:
        body = msgspec.json.encode({"name": name, "strength": strength, "on": on})
        yield from self.call((HOST, seat.control), "/trouble", body)

    def trouble(self, group: Group, trouble: Trouble) -> Coro[None]:
        yield from self.world.sleep(self.start + int(trouble.at_s * SECOND) - self.world.now())
        lasts = int(trouble.for_s * SECOND)
        if trouble.kind == "edits":
            yield from self.edit(group, trouble, lasts)
        elif trouble.kind in GATEWAY_TROUBLES:
            yield from self.gateway_trouble(group, trouble, lasts)
        elif trouble.kind in TRAFFIC_TROUBLES:
            self.say(f"{trouble.kind} x{trouble.strength:g} for {trouble.for_s:g} s")  # the clients play it
        elif trouble.kind in ("vanish", "fail-at-once", "silent"):
            yield from self.vanish(group, trouble, lasts)
        elif trouble.kind == "deploy":
            yield from self.deploy(group, trouble, lasts)
        else:
            seats = self.struck(trouble)
            self.say(f"{trouble.kind} x{trouble.strength:g} at {', '.join(one.name for one in seats)}")
            if trouble.kind == "drain":
                for seat in seats:
                    seat.state = "draining"
                self.tell(group)
            for seat in seats:
                yield from self.control(seat, trouble.kind, trouble.strength, True)
            yield from self.world.sleep(lasts)
            for seat in seats:
                yield from self.control(seat, trouble.kind, trouble.strength, False)
                if trouble.kind == "drain":
                    seat.state = "ready"
            if trouble.kind == "drain":
                self.tell(group)
            self.say(f"{trouble.kind} over")

    def vanish(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """Killed with resets, or stopped without a sign; listed as gone late, back cold, listed late."""
        seats = self.struck(trouble)
        self.say(f"{trouble.kind} at {', '.join(one.name for one in seats)}")
        for seat in seats:
            if trouble.kind == "silent":  # cut off as far as others can tell; the process goes on to record its legs
                self.recorder.note("killed", name=seat.name, signal=0)
                yield from self.control(seat, "silent", 1.0, True)
            else:
                self.kill(seat)
        yield from self.world.sleep(lasts // 2)
        for seat in seats:
            seat.state = "gone"
        self.tell(group)
        yield from self.world.sleep(lasts // 2)
        for seat in seats:
            if trouble.kind == "silent":
                self.kill(seat)
            yield from self.back(seat)
        self.tell(group)
        self.say(f"{trouble.kind} over, back cold")

    def back(self, seat: Seat) -> Coro[None]:
        if seat.child is not None:
            yield from seat.child.wait()
        seat.cold, seat.state = self.day.back_cold, "ready"
        if not self.stopping:
            self.start_engine(seat)
            yield from self.reachable(seat)

    def deploy(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """Replaces servers in batches: listed as draining, drained, stopped, back cold. `strength`: a batch's size."""
        seats = self.struck(trouble)
        size = max(1, int(trouble.strength))
        batches = [seats[at:at + size] for at in range(0, len(seats), size)]
        self.say(f"deploy of {len(seats)} servers, {size} at a time")
        for batch in batches:
            began = self.world.now()
            for seat in batch:
                seat.state = "draining"
            self.tell(group)
            for seat in batch:
                yield from self.control(seat, "drain", 1.0, True)
            yield from self.world.sleep(max(int(1.6 * self.day.notice_s * SECOND), lasts // len(batches) // 2))
            for seat in batch:
                self.kill(seat, signal.SIGTERM)
                yield from self.back(seat)
            self.tell(group)
            yield from self.world.sleep(began + lasts // len(batches) - self.world.now())
        self.say("deploy over")

    def edit(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """`strength` edits a second in all, by one editor for each gateway's file."""
        self.say(f"{trouble.strength:g} edits of lists a second")
        until = self.world.now() + lasts
        gap = int(len(self.posts) * SECOND / trouble.strength)
        self.editors = [Editor(self, post, gap) for post in self.posts.values()]

        def body(inner: Group) -> Coro[None]:
            yield from ()
            for editor in self.editors:
                inner.spawn(editor.run(until), f"editor {editor.post.name}")

        yield from self.world.group(body)
        done: dict[str, int] = {}
        for editor in self.editors:
            for what, count in editor.done.items():
                done[what] = done.get(what, 0) + count
        self.recorder.note("edits", done=done)
        self.say(f"edits over: {sum(done.values()) - done.get('broken and rejected', 0)}")

    def gateway_trouble(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """SIGKILL and a restart with the last list only; a roll takes them one after another."""
        count = max(1, min(len(self.posts), round(trouble.part * len(self.posts))))
        posts = self.random.sample(list(self.posts.values()), count)
        self.say(f"{trouble.kind} of {', '.join(one.name for one in posts)}")
        together = [posts] if trouble.kind == "gateway-kill" else [[one] for one in posts]
        for some in together:
            for post in some:
                self.kill(post)
            yield from self.world.sleep(lasts // len(together))
            for post in some:
                if post.child is not None:
                    yield from post.child.wait()
                if not self.stopping:
                    self.start_gateway(post)
                    yield from self.reachable(post)
                    self.note_told(post)  # by its last list
                    if not self.editors:
                        group.spawn(self.tell_one(post), f"tell {post.name}")
        self.say(f"{trouble.kind} over")

    # The day.

    def clients(self) -> Child:
        day = self.day
        settings = {
            "records": str(self.folder / "clients.jsonl"), "seed": day.seed, "start": self.start,
            "length_s": day.length_s, "gateways": {one.name: (HOST, one.port) for one in self.posts.values()},
            "products": [
                {"name": name, "effect": one.effect, "scope": one.scope, "slo_ms": one.slo_ms,
                 "slo_ms_per_ktok": one.slo_ms_per_ktok, "time_limit_ms": one.time_limit_ms,
                 **day.traffic[name].model_dump()}
                for name, one in day.products.items() if name in day.traffic],
            "customers": {name: one.share for name, one in day.customers.items()},
            **day.clients.model_dump(),
            "surges": [{"kind": one.kind, "at_s": one.at_s, "for_s": one.for_s, "part": one.part, "strength": one.strength}
                       for one in day.troubles if one.kind in TRAFFIC_TROUBLES],
        }
        path = self.folder / "clients.json"
        path.write_bytes(msgspec.json.encode(settings))
        return self.world.spawn_child(self.command("clients", str(path)), output=str(self.folder / "clients.log"))

    def play(self) -> Coro[bool]:
        """The whole day; whether all was answered before its end."""
        self.lay_out()
        finished = False
        try:
            seats = [*self.seats.values(), *([self.trap] if hasattr(self, "trap") else [])]
            for seat in seats:
                self.start_engine(seat)
            for seat in seats:
                yield from self.reachable(seat)
            for post in self.posts.values():
                self.start_gateway(post)
            for post in self.posts.values():
                yield from self.reachable(post)
            self.start = self.world.now() + SECOND
            finished = bool((yield from self.world.group(self._body)))
        finally:
            self.stopping = True
            children = [one.child for one in self.posts.values()] + [one.child for one in self.seats.values()]
            children += [self.trap.child] if hasattr(self, "trap") else []
            left = [one for one in children if one is not None]
            for child in left:
                child.signal(signal.SIGKILL)
            with self.world.shield():
                for child in left:
                    yield from child.wait()
        return finished

    def _body(self, group: Group) -> Coro[bool]:
        clients = self.clients()
        for trouble in self.day.troubles:
            group.spawn(self.trouble(group, trouble), f"trouble {trouble.kind}")
        group.spawn(self.progress(), "progress")
        finished = False
        with self.world.limit(self.start - self.world.now() + int((self.day.length_s + self.day.tail_s) * SECOND)):
            finished = (yield from clients.wait()) == 0
        if not finished:
            clients.signal(signal.SIGKILL)
            yield from clients.wait()
        yield from self.world.sleep(SECOND)  # the last releases
        self.stopping = True
        group.cancel()
        return finished

    def progress(self) -> Coro[None]:
        while True:
            yield from self.world.sleep(5 * SECOND)
            at = (self.world.now() - self.start) / SECOND
            self.say(f"{at:.0f} of {self.day.length_s:g} s")


def judge(day: Day, records: list[Record], places: dict[str, tuple[str, int]], finished: bool) -> Outcome:
    """The verdict and the figures of a day's records."""
    figures = rules.RuleFigures(
        int(day.rules.answer_slack_ms * 10), int(day.rules.drain_grace_ms * 10), int(day.rules.release_ms * 10),
        int(day.engines.connect_ms * 10), day.module.max_legs)
    products = {name: rules.Effects(one.effect, one.scope, int(one.memory_ms * 10)) for name, one in day.products.items()}
    breaches = rules.Checker(records, figures, products, places).verdict()
    ends: dict[str, int] = {}
    for one in records:
        if one["what"] == "end":
            ends[one["how"]] = ends.get(one["how"], 0) + 1
    return Outcome(day.name, breaches, rules.worth(records, dict(day.products)),
                   sum(one["what"] == "leg" for one in records), len({one["key"] for one in records if one["what"] == "ask"}),
                   dict(sorted(ends.items())), finished=finished)


def modes(folder: Path) -> dict[str, int]:
    """What the gateways' modules logged, counted by mode."""
    found: dict[str, int] = {}
    for path in sorted(folder.glob("g*.log")):
        for line in path.read_bytes().splitlines():
            try:
                tree = msgspec.json.decode(line)
            except msgspec.DecodeError:
                found["(other output)"] = found.get("(other output)", 0) + 1
                continue
            name = f"mode {tree['mode']}" if tree.get("event") == "mode" else str(tree.get("event"))
            found[name] = found.get(name, 0) + 1
    return dict(sorted(found.items()))


def play(world: World, day: Day, keep: Path | None, broken: str | None, say: Callable[[str], None]) -> Outcome:
    """Plays a day and judges it. Records stay in `keep`, else they go."""
    check(day)
    with tempfile.TemporaryDirectory(prefix="stackpitch-") as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        for old in [*folder.glob("*.jsonl"), *folder.glob("*.fleet"), *folder.glob("*.kept"), *folder.glob("*.log")]:
            old.unlink()
        director = Director(world, day, folder, broken, say)
        finished = world.run(director.play())
        places = {one.name: (one.zone, one.cell) for one in director.seats.values()}
        outcome = judge(day, read_all(folder), places, finished)
        outcome.modes = modes(folder)
        outcome.edits = next((one["done"] for one in read_all(folder) if one["what"] == "edits"), {})
        return outcome


def check(day: Day) -> None:
    """Raises ValueError on what the schema can't see."""
    for name in day.traffic:
        if name not in day.products:
            raise ValueError(f"traffic.{name}: no such product; allowed: {', '.join(day.products)}")
    for number, group in enumerate(day.fleet):
        if group.kind not in day.kinds:
            raise ValueError(f"fleet.{number}.kind: found {group.kind!r}; allowed: {', '.join(day.kinds)}")
    for number, trouble in enumerate(day.troubles):
        if trouble.kind not in (*ENGINE_TROUBLES, *GATEWAY_TROUBLES, *TRAFFIC_TROUBLES):
            raise ValueError(f"troubles.{number}.kind: found {trouble.kind!r}")

"""One customer's settings never show up for another: gateways side by side, and one after a reload.

Scenes of one gateway are `scenarios_platform/reload.txt` and, for requests of several classes and tenants on
one connection and for names that look alike, `scenarios_platform/settings.txt`.
"""

import ast
import io
import json
import os
import signal
import socket
import time
from collections.abc import Iterator
from heapq import heappop
from pathlib import Path
from random import Random
from typing import Any

import pytest
from platform_process import Agent, Gateway, Server, ask, waited
from platform_script import READ, SETTINGS, STREAM, Client, ScriptedServer
from platform_stage import Stage, changed
from test_benchlink import ASK, CONFIG, GEN, START

from benchmarks.decisions import CASES, World
from stackpitch.benchlink import host as adapter
from stackpitch.interface import MS, SECOND, Generation, Product
from stackpitch.interface import Server as Listed
from stackpitch.loop import Coro, Group
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.platform.lines import JsonLog
from stackpitch.platform.serve import serve
from stackpitch.preferences import Preferences, RuledBrain

BY_NAME = {case.name: case for case in CASES}
SOURCES = Path(__file__).parent.parent / "stackpitch"


# Modules.


def begun(name: str, found: list[str]) -> World:
    """A world of several gateways that notes all that their modules ask for."""
    world = World(BY_NAME[name], 5, found.append)
    for door in world.doors:
        world.after(0, lambda one: one.call(one.brain.begin), door)
    world.after(50 * MS, world.traffic)
    world.after(SECOND, world.befall)
    return world


def steps(world: World, seconds: int) -> Iterator[None]:
    while world.events and world.events[0][0] < seconds * SECOND:
        world.now, _, call, of = heappop(world.events)
        call(*of)
        yield


def alone(name: str) -> list[str]:
    found: list[str] = []
    for _ in steps(begun(name, found), 4):
        pass
    return found


@pytest.mark.parametrize(
    "first, second",
    [
        ("reports", "peers-zones"),
        ("peers-zones", "reports"),
        ("all-mixed", "overload"),
        ("overload", "all-mixed"),
        ("zones-mixed", "no-readers"),
    ],
)
def test_modules_side_by_side_decide_as_each_does_alone(first: str, second: str) -> None:
    """Event by event in turn: all that is asked for, with times and limits, line by line."""
    found: dict[str, list[str]] = {first: [], second: []}
    under_way = [steps(begun(name, found[name]), 4) for name in (first, second)]
    while under_way:
        under_way = [one for one in under_way if next(one, one) is None]
    for name in (first, second):
        assert len(found[name]) > 200
        assert found[name] == alone(name)


def test_a_module_made_after_another_has_worked_decides_as_the_first_one() -> None:
    before = alone("peers-zones")
    alone("stormy")
    assert alone("peers-zones") == before


# Instances of the bench's adapter, which live in one process.


def answers(batches: list[list[tuple[int, str]]]) -> dict[int, list[str]]:
    """What each instance asks for, by its number. `batches`: lines, each with the instance that it is for."""
    text = ""
    for number, lines in enumerate(batches, 1):
        text += f"BATCH {7000 + number}.5 {number}\n"
        text += "".join(f"SWITCH_TO {who}\n{line}\n" for who, line in lines) + "EOF_BATCH\n"
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(text.encode()), sink)
    found: dict[int, list[str]] = {}
    for line in sink.getvalue().decode().splitlines():
        word, _, rest = line.partition(" ")
        if word == "AT":
            at = found.setdefault(int(rest), [])
        elif word != "EOR":
            at.append(line)
    return found


def story(who: int, settings: dict[str, Any]) -> list[list[tuple[int, str]]]:
    """A start, then a request whose writer breaks off, and one more."""
    start = [f"PROVISION 7 {json.dumps(settings)}", "\n".join(START[1:])]
    other = ASK.replace(GEN, GEN[::-1])
    return [
        [(who, line) for line in lines]
        for lines in (
            start,
            [ASK],
            [f"COMPLETED {GEN} 0 r prefilled 20.5 0 7 -"],
            [f"COMPLETED {GEN} 1 w cut 30 0 - -"],
            [other],
            [f"COMPLETED {GEN[::-1]} 0 r too_slow 600 0 - -"],
            [f"COMPLETED {GEN[::-1]} 1 w fault 700 0 - -"],
        )
    ]


UNLIKE = changed(
    CONFIG,
    {
        "classes.0.effect": '"free"',
        "classes.0.deadlineMs": "9000",
        "bounds.maxAttempts": "2",
        "bounds.retryAfter": "true",
        "bounds.maxRetryAfterMs": "400",
        "extra.localRead": "false",
    },
)


def test_instances_of_one_adapter_answer_as_each_does_alone() -> None:
    one, other = story(3, CONFIG), story(4, UNLIKE)
    wanted = answers(one) | answers(other)
    assert wanted[3] != wanted[4] and len(wanted[3]) > 4 and len(wanted[4]) > 4
    together = [[*first, *second] for first, second in zip(one, other, strict=True)]
    assert answers(together) == wanted
    assert answers([[*second, *first] for first, second in zip(one, other, strict=True)]) == wanted
    by_line = [
        [line for pair in zip(first, second) for line in pair]
        for first, second in zip(one, other, strict=True)
    ]
    assert answers(by_line) == wanted


# Whole gateways.

ORDER = [
    ("a1", "chat"),
    ("b1", "chat"),
    ("b2", "order"),
    ("a2", "order"),
    ("a3", "pay"),
    ("b3", "pay"),
    ("b4", "lone"),
    ("a4", "lone"),
    ("b5", "chat"),
    ("a5", "chat"),
]
OTHERS: dict[str, str] = {  # of the second gateway
    "classes.0.effect": '"single_shot"',
    "classes.2.effect": '"free"',
    "classes.1.keyTtlMs": "1",
    "classes.3": '{"name":"lone","effect":"free","aimMs":900,"deadlineMs":5000}',
    "bounds.maxAttempts": "2",
    "bounds.maxRetryAfterMs": "300",
    "extra.dutyByKind": '["read","both"]',
    "extra.kvTokens": "[100000,7000]",
    "guarantees.warmUpMs": "900",
    "tenants": '[{"name":"acme","quotaPerS":5}]',
}


class TwoGateways(Stage):
    """Clients named a... ask the first gateway, b... the second, that has settings of its own."""

    def __init__(self, folder: Path, names: str) -> None:
        super().__init__(folder)
        self.folder, self.names = folder, names
        self.world = VirtualWorld(
            7, programs=lambda command: serve(self.world, {"RELAY_CONFIG": command[0]}, self.noted)
        )
        self.asked: dict[str, list[str]] = {name: [] for name in names}
        self.doors: dict[str, Any] = {}

    def noted(self, host: Any, door: Any) -> None:
        asked, send, throttle = self.asked[host.name], host.send, host.throttle
        terminate = host.terminate

        def noted_send(gen: Generation, server: Listed, limit: int) -> Any:
            facts = [
                gen.product.effect,
                gen.product.dedup_window,
                gen.customer and gen.customer.quota_per_s,
                gen.slo(),
            ]
            asked.append(f"send {gen.name} {server.name} {server.role} {server.memory_tok} {facts}")
            return send(gen, server, limit)

        def noted_throttle(gen: Generation, retry_after: int) -> None:
            asked.append(f"throttle {gen.name} {retry_after}")
            throttle(gen, retry_after)

        def noted_terminate(gen: Generation) -> None:
            asked.append(f"terminate {gen.name}")
            terminate(gen)

        host.send, host.throttle, host.terminate = noted_send, noted_throttle, noted_terminate
        self.host, self.door = host, door
        self.doors[host.name] = door

    def start(self) -> Coro[None]:
        for port, name in enumerate(("r1", "w1", "w2"), 6000):
            self.servers[name] = ScriptedServer(self, name, port)
            self.members[name] = self.member(name)
        for name in ("w1", "w2"):
            self.do_server(name, "reset")
        self.listen()
        for place, name in enumerate(self.names):
            conf = self.configured() | {"name": name, "listen": f"127.0.0.1:{5000 + 'ab'.index(name)}"}
            conf["settings"] = changed(SETTINGS, OTHERS if name == "b" else {})
            path = self.folder / f"{place}.json"
            path.write_text(json.dumps(conf))
            self.child = self.world.spawn_child([str(path)])
            yield from self.until(2000, lambda: len(self.doors) > place and self.door.ready, "never ready")  # noqa: B023

    def connect(self, name: str) -> Coro[Client]:
        stream = yield from self.world.connect(("127.0.0.1", 5000 + "ab".index(name[0])), SECOND)
        client = self.clients[name] = Client(stream, name.encode().hex().zfill(16))
        return client

    def play_order(self) -> dict[str, list[str]]:
        def body(group: Group) -> Coro[None]:
            self.group = group
            yield from self.start()
            for name, product in ORDER:
                if name[0] in self.names:
                    yield from self.do_ask(name, product, owner="acme", limit="2500")
                    yield from self.until(4000, lambda: self.clients[name].end is not None, "no end")  # noqa: B023
                    yield from self.world.sleep(3 * SECOND)
            group.cancel()

        def main() -> Coro[None]:
            yield from self.world.group(body)

        self.world.run(main())
        self.world.close()
        return self.asked


@pytest.fixture(scope="module")
def each_alone(tmp_path_factory: pytest.TempPathFactory) -> dict[str, list[str]]:
    return {name: TwoGateways(tmp_path_factory.mktemp(name), name).play_order()[name] for name in "ab"}


@pytest.mark.parametrize("names", ["ab", "ba"])
def test_gateways_side_by_side_do_what_each_does_alone(
    names: str, each_alone: dict[str, list[str]], tmp_path: Path
) -> None:
    """Constructed in both orders, asked in turn. Servers break off each attempt, so effects show."""
    assert len(each_alone["a"]) > 8 and len(each_alone["b"]) > 6
    found = TwoGateways(tmp_path, names).play_order()
    assert found == {name: each_alone[name] for name in names}


# Reloads at any moment.

CHANGES: list[dict[str, str]] = [
    {"settings.classes.0.effect": '"single_shot"'},
    {"settings.classes.0.effect": '"free"'},
    {
        "settings.classes.0.effect": '"guarded"',
        "settings.classes.0.keyTtlMs": "200",
        "settings.classes.0.dedupScope": '"all"',
    },
    {"settings.classes.1.keyTtlMs": "2000"},
    {"settings.classes.1.keyTtlMs": "50"},
    {"settings.classes.2.effect": '"free"'},
    {"settings.classes.2.effect": '"single_shot"'},
    {"settings.classes.1.name": '"paid"'},
    {"settings.classes.1.name": '"pay"'},
    {"settings.bounds.maxAttempts": "2"},
    {"settings.bounds.maxAttempts": "6"},
    {"settings.bounds.connectTimeoutMs": "90"},
    {"settings.extra.dutyByKind": '["read","both"]'},
    {"settings.extra.dutyByKind": '["read","write"]'},
    {"settings.extra.localRead": "false"},
    {"settings.extra.localRead": "true"},
    {"settings.extra.releaseMs": "9000"},
    {"limits.sockets": "34"},
    {"limits.sockets": "256"},
    {"settings.extra.dutyByKind": "3"},
    {},
]
ACTS = [
    "ok",
    "ok",
    "late:60",
    "reset",
    "reset:120",
    "words:8",
    "cut",
    "declined",
    "silent",
    "no-state",
    "unmarked",
]
FAULTS = ("module_raised", "answered_by_host", "module_kept_without_leg", "release_failed")
EFFECTS = {"free": "idempotent", "guarded": "deduplicated", "single_shot": "side-effecting"}


class Reloaded(Stage):
    """Random requests, reloads, troubles and clients that go. What is sent is held against the configuration
    that was in force when its request arrived."""

    def __init__(self, folder: Path, seed: int) -> None:
        super().__init__(folder)
        self.draw, self.in_force = Random(seed), dict[str, Any]()
        self.arrived_under: dict[Generation, dict[str, Any]] = {}
        self.sends = 0

    def ready(self, host: Any, door: Any) -> None:
        super().ready(host, door)
        self.in_force = self.configured()
        arrived, send, write = host.request_arrived, host.send, host.logger._write

        def noted_write(level: str, event: str, fields: dict[str, Any]) -> None:
            if event == "reloaded":
                self.in_force = self.configured()
            write(level, event, fields)

        def noted_arrived(one: Any) -> None:
            self.arrived_under[one.gen] = self.in_force
            arrived(one)

        def noted_send(gen: Generation, server: Listed, limit: int) -> Any:
            self.judge(gen)
            return send(gen, server, limit)

        host.request_arrived, host.send, host.logger._write = noted_arrived, noted_send, noted_write

    def judge(self, gen: Generation) -> None:
        self.sends += 1
        settings = self.arrived_under[gen]["settings"]
        product = next(one for one in settings["classes"] if one["name"] == gen.product.name)
        effect = EFFECTS[product["effect"]]
        assert gen.product.effect == effect and len(gen.legs) < settings["bounds"]["maxAttempts"]
        ran = gen.may_have_run()
        if effect == "side-effecting":
            assert not ran, "sent again"
        elif effect == "deduplicated" and ran:
            assert self.world.now() < ran[0].sent + product["keyTtlMs"] * MS, "sent past its window"

    def story(self) -> Coro[None]:
        draw = self.draw
        yield from self.do_fleet("r1", "r2", "w1", "w2", "w3")
        for number in range(300):
            what = draw.random()
            if what < 0.55:
                name = f"c{number}"
                yield from self.do_ask(
                    name,
                    draw.choice(("chat", "pay", "paid", "order")),
                    limit=str(draw.choice((400, 2500))),
                    key=draw.choice((None, "s", "t")),
                )
                if draw.random() < 0.15:
                    yield from self.world.sleep(draw.randrange(100 * MS))
                    self.do_leave(name, draw.choice(("close", "half", "reset")))
            elif what < 0.75:
                yield from self.do_reload(**draw.choice(CHANGES))
                if self.lines[-1][0] == "reload_failed":
                    self.changes["settings.extra.dutyByKind"] = '["read","write"]'
            else:
                self.do_server(draw.choice(list(self.servers)), *draw.choices(ACTS, k=2))
            yield from self.world.sleep(draw.choice((0, 3, 20 * MS, 150 * MS)))
        for name in self.servers:
            self.do_server(name, "ok")
        yield from self.world.sleep(12 * SECOND)
        assert all(one.end is not None for one in self.clients.values()), "a request has no answer"
        yield from self.expect_idle()
        self.expect_modules("1")
        assert not [line for line in self.lines if line[0] in FAULTS]

    def play_story(self) -> None:
        def body(group: Group) -> Coro[None]:
            self.group = group
            yield from self.story()
            group.cancel()

        def main() -> Coro[None]:
            yield from self.world.group(body)

        self.world.run(main())
        self.world.close()


@pytest.mark.parametrize("seed", range(16))
def test_each_request_is_carried_by_the_settings_it_arrived_under(seed: int, tmp_path: Path) -> None:
    stage = Reloaded(tmp_path, seed)
    stage.play_story()
    assert stage.sends > 100 and len([line for line in stage.lines if line[0] == "reloaded"]) > 8


# What outlives its owner.


def mutable_state(tree: ast.Module) -> list[str]:
    """Names of module and class values that something could be put into, but for constants and fields of
    records; and mutable defaults of arguments."""
    found = []

    def mutable(value: ast.AST | None) -> bool:
        called = isinstance(value, ast.Call) and isinstance(value.func, ast.Name)
        name = value.func.id if called else ""  # type: ignore[union-attr]
        return isinstance(value, (ast.Dict, ast.List, ast.Set)) or name in (
            "dict",
            "list",
            "set",
            "deque",
            "Counter",
        )

    def look(body: list[ast.stmt], record: bool) -> None:
        for node in body:
            if isinstance(node, ast.ClassDef):
                bases = " ".join(ast.unparse(one) for one in [*node.bases, *node.decorator_list])
                look(node.body, "Struct" in bases or "dataclass" in bases)
            elif isinstance(node, (ast.Assign, ast.AnnAssign)) and mutable(node.value) and not record:
                target = ast.unparse(node.targets[0] if isinstance(node, ast.Assign) else node.target)
                if not target.isupper() and target != "__all__":
                    found.append(target)

    look(tree.body, False)
    for node in ast.walk(tree):
        if isinstance(node, (ast.FunctionDef, ast.Lambda)):
            found += [
                ast.unparse(one) for one in [*node.args.defaults, *node.args.kw_defaults] if mutable(one)
            ]
        if isinstance(node, ast.Global):
            found += node.names
    return found


def test_no_module_class_or_default_holds_state() -> None:
    """All that a gateway of the platform consists of. Names in capitals are tables that nothing writes to."""
    parts = ("platform", "gateway", "brain", "wire", "loop", "benchlink")
    files = [path for part in parts for path in (SOURCES / part).rglob("*.py")] + list(SOURCES.glob("*.py"))
    found = {
        str(path.relative_to(SOURCES)): state
        for path in files
        if (state := mutable_state(ast.parse(path.read_text())))
    }
    assert len(files) > 60 and not found


def test_the_finder_of_state_finds_it() -> None:
    text = "class Door:\n    products: dict = {}\n\ncache = dict()\n\ndef f(a=[]): global b\n"
    assert mutable_state(ast.parse(text)) == ["products", "cache", "[]", "b"]


def test_classes_named_as_the_fields_of_a_line_are_told(capsys: pytest.CaptureFixture[str]) -> None:
    lines = JsonLog("n0")
    for product in ("event", "level", "gateway", "self", "chat"):
        lines.log(0, "generation", product=product, end="streamed", legs=[])
    lines.log_outcomes()
    told = json.loads(capsys.readouterr().err)
    assert (told["event"], told["level"], told["gateway"]) == ("classes", "info", "n0")
    assert {name for name, value in told.items() if value == {"came": 1, "streamed": 1}} == {
        "class event",
        "class level",
        "class gateway",
        "self",
        "chat",
    }


# Rule 4 over reloads.


class Sends:
    """Notes which server each generation was sent to."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    def send(self, gen: Generation, server: Listed, limit: int) -> Any:
        raise NotImplementedError

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


def module(number: int = 0, gateways: int = 1) -> RuledBrain:
    return RuledBrain(
        Sends(),
        1,
        Preferences(),
        number=number,
        gateways=gateways,
        zone="a",
        max_legs=4,
        max_retry_after=0,  # type: ignore[abstract, arg-type]
        fall_multiple=2.0,
        must_ask=False,
        cold_from=0.1,
        warm_up=1000 * SECOND,
        local_reads=True,
    )


CHAT = Product("chat", "idempotent", "all", 0, SECOND, 0, 0, 4 * SECOND, 1.0, 0.1)


GATEWAYS, LOOKUPS = 20, 200


def turns(reload_every: int, number: int) -> int:
    """How many lookups, 10 ms apart, go to the cold one of ten readers, with a reload after so many."""
    servers = [
        Listed(f"r{place}", "a", "r", 1, "reader", 1000, started=0 if place == 0 else None)
        for place in range(10)
    ]
    servers.append(Listed("w0", "a", "w", 1, "writer", 1000))
    brain, drawn = module(number, GATEWAYS), 0
    brain.roster(0, servers, True)
    for lookup in range(LOOKUPS):
        now = lookup * 10 * MS
        if lookup and lookup % reload_every == 0:
            before, brain = brain, module(number, GATEWAYS)
            brain.begin(now)
            brain.roster(now, servers, True)
            brain.continue_slow_start(before)
        gen = Generation(
            f"g{lookup}", CHAT, None, None, None, 0, 100, 10, None, now, now + 4 * SECOND, False, False
        )
        drawn += goes_cold(brain, now, gen, servers[0])
    return drawn


def goes_cold(brain: RuledBrain, now: int, gen: Generation, cold: Listed) -> bool:
    """Looks its reader up; all that is looked up gets done."""
    fleet = brain.fleet
    usable = fleet.usable("reader", now, gen)
    lookups_by_warmth, _ = fleet.lookup_capacity["reader"]
    fleet.legs_done["reader"] = lookups_by_warmth / max(0.1, fleet.warm_capacity["reader"])
    return cold in [seat.server for seat in usable]


@pytest.mark.parametrize("every", [1, 7, 40])
def test_a_cold_server_is_sent_no_more_over_reloads(every: int) -> None:
    """By each gateway, wherever it starts to count, and so by all of them."""
    for number in range(GATEWAYS):
        assert turns(every, number) <= turns(LOOKUPS, number) + 1


def test_the_module_before_draws_no_cold_server_any_more() -> None:
    servers = [
        Listed(f"r{place}", "a", "r", 1, "reader", 1000, started=0 if place == 0 else None)
        for place in range(10)
    ]
    before, after = module(), module()
    for one in (before, after):
        one.roster(0, servers, True)
    after.continue_slow_start(before)
    gens = [
        Generation(f"g{number}", CHAT, None, None, None, 0, 100, 10, None, 0, 9, False, False)
        for number in range(400)
    ]
    found = {one: sum(goes_cold(one, 5, gen, servers[0]) for gen in gens) for one in (before, after)}
    assert found[before] == 0 < found[after]


# The real process.


def status(port: int, name: str, product: str) -> bytes:
    with ask(port, name, product) as stream:
        return stream.recv(4096).split(b" ")[1]


def test_a_running_process_takes_settings_anew_and_stops_when_told_at_once(tmp_path: Path) -> None:
    agent = Agent()
    servers = [Server("r1", READ), Server("w1", STREAM)]
    for one in servers:
        one.go.set()
    agent.members = [one.member for one in servers]
    with Gateway(tmp_path, agent) as gateway:
        file = tmp_path / "c"
        good = json.loads(file.read_text())

        def told(config: str) -> None:
            file.write_text(config)
            os.kill(gateway.process.pid, signal.SIGHUP)

        assert waited(lambda: reachable(gateway.port), 10)
        with agent.told(5):
            assert status(gateway.port, "0" * 16, "chat") == b"200"
            assert status(gateway.port, "1" * 16, "lone") == b"400"
            told(json.dumps(changed(good, {"settings.classes.0.name": '"lone"'})))
            time.sleep(0.2)
            assert status(gateway.port, "2" * 16, "lone") == b"200"
            assert status(gateway.port, "3" * 16, "chat") == b"400"
            told("{not json")
            time.sleep(0.2)
            assert status(gateway.port, "4" * 16, "lone") == b"200"
            told(json.dumps(good))
            os.kill(gateway.process.pid, signal.SIGTERM)
            time.sleep(0.2)  # both are heard; connections still come for 0.7 s
            assert status(gateway.port, "5" * 16, "chat") == b"200"
            assert gateway.process.wait(10) == 0


def reachable(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), 1).close()
    except OSError:
        return False
    return True

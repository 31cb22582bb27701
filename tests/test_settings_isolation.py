"""Settings never leak: between gateways in one process, or into requests that arrive after a reload.

Scenarios of a single gateway are in `scenarios_platform/reload.txt`; those with several classes and tenants
on one connection, and with similar names, are in `scenarios_platform/settings.txt`.
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
from stackpitch.interface import Server as ListedServer
from stackpitch.loop import Coro, Group
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.platform.lines import JsonLog
from stackpitch.platform.serve import serve
from stackpitch.preferences import Preferences, RuledBrain

BY_NAME = {case.name: case for case in CASES}
SOURCES = Path(__file__).parent.parent / "stackpitch"


# Decision modules in one process.


def started_world(name: str, actions: list[str]) -> World:
    """A simulated world of several gateways that records every action of their decision modules."""
    world = World(BY_NAME[name], 5, actions.append)
    for door in world.doors:
        world.after(0, lambda gateway: gateway.call(gateway.brain.begin), door)
    world.after(50 * MS, world.traffic)
    world.after(SECOND, world.befall)
    return world


def steps(world: World, seconds: int) -> Iterator[None]:
    """Runs the world event by event, and yields after each."""
    while world.events and world.events[0][0] < seconds * SECOND:
        world.now, _, callback, arguments = heappop(world.events)
        callback(*arguments)
        yield


def actions_alone(name: str) -> list[str]:
    """The actions of a world that runs alone in the process."""
    actions: list[str] = []
    for _ in steps(started_world(name, actions), 4):
        pass
    return actions


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
def test_interleaved_modules_decide_as_each_does_alone(first: str, second: str) -> None:
    """Two worlds run in turn, event by event; every action is compared, with its times and limits."""
    actions: dict[str, list[str]] = {first: [], second: []}
    running = [steps(started_world(name, actions[name]), 4) for name in (first, second)]
    while running:
        running = [run for run in running if next(run, run) is None]
    for name in (first, second):
        assert len(actions[name]) > 200
        assert actions[name] == actions_alone(name)


def test_a_module_created_after_another_has_run_decides_as_the_first_one() -> None:
    before = actions_alone("peers-zones")
    actions_alone("stormy")
    assert actions_alone("peers-zones") == before


# Instances of the simulator adapter, which live in one process.


def answers(batches: list[list[tuple[int, str]]]) -> dict[int, list[str]]:
    """The reply lines of each instance, by its number. `batches`: lines, each with the instance it is for."""
    text = ""
    for number, lines in enumerate(batches, 1):
        text += f"BATCH {7000 + number}.5 {number}\n"
        text += "".join(f"SWITCH_TO {who}\n{line}\n" for who, line in lines) + "EOF_BATCH\n"
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(text.encode()), sink)
    replies: dict[int, list[str]] = {}
    for line in sink.getvalue().decode().splitlines():
        message, _, rest = line.partition(" ")
        if message == "AT":
            lines_of_instance = replies.setdefault(int(rest), [])
        elif message != "EOR":
            lines_of_instance.append(line)
    return replies


def session_batches(who: int, settings: dict[str, Any]) -> list[list[tuple[int, str]]]:
    """A start, then a request whose writer breaks off, and one more request."""
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


OTHER_CONFIG = changed(
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
    one, other = session_batches(3, CONFIG), session_batches(4, OTHER_CONFIG)
    expected = answers(one) | answers(other)
    assert expected[3] != expected[4] and len(expected[3]) > 4 and len(expected[4]) > 4
    together = [[*first, *second] for first, second in zip(one, other, strict=True)]
    assert answers(together) == expected
    assert answers([[*second, *first] for first, second in zip(one, other, strict=True)]) == expected
    by_line = [
        [line for pair in zip(first, second) for line in pair]
        for first, second in zip(one, other, strict=True)
    ]
    assert answers(by_line) == expected


# Gateways in one virtual world.

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
CHANGES_OF_B: dict[str, str] = {  # to the settings of the second gateway
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
    """Clients named a... use the first gateway, b... the second, which has other settings."""

    def __init__(self, folder: Path, names: str) -> None:
        super().__init__(folder)
        self.folder, self.names = folder, names
        self.world = VirtualWorld(
            7, programs=lambda command: serve(self.world, {"RELAY_CONFIG": command[0]}, self.recorded)
        )
        self.actions: dict[str, list[str]] = {name: [] for name in names}
        self.doors: dict[str, Any] = {}

    def recorded(self, host: Any, door: Any) -> None:
        actions, send, throttle = self.actions[host.name], host.send, host.throttle
        terminate = host.terminate

        def recording_send(gen: Generation, server: ListedServer, limit: int) -> Any:
            facts = [
                gen.product.effect,
                gen.product.dedup_window,
                gen.customer and gen.customer.quota_per_s,
                gen.slo(),
            ]
            actions.append(f"send {gen.name} {server.name} {server.role} {server.memory_tok} {facts}")
            return send(gen, server, limit)

        def recording_throttle(gen: Generation, retry_after: int) -> None:
            actions.append(f"throttle {gen.name} {retry_after}")
            throttle(gen, retry_after)

        def recording_terminate(gen: Generation) -> None:
            actions.append(f"terminate {gen.name}")
            terminate(gen)

        host.send, host.throttle, host.terminate = recording_send, recording_throttle, recording_terminate
        self.host, self.door = host, door
        self.doors[host.name] = door

    def start(self) -> Coro[None]:
        for port, name in enumerate(("r1", "w1", "w2"), 6000):
            self.servers[name] = ScriptedServer(self, name, port)
            self.members[name] = self.member(name)
        for name in ("w1", "w2"):
            self.do_server(name, "reset")
        self.listen()
        for position, name in enumerate(self.names):
            conf = self.configured() | {"name": name, "listen": f"127.0.0.1:{5000 + 'ab'.index(name)}"}
            conf["settings"] = changed(SETTINGS, CHANGES_OF_B if name == "b" else {})
            path = self.folder / f"{position}.json"
            path.write_text(json.dumps(conf))
            self.child = self.world.spawn_child([str(path)])
            yield from self.until(2000, lambda: len(self.doors) > position and self.door.ready, "never ready")  # noqa: B023

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
        return self.actions


@pytest.fixture(scope="module")
def each_alone(tmp_path_factory: pytest.TempPathFactory) -> dict[str, list[str]]:
    return {name: TwoGateways(tmp_path_factory.mktemp(name), name).play_order()[name] for name in "ab"}


@pytest.mark.parametrize("names", ["ab", "ba"])
def test_gateways_in_one_process_act_as_each_does_alone(
    names: str, each_alone: dict[str, list[str]], tmp_path: Path
) -> None:
    """Started in both orders, used in turn.

    The writers break off each attempt, so retries depend on the effect.
    """
    assert len(each_alone["a"]) > 8 and len(each_alone["b"]) > 6
    actions = TwoGateways(tmp_path, names).play_order()
    assert actions == {name: each_alone[name] for name in names}


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
    """Random requests, reloads, faults and clients that disconnect.

    Each attempt is checked against the configuration that was in force when its request arrived.
    """

    def __init__(self, folder: Path, seed: int) -> None:
        super().__init__(folder)
        self.random, self.in_force = Random(seed), dict[str, Any]()
        self.arrived_under: dict[Generation, dict[str, Any]] = {}
        self.sends = 0

    def ready(self, host: Any, door: Any) -> None:
        super().ready(host, door)
        self.in_force = self.configured()
        arrived, send, write = host.request_arrived, host.send, host.logger._write

        def recording_write(level: str, event: str, fields: dict[str, Any]) -> None:
            if event == "reloaded":
                self.in_force = self.configured()
            write(level, event, fields)

        def recording_arrived(request: Any) -> None:
            self.arrived_under[request.gen] = self.in_force
            arrived(request)

        def recording_send(gen: Generation, server: ListedServer, limit: int) -> Any:
            self.check_attempt(gen)
            return send(gen, server, limit)

        host.request_arrived, host.send, host.logger._write = (
            recording_arrived,
            recording_send,
            recording_write,
        )

    def check_attempt(self, gen: Generation) -> None:
        """Checks that the settings of the request allow one more attempt."""
        self.sends += 1
        settings = self.arrived_under[gen]["settings"]
        product = next(entry for entry in settings["classes"] if entry["name"] == gen.product.name)
        effect = EFFECTS[product["effect"]]
        assert gen.product.effect == effect and len(gen.legs) < settings["bounds"]["maxAttempts"]
        ran = gen.may_have_run()
        if effect == "side-effecting":
            assert not ran, "sent again"
        elif effect == "deduplicated" and ran:
            assert self.world.now() < ran[0].sent + product["keyTtlMs"] * MS, "sent past its window"

    def run_scenario(self) -> Coro[None]:
        random = self.random
        yield from self.do_fleet("r1", "r2", "w1", "w2", "w3")
        for number in range(300):
            choice = random.random()
            if choice < 0.55:
                name = f"c{number}"
                yield from self.do_ask(
                    name,
                    random.choice(("chat", "pay", "paid", "order")),
                    limit=str(random.choice((400, 2500))),
                    key=random.choice((None, "s", "t")),
                )
                if random.random() < 0.15:
                    yield from self.world.sleep(random.randrange(100 * MS))
                    self.do_leave(name, random.choice(("close", "half", "reset")))
            elif choice < 0.75:
                yield from self.do_reload(**random.choice(CHANGES))
                if self.lines[-1][0] == "reload_failed":
                    self.changes["settings.extra.dutyByKind"] = '["read","write"]'
            else:
                self.do_server(random.choice(list(self.servers)), *random.choices(ACTS, k=2))
            yield from self.world.sleep(random.choice((0, 3, 20 * MS, 150 * MS)))
        for name in self.servers:
            self.do_server(name, "ok")
        yield from self.world.sleep(12 * SECOND)
        assert all(client.end is not None for client in self.clients.values()), "a request has no answer"
        yield from self.expect_idle()
        self.expect_modules("1")
        assert not [line for line in self.lines if line[0] in FAULTS]

    def run_to_end(self) -> None:
        def body(group: Group) -> Coro[None]:
            self.group = group
            yield from self.run_scenario()
            group.cancel()

        def main() -> Coro[None]:
            yield from self.world.group(body)

        self.world.run(main())
        self.world.close()


@pytest.mark.parametrize("seed", range(16))
def test_each_request_uses_the_settings_it_arrived_under(seed: int, tmp_path: Path) -> None:
    stage = Reloaded(tmp_path, seed)
    stage.run_to_end()
    assert stage.sends > 100 and len([line for line in stage.lines if line[0] == "reloaded"]) > 8


# Mutable state at module or class level.


def mutable_state(tree: ast.Module) -> list[str]:
    """Mutable values of modules and classes except constants and record fields; globals; mutable defaults."""
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
    """Checks all packages of a platform gateway. Names in capitals are constant tables."""
    parts = ("platform", "gateway", "brain", "wire", "loop", "benchlink")
    files = [path for part in parts for path in (SOURCES / part).rglob("*.py")] + list(SOURCES.glob("*.py"))
    found = {
        str(path.relative_to(SOURCES)): state
        for path in files
        if (state := mutable_state(ast.parse(path.read_text())))
    }
    assert len(files) > 60 and not found


def test_mutable_state_is_found() -> None:
    text = "class Door:\n    products: dict = {}\n\ncache = dict()\n\ndef f(a=[]): global b\n"
    assert mutable_state(ast.parse(text)) == ["products", "cache", "[]", "b"]


def test_classes_named_like_the_fields_of_a_log_line_are_logged(capsys: pytest.CaptureFixture[str]) -> None:
    lines = JsonLog("n0")
    for product in ("event", "level", "gateway", "self", "chat"):
        lines.log(0, "generation", product=product, end="streamed", legs=[])
    lines.log_outcomes()
    logged = json.loads(capsys.readouterr().err)
    assert (logged["event"], logged["level"], logged["gateway"]) == ("classes", "info", "n0")
    assert {name for name, value in logged.items() if value == {"came": 1, "streamed": 1}} == {
        "class event",
        "class level",
        "class gateway",
        "self",
        "chat",
    }


# Rule 4 (load on cold servers) across reloads.


class IgnoringGateway:
    """A gateway that ignores every action except `send`, which must not occur."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    def send(self, gen: Generation, server: ListedServer, limit: int) -> Any:
        raise NotImplementedError

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


def module(number: int = 0, gateways: int = 1) -> RuledBrain:
    return RuledBrain(
        IgnoringGateway(),
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


def cold_lookups(reload_every: int, number: int) -> int:
    """How many lookups, 10 ms apart, go to the cold one of ten readers; a reload comes every so many."""
    servers = [
        ListedServer(f"r{index}", "a", "r", 1, "reader", 1000, started=0 if index == 0 else None)
        for index in range(10)
    ]
    servers.append(ListedServer("w0", "a", "w", 1, "writer", 1000))
    brain, chosen = module(number, GATEWAYS), 0
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
        chosen += picks_cold_server(brain, now, gen, servers[0])
    return chosen


def picks_cold_server(brain: RuledBrain, now: int, gen: Generation, cold: ListedServer) -> bool:
    """Looks up a reader for the generation, with all earlier lookups counted as completed."""
    fleet = brain.fleet
    usable = fleet.usable("reader", now, gen)
    lookups_by_warmth, _ = fleet.lookup_capacity["reader"]
    fleet.legs_done["reader"] = lookups_by_warmth / max(0.1, fleet.warm_capacity["reader"])
    return cold in [seat.server for seat in usable]


@pytest.mark.parametrize("every", [1, 7, 40])
def test_reloads_do_not_raise_the_load_on_a_cold_server(every: int) -> None:
    """Holds for each gateway, wherever its slow start begins, and so for all of them together."""
    for number in range(GATEWAYS):
        assert cold_lookups(every, number) <= cold_lookups(LOOKUPS, number) + 1


def test_the_replaced_module_admits_cold_servers_no_longer() -> None:
    servers = [
        ListedServer(f"r{index}", "a", "r", 1, "reader", 1000, started=0 if index == 0 else None)
        for index in range(10)
    ]
    before, after = module(), module()
    for brain in (before, after):
        brain.roster(0, servers, True)
    after.continue_slow_start(before)
    gens = [
        Generation(f"g{number}", CHAT, None, None, None, 0, 100, 10, None, 0, 9, False, False)
        for number in range(400)
    ]
    chosen = {
        brain: sum(picks_cold_server(brain, 5, gen, servers[0]) for gen in gens) for brain in (before, after)
    }
    assert chosen[before] == 0 < chosen[after]


# A gateway as a real process.


def status(port: int, name: str, product: str) -> bytes:
    with ask(port, name, product) as stream:
        return stream.recv(4096).split(b" ")[1]


def test_a_process_reloads_its_settings_and_stops_when_both_signals_come_at_once(tmp_path: Path) -> None:
    agent = Agent()
    servers = [Server("r1", READ), Server("w1", STREAM)]
    for one in servers:
        one.go.set()
    agent.members = [one.member for one in servers]
    with Gateway(tmp_path, agent) as gateway:
        file = tmp_path / "c"
        good = json.loads(file.read_text())

        def reload(config: str) -> None:
            file.write_text(config)
            os.kill(gateway.process.pid, signal.SIGHUP)

        assert waited(lambda: reachable(gateway.port), 10)
        with agent.told(5):
            assert status(gateway.port, "0" * 16, "chat") == b"200"
            assert status(gateway.port, "1" * 16, "lone") == b"400"
            reload(json.dumps(changed(good, {"settings.classes.0.name": '"lone"'})))
            time.sleep(0.2)
            assert status(gateway.port, "2" * 16, "lone") == b"200"
            assert status(gateway.port, "3" * 16, "chat") == b"400"
            reload("{not json")
            time.sleep(0.2)
            assert status(gateway.port, "4" * 16, "lone") == b"200"
            reload(json.dumps(good))
            os.kill(gateway.process.pid, signal.SIGTERM)
            time.sleep(0.2)  # both signals are handled; connections are still accepted for 0.7 s
            assert status(gateway.port, "5" * 16, "chat") == b"200"
            assert gateway.process.wait(10) == 0


def reachable(port: int) -> bool:
    """Whether the port accepts a connection."""
    try:
        socket.create_connection(("127.0.0.1", port), 1).close()
    except OSError:
        return False
    return True

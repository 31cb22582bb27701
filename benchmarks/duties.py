"""Duties: calls over the fleet by its size, time without an owner by what befell it, how long a record's write takes.

    python -m benchmarks.duties [calls] [owners] [record] [beside] [--times N]

`calls`: voters, candidates and announcements of 3, 30 and 230 gateways in the made-up world (its network is simulated; calls
are counted where they are sent). `owners`: 5 gateways as processes, three of them voters, lease 1 s; from the signal to the
next owner's log line that its record is read. `record`: three voters in one process on loopback, files on this disk.
"""

import argparse
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import structlog
from rich.console import Console
from rich.table import Table

from benchmarks.bed import free_port
from stackpitch.duties.carrier import Duties, DutiesConfig
from stackpitch.duties.carrier.tenure import LeaseTenure
from stackpitch.gateway.admin import Admin
from stackpitch.loop import MS, SECOND, Coro, Group, RealWorld, World
from stackpitch.loop.virtual import VirtualWorld

ROOT = Path(__file__).parent.parent
QUIET = structlog.wrap_logger(
    structlog.ReturnLogger(), wrapper_class=structlog.make_filtering_bound_logger(50)
)


def figures(number: int, gateways: int, voters: int, file: str, ports: Sequence[int]) -> DutiesConfig:
    return DutiesConfig(
        "hall",
        number,
        tuple(("127.0.0.1", ports[one]) for one in range(gateways)),
        tuple(range(voters)),
        ("weights",),
        file,
        0,
        3 * SECOND,
        0.01,
        250 * MS,
        60 * SECOND,
        64,
    )


def gateway(world: World, one: DutiesConfig, made: dict[int, Duties]) -> Coro[None]:
    """Duties and their port, and nothing else of a gateway."""
    duties = made[one.number] = Duties(world, QUIET, one)
    listener = world.listen(one.addresses[one.number])
    stop = world.signals(signal.SIGTERM)

    def body(group: Group) -> Coro[None]:
        group.spawn(
            Admin(world, {}, {"/duty": duties.handle_request}, Duties.LARGEST).serve(group, listener), "admin"
        )
        group.spawn(duties.run(), "duties")
        yield from stop()
        yield from duties.leave()
        group.cancel()

    yield from world.group(body)


def sent(made: dict[int, Duties]) -> Counter[str]:
    total: Counter[str] = Counter()
    for duties in made.values():
        for (kind, end), count in duties.peer_calls.counts.items():
            total[kind] += count
            total["lost"] += count * (end == "lost")
    return total


def owner(made: dict[int, Duties]) -> int | None:
    return next(
        (
            number
            for number, one in made.items()
            if one.receiver.lease_managers["weights"].candidate.stage == "owner"
            and one.receiver.lease_managers["weights"].scope is not None
        ),
        None,
    )


def calls(gateways: int, voters: int) -> dict[str, Any]:
    """Calls a second with nothing to do, and over a change of owner by kill."""
    made: dict[int, Duties] = {}
    ports = range(1000, 1000 + gateways)
    worlds: list[VirtualWorld] = []

    def programs(command: Sequence[str]) -> Coro[None]:
        number = int(command[0])
        return gateway(worlds[0], figures(number, gateways, voters, f"/votes{number}", ports), made)

    world = VirtualWorld(1, programs=programs)
    worlds.append(world)
    found: dict[str, Any] = {}

    def main() -> Coro[None]:
        children = [world.spawn_child([str(number)]) for number in range(gateways)]
        yield from world.sleep(20 * SECOND)
        before, first = sent(made), owner(made)
        assert first is not None
        yield from world.sleep(60 * SECOND)
        idle = sent(made)
        found["idle"] = (idle.total() - idle["lost"] - before.total() + before["lost"]) / 60
        children[first].signal(signal.SIGKILL)
        del made[first]
        begun, killed = world.now(), sent(made)
        while owner(made) is None:
            yield from world.sleep(5 * MS)
        found["without"] = (world.now() - begun) / SECOND
        peak, last = 0, sent(made)
        for _ in range(50):
            yield from world.sleep(100 * MS)
            now = sent(made)
            peak, last = max(peak, now.total() - now["lost"] - last.total() + last["lost"]), now
        change = sent(made) - killed
        found["change"] = {
            kind: change[kind] for kind in ("vacant", "would", "lease", "read", "write", "owner", "lost")
        }
        found["peak_100ms"] = peak

    world.run(main())
    world.close()
    return found


def show_calls(console: Console) -> None:
    table = Table(title="Calls over the whole fleet, one duty, lease 3 s (made-up network)")
    for name in (
        "gateways",
        "voters",
        "idle, a second",
        "s without owner after a kill",
        "most in 100 ms",
        "in the 7 s from the kill, by kind",
    ):
        table.add_column(name)
    for gateways, voters in ((3, 3), (30, 3), (30, 5), (230, 3), (230, 5), (230, 7)):
        found = calls(gateways, voters)
        table.add_row(
            str(gateways),
            str(voters),
            f"{found['idle']:.1f}",
            f"{found['without']:.2f}",
            str(found["peak_100ms"]),
            " ".join(f"{kind} {count}" for kind, count in found["change"].items()),
        )
    console.print(table)


BEFELL = (
    ("SIGTERM", signal.SIGTERM, 0.5),
    ("kill -9", signal.SIGKILL, 2.0),
    ("SIGSTOP", signal.SIGSTOP, 2.0),
)


class Processes:
    """Five gateways, three voters."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.ports = [free_port() for _ in range(5)]
        self.running: dict[int, subprocess.Popen[bytes]] = {}
        (folder / "fleet").write_text(
            json.dumps(
                {
                    "version": 1,
                    "servers": [
                        {"name": name, "host": "127.0.0.1", "port": port, "kind": name[0]}
                        for name, port in (("r1", 9), ("w1", 10))
                    ],
                }
            )
        )

    def start(self, number: int) -> None:
        path = self.folder / f"g{number}.json"
        path.write_text(
            json.dumps(
                {
                    "name": f"g{number}",
                    "roster": str(self.folder / "fleet"),
                    "door": {"port": 0},
                    "admin": {"port": self.ports[number]},
                    "module": {"gateways": 5, "number": number},
                    "peers": {"admin": [f"127.0.0.1:{port}" for port in self.ports]},
                    "kinds": {
                        "r": {"role": "reader", "memory_tok": 1000},
                        "w": {"role": "writer", "memory_tok": 1000},
                    },
                    "products": {"ask": {"effect": "idempotent", "slo_ms": 500, "time_limit_ms": 1000}},
                    "stop": {"finish_ms": 200},
                    "duties": {
                        "fleet": "hall",
                        "voters": [0, 1, 2],
                        "names": ["weights"],
                        "lease_ms": 1000,
                        "call_ms": 200,
                        "file": str(self.folder / f"votes{number}"),
                    },
                }
            )
        )
        with open(self.folder / f"g{number}.log", "ab") as log:
            self.running[number] = subprocess.Popen(
                [sys.executable, "-m", "stackpitch", "serve", "-c", str(path)], cwd=ROOT, stderr=log
            )

    def owner(self) -> tuple[int, tuple[int, ...]] | None:
        """Who has read its record under the highest term."""
        best = None
        for number in range(5):
            path = self.folder / f"g{number}.log"
            for line in path.read_bytes().splitlines() if path.exists() else ():
                if b'"word": "record"' in line:
                    term = tuple(int(part) for part in json.loads(line)["term"].split("."))
                    if best is None or term > best[1]:
                        best = number, term
        return best

    def after(self, before: tuple[int, ...], limit: float = 20) -> tuple[int, tuple[int, ...]]:
        end = time.monotonic() + limit
        while time.monotonic() < end:
            found = self.owner()
            if found is not None and found[1] > before:
                return found
            time.sleep(0.002)
        raise AssertionError("no owner")


def owners(times: int, console: Console) -> None:
    table = Table(title=f"Without an owner, {times} times each: 5 processes, lease 1 s, on loopback")
    for name in ("what befell the owner", "p50 s", "p99 s", "most s", "bound s", "p99 / bound"):
        table.add_column(name)
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Processes(Path(temporary))
        try:
            for number in range(5):
                fleet.start(number)
            found = fleet.after(())
            for name, what, bound in BEFELL:
                took = []
                for _ in range(times):
                    time.sleep(1.2)
                    found = fleet.owner() or found
                    number, term = found
                    begun = time.monotonic()
                    fleet.running[number].send_signal(what)
                    found = fleet.after(term)
                    took.append(time.monotonic() - begun)
                    if what == signal.SIGSTOP:
                        fleet.running[number].send_signal(signal.SIGCONT)
                    else:
                        fleet.running[number].wait()
                        fleet.start(number)
                        time.sleep(1.8)
                took.sort()
                p99 = took[min(len(took) - 1, int(0.99 * len(took)))]
                table.add_row(
                    name,
                    *(f"{one:.3f}" for one in (statistics.median(took), p99, took[-1])),
                    f"{bound:g}",
                    f"{p99 / bound:.2f}",
                )
        finally:
            for process in fleet.running.values():
                process.kill()
                process.wait()
    console.print(table)


class Writes:
    """Work that writes its record over and over."""

    name = "weights"

    def __init__(self, world: World, size: int, times: int) -> None:
        self.world, self.size, self.times, self.took = world, size, times, list[float]()

    def run_as_owner(self, tenure: LeaseTenure, value: bytes) -> Coro[None]:
        for number in range(self.times):
            begun = self.world.now()
            yield from tenure.write_record(bytes([number % 256]) * self.size)
            self.took.append((self.world.now() - begun) / 10)

    def serve(self) -> Coro[None]:
        yield from ()


def record(times: int, console: Console) -> None:
    table = Table(
        title=f"A record's write to 2 of 3 voters, {times} times each: one process, loopback, fdatasync"
    )
    for name in ("bytes", "p50 ms", "p99 ms"):
        table.add_column(name)
    for size in (100, 10_000, 250_000):
        with tempfile.TemporaryDirectory() as temporary:
            world, ports, made = RealWorld(), [free_port() for _ in range(3)], dict[int, Duties]()
            works = [Writes(world, size, times) for _ in range(3)]

            def body(
                group: Group,
                world: World = world,
                ports: list[int] = ports,
                works: list[Writes] = works,
                made: dict[int, Duties] = made,
                temporary: str = temporary,
            ) -> Coro[None]:
                for number in range(3):
                    one = figures(number, 3, 3, os.path.join(temporary, str(number)), ports)
                    duties = made[number] = Duties(world, QUIET, one, [works[number]])  # type: ignore[list-item]
                    admin = Admin(world, {}, {"/duty": duties.handle_request}, Duties.LARGEST)
                    group.spawn(admin.serve(group, world.listen(one.addresses[number])), "admin")
                    group.spawn(duties.run(), "duties")
                while not any(len(one.took) == times for one in works):
                    yield from world.sleep(50 * MS)
                group.cancel()

            world.run(world.group(body))
            took = sorted(next(one.took for one in works if len(one.took) == times))
            table.add_row(str(size), f"{statistics.median(took):.2f}", f"{took[int(0.99 * len(took))]:.2f}")
    console.print(table)


def beside(plays: int, console: Console) -> None:
    """What clients see of gateways that live on while all voters are dead, with duties and without, in turn."""
    found: dict[str, tuple[list[float], list[float]]] = {"off": ([], []), "on": ([], [])}
    for seed in range(1, plays + 1):
        for which, (worths, waits) in found.items():
            with tempfile.TemporaryDirectory() as folder:
                done = subprocess.run(
                    [
                        sys.executable,
                        "-m",
                        "stackpitch",
                        "rehearse",
                        "days/voters-dead.jsonnet",
                        "--json",
                        "--keep",
                        folder,
                        "--set",
                        f"seed={seed}",
                        "--set",
                        f"duties={which}",
                    ],
                    cwd=ROOT,
                    capture_output=True,
                )
                worths.append(json.loads(done.stdout)["g"])
                asked: dict[tuple[str, int], int] = {}
                for line in (Path(folder) / "clients.jsonl").read_text().splitlines():
                    one = json.loads(line)
                    if one["what"] == "ask":
                        asked[one["key"], one["number"]] = one["at"]
                    elif (
                        one["what"] == "end"
                        and one["gateway"] in ("g3", "g4", "g5")
                        and one["first"] is not None
                    ):
                        waits.append((one["first"] - asked[one["key"], one["number"]]) / 10)
    table = Table(
        title=f"All three voters of six gateways dead: {plays} days each as processes, in turn; engines are stand-ins"
    )
    for name in ("duties", "G, mean", "first token p50 ms", "p99 ms", "generations"):
        table.add_column(name)
    for which, (worths, waits) in found.items():
        waits.sort()
        table.add_row(
            which,
            f"{statistics.mean(worths):.4f}",
            f"{statistics.median(waits):.1f}",
            f"{waits[int(0.99 * len(waits))]:.1f}",
            str(len(waits)),
        )
    console.print(table)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("which", nargs="*", default=["calls", "owners", "record", "beside"])
    parser.add_argument("--times", type=int, default=50)
    asked, console = parser.parse_args(), Console(width=150)
    if "calls" in asked.which:
        show_calls(console)
    if "record" in asked.which:
        record(4 * asked.times, console)
    if "beside" in asked.which:
        beside(max(1, asked.times // 10), console)
    if "owners" in asked.which:
        owners(asked.times, console)


if __name__ == "__main__":
    main()

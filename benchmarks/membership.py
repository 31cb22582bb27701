"""From an edit of the fleet's file to the first decision by it; what a large list costs the loop; stores side by side.

    python -m benchmarks.membership [--rounds N]

One gateway process without engines, its file replaced by rename. "In force" is read off the gateway's admin port, which
is asked every 5 ms, so figures are late by up to that. Loop stalls are the gateway's own "hog" lines: steps of one
task over 20 ms (its limit for this run).
"""

import argparse
import json
import os
import sqlite3
import statistics
import tempfile
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path

import lmdb
import msgspec
from rich.console import Console
from rich.table import Table

from benchmarks.bed import Bed, free_port, memory_mb
from stackpitch.loop import RealFiles
from stackpitch.membership.entries import Entry, digest
from stackpitch.membership.store import AppliedList, Store


def listed(size: int, version: int) -> str:
    """Two of five servers read; one server's weight differs from version to version."""
    servers = [
        {
            "name": f"s{n}",
            "host": "127.0.0.1",
            "port": 1024 + n % 60000,
            "kind": "reader" if n % 5 < 2 else "writer",
            "cell": n // 40,
            "weight": 1.0 + (version % 100) / 100 * (n == 0),
        }
        for n in range(size)
    ]
    return json.dumps({"version": version, "servers": servers})


class Watched:
    """A gateway with a file of so many servers."""

    def __init__(self, bed: Bed, size: int, settle_ms: int) -> None:
        self.size, self.version = size, 1
        self.door, self.admin = free_port(), free_port()
        self.path, self.log = bed.folder / f"fleet{size}", bed.folder / f"log{size}"
        self.path.write_text(listed(size, 1))
        config = bed.folder / f"gateway{size}"
        config.write_text(
            json.dumps(
                {
                    "roster": str(self.path),
                    "kept": str(bed.folder / f"kept{size}"),
                    "door": {"port": self.door},
                    "admin": {"port": self.admin},
                    "logs": {"hog_ms": 20},
                    "membership": {"settle_ms": settle_ms, "poll_ms": 1000},
                    "products": {"m": {"effect": "idempotent", "slo_ms": 1000, "time_limit_ms": 5000}},
                    "kinds": {role: {"role": role, "memory_tok": 1 << 30} for role in ("reader", "writer")},
                }
            )
        )
        self.sink = open(self.log, "ab")  # noqa: SIM115
        self.command = ("stackpitch", "serve", "-c", str(config))
        self.process = bed.start(self.door, *self.command, errors=self.sink)

    def status(self) -> dict:
        return json.load(urllib.request.urlopen(f"http://127.0.0.1:{self.admin}/fleet", timeout=10))

    def edit(self) -> float:
        """Milliseconds from rename to in force."""
        self.version += 1
        beside = self.path.with_name("beside")
        beside.write_text(listed(self.size, self.version))
        begun = time.perf_counter()
        os.replace(beside, self.path)
        while self.status()["version"] != self.version:
            time.sleep(0.005)
        return (time.perf_counter() - begun) * 1000

    def stalls(self) -> list[float]:
        return [
            one["ms"] for one in map(json.loads, self.log.read_text().splitlines()) if one["event"] == "hog"
        ]


def stores(folder: Path, size: int, count: int) -> dict[str, list[float]]:
    """Milliseconds for each durable write of a list of so many servers."""
    entries = tuple(
        Entry(name=f"s{n}", host="127.0.0.1", port=1024 + n % 60000, kind="reader") for n in range(size)
    )
    told = digest(entries)
    record = AppliedList(0, "file", 1, told, entries)

    def timed(call: Callable[[int], object]) -> list[float]:
        found = []
        for number in range(count):
            begun = time.perf_counter()
            call(number)
            found.append((time.perf_counter() - begun) * 1000)
        return found

    # Bounded as in service: it is written anew now and then, the other two only grow.
    own = Store(RealFiles(), str(folder / f"own{size}"))
    own.open()
    base = sqlite3.connect(folder / f"sqlite{size}", isolation_level=None)
    base.executescript(
        "pragma journal_mode=wal; pragma synchronous=full; "
        "create table kept (id integer primary key, raw blob)"
    )
    environment = lmdb.open(str(folder / f"lmdb{size}"), map_size=1 << 30)

    def in_lmdb(number: int) -> None:
        with environment.begin(write=True) as transaction:
            transaction.put(number.to_bytes(8, "big"), msgspec.msgpack.encode(record))

    return {
        "own log": timed(lambda number: own.add(record)),
        "sqlite3, wal": timed(
            lambda number: base.execute(
                "insert into kept (raw) values (?)", (msgspec.msgpack.encode(record),)
            )
        ),
        "lmdb": timed(in_lmdb),
    }


def part(found: list[float], share: float) -> float:
    return sorted(found)[min(len(found) - 1, int(share * len(found)))]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=30)
    rounds = parser.parse_args().rounds
    console = Console(width=130)
    table = Table(title="From rename to in force, ms (settle_ms 20)", title_justify="left")
    for column in (
        "servers",
        "p50",
        "p99",
        "steps over 20 ms",
        "longest, ms",
        "resident MB",
        "start to serving, ms",
    ):
        table.add_column(column, justify="right")
    with Bed() as bed:
        for size in (50, 500, 5000):
            watched = Watched(bed, size, 20)
            for _ in range(3):
                watched.edit()
            before = len(watched.stalls())
            found = [watched.edit() for _ in range(rounds)]
            stalls, resident = watched.stalls()[before:], memory_mb(watched.process)
            watched.process.kill()
            watched.process.wait()
            begun = time.perf_counter()
            bed.start(watched.door, *watched.command, errors=watched.sink)
            again = (time.perf_counter() - begun) * 1000
            assert watched.status()["version"] == watched.version
            table.add_row(
                f"{size:,}",
                f"{part(found, 0.5):.0f}",
                f"{part(found, 0.99):.0f}",
                str(len(stalls)),
                f"{max(stalls, default=0):.0f}",
                f"{resident:.0f}",
                f"{again:.0f}",
            )
    console.print(table)
    table = Table(title="A durable write of a list, ms", title_justify="left")
    for column in ("servers", "store", "p50", "p99"):
        table.add_column(column, justify="right")
    with tempfile.TemporaryDirectory(prefix="stackpitch-") as folder:
        for size in (50, 5000):
            for name, times in stores(Path(folder), size, 200 if size < 1000 else 60).items():
                table.add_row(
                    f"{size:,}", name, f"{statistics.median(times):.2f}", f"{part(times, 0.99):.2f}"
                )
    console.print(table)


if __name__ == "__main__":
    main()

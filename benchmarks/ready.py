"""Processor time from exec to ready of a gateway of the platform, beside that of an interpreter that does nothing.

    python -m benchmarks.ready [--runs N] [--members N] [--together N]

In turn, a bare interpreter (`python -c pass`) and a gateway with so many servers on its list, which a stand-in for
discovery answers on loopback; the gateway is killed as soon as it says that it is ready. Times are the system's own
accounting of each ended process; ratios are taken pair by pair. Compiled files are made by a run that isn't counted.
Last, so many gateways are started at once on one core, so that each has that fraction of it: seconds to ready.
"""

import argparse
import http.client
import http.server
import json
import math
import os
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from rich.console import Console
from rich.table import Table

from benchmarks.bed import free_port

CLASS = {"name": "chat", "effect": "free", "aimMs": 1000, "deadlineMs": 4000, "worth": 1}
SETTINGS = {
    "balancers": 200,
    "me": 0,
    "zone": "a",
    "models": ["r", "w"],
    "classes": [CLASS],
    "bounds": {
        "connIdleMs": 30000,
        "connectTimeoutMs": 250,
        "maxAttempts": 4,
        "retryAfter": True,
        "maxRetryAfterMs": 1000,
    },
    "guarantees": {"coldFrom": 0.3, "warmUpMs": 5000, "fallMultiple": 3},
    "extra": {
        "dutyByKind": ["read", "write"],
        "kvTokens": [100000, 100000],
        "releaseMs": 500,
        "tokenAimMs": [60, 60],
    },
    "report": {"fields": ["utilization", "backlog", "x0"], "via": "piggyback"},
}
GIVE_UP_S = 60


def member(number: int) -> dict[str, object]:
    return {
        "id": f"s{number}",
        "host_port": f"127.0.0.1:{1024 + number}",
        "locality": "a",
        "flavor": "rw"[number % 2],
        "cell": number // 40,
        "phase": "up",
        "size": 1.0,
        "up_since_ms": 0,
    }


class Discovery(http.server.BaseHTTPRequestHandler):
    """The list, at once to whoever has none and never again."""

    protocol_version = "HTTP/1.1"
    body = b""

    def do_GET(self) -> None:
        if "since=" in self.path:
            time.sleep(GIVE_UP_S)
            return
        self.send_response(200)
        self.send_header("content-length", str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)

    def log_message(self, format: str, *args: object) -> None: ...


def ready(port: int) -> bool:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=GIVE_UP_S)
    try:
        connection.request("GET", "/-/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def spent(process: "subprocess.Popen[bytes]") -> float:
    """Waits for its end; seconds of processor time."""
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    return usage.ru_utime + usage.ru_stime


def start(config: Path) -> "subprocess.Popen[bytes]":
    return subprocess.Popen(
        [sys.executable, "-m", "stackpitch.platform"],
        stderr=subprocess.DEVNULL,
        env=os.environ | {"RELAY_CONFIG": str(config)},
    )


def wait(ports: set[int], begun: float) -> list[float]:
    """Seconds from `begun` until each is ready, in order."""
    found = list[float]()
    while ports:
        for port in sorted(ports):
            if ready(port):
                ports.discard(port)
                found.append(time.monotonic() - begun)
        if time.monotonic() - begun > GIVE_UP_S:
            raise SystemExit(f"{len(ports)} were not ready in {GIVE_UP_S} s")
        time.sleep(0.005)
    return found


def gateway(config: Path, port: int) -> tuple[float, float]:
    """Seconds of processor time and of the clock."""
    begun, process = time.monotonic(), start(config)
    try:
        took = wait({port}, begun)[0]
    finally:
        process.kill()
    return spent(process), took


def together(configs: list[Path], ports: set[int]) -> list[float]:
    """All on one core, from the first start on."""
    allowed, processes = os.sched_getaffinity(0), list[subprocess.Popen[bytes]]()
    os.sched_setaffinity(0, {max(allowed)})  # they inherit it
    begun = time.monotonic()
    try:
        for config in configs:
            processes.append(start(config))
    finally:
        os.sched_setaffinity(0, allowed - {max(allowed)} or allowed)
    try:
        return wait(ports, begun)
    finally:
        for process in processes:
            process.kill()
            process.wait()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=15)
    parser.add_argument("--members", type=int, default=1024)
    parser.add_argument("--together", type=int, default=20)
    asked = parser.parse_args()
    listed = {"revision": 1, "complete": True, "members": [member(n) for n in range(asked.members)]}
    Discovery.body = json.dumps(listed).encode()
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Discovery)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    rows: list[tuple[float, float, float, float]] = []
    with tempfile.TemporaryDirectory() as folder:
        os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
        os.environ["PYTHONPYCACHEPREFIX"] = str(Path(folder) / "compiled")

        def configured(port: int) -> Path:
            config = Path(folder) / f"{port}.json"
            config.write_text(
                json.dumps(
                    {
                        "name": f"n{port}",
                        "listen": f"127.0.0.1:{port}",
                        "discovery": f"127.0.0.1:{server.server_port}",
                        "seed": "1f",
                        "limits": {"sockets": 256, "memory_mb": 64},
                        "known": listed,
                        "settings": SETTINGS,
                    }
                )
            )
            return config

        for _ in range(asked.runs + 1):
            port = free_port()
            bare = spent(subprocess.Popen([sys.executable, "-c", "pass"]))
            used, took = gateway(configured(port), port)
            rows.append((bare * 1e3, used * 1e3, used / bare, took * 1e3))
        ports = {free_port() for _ in range(asked.together)}
        crowd = together([configured(port) for port in ports], set(ports))
    table = Table(
        title=f"From exec to ready, {asked.members:,} servers, {asked.runs} pairs", title_justify="left"
    )
    for column in ("", "minimum", "median", "maximum"):
        table.add_column(column, justify="right")
    names = ("bare interpreter, CPU ms", "gateway, CPU ms", "gateway / bare, CPU", "gateway, ms by the clock")
    for name, found in zip(names, zip(*rows[1:])):
        table.add_row(name, *(f"{one:.1f}" for one in (min(found), statistics.median(found), max(found))))
    console = Console(width=120)
    console.print(table)
    if crowd:
        console.print(
            f"{len(crowd)} at once on one core, seconds to ready: first {crowd[0]:.2f}, "
            f"nine in ten {crowd[math.ceil(len(crowd) * 0.9) - 1]:.2f}, last {crowd[-1]:.2f}"
        )


if __name__ == "__main__":
    main()

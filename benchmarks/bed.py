"""Starts and ends the processes of a measurement and reads what they cost."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import IO

TICK = os.sysconf("SC_CLK_TCK")


def free_port() -> int:
    for port in range(19000 + os.getpid() % 5000, 32000):
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
            if port not in USED:
                USED.add(port)
                return port
    raise RuntimeError("no free port")


USED: set[int] = set()


class Bed:
    """A folder and processes that end with it."""

    def __init__(self) -> None:
        self.temporary = tempfile.TemporaryDirectory(prefix="stackpitch-")
        self.folder = Path(self.temporary.name)
        self.processes: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> "Bed":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        self.temporary.cleanup()

    def start(
        self,
        port: int,
        *words: str,
        first: tuple[str, ...] = (),
        errors: IO[bytes] | int = subprocess.DEVNULL,
    ) -> "subprocess.Popen[bytes]":
        process = subprocess.Popen([sys.executable, *first, "-m", *words], stderr=errors)
        self.processes.append(process)
        for _ in range(400):
            try:
                socket.create_connection(("127.0.0.1", port), 1).close()
                return process
            except OSError:
                time.sleep(0.025)
        raise RuntimeError(f"{words} does not listen on {port}")

    def source(self) -> int:
        port = free_port()
        self.start(port, "benchmarks.peers", "source", str(port))
        return port

    def gateway(
        self, servers: list[tuple[str, str, int]], first: tuple[str, ...] = ()
    ) -> tuple["subprocess.Popen[bytes]", int]:
        """`servers`: name, role and port."""
        port, admin = free_port(), free_port()
        listed = [{"name": name, "host": "127.0.0.1", "port": at, "kind": role} for name, role, at in servers]
        (self.folder / f"fleet{port}").write_text(json.dumps({"version": 1, "servers": listed}))
        product = {"effect": "idempotent", "slo_ms": 5000, "time_limit_ms": 20000}
        path = self.folder / f"gateway{port}"
        path.write_text(
            json.dumps(
                {
                    "roster": str(self.folder / f"fleet{port}"),
                    "door": {"port": port},
                    "admin": {"port": admin},
                    "products": {"m": product},
                    "logs": {"level": "error"},
                    "engines": {"pool": 2048},
                    "kinds": {
                        role: {"role": role, "memory_tok": 1 << 40} for role in ("reader", "writer", "mixed")
                    },
                }
            )
        )
        return self.start(port, "stackpitch", "serve", "-c", str(path), first=first), port

    def clients(self, port: int, processes: int = 1, **plan: float) -> dict:
        """What `processes` processes of clients measure together; rates add up, delays are the first one's."""
        command = [sys.executable, "-m", "benchmarks.peers", "clients", str(port), json.dumps(plan)]
        running = [subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(processes)]
        found = [json.loads(one.communicate()[0]) for one in running]
        return (
            found[0]
            | {name: sum(one[name] for one in found) for name in ("chunks", "refused", "asks")}
            | {"took_s": max(one["took_s"] for one in found)}
        )


def cpu(process: "subprocess.Popen[bytes]") -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def memory_mb(process: "subprocess.Popen[bytes]") -> float:
    line = next(
        one for one in Path(f"/proc/{process.pid}/status").read_text().splitlines() if one.startswith("VmRSS")
    )
    return int(line.split()[1]) / 1024


def end(process: "subprocess.Popen[bytes]") -> None:
    process.send_signal(signal.SIGTERM)
    process.wait(30)

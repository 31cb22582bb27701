"""What bad clients cost a gateway of the platform: its memory and processor time, others' service, with them and without.

    python -m benchmarks.floods [--clients N] [--asks N]

One gateway (512 descriptors, 64 MB) before two stand-in servers. For each kind of bad client a gateway is started anew; first
it serves asks alone, one after the other with 20 ms between, then as many beside the bad ones. Ratios are of these two.
Processor time is the system's accounting of the gateway's process over each stretch, by its length. An ask that isn't served is
told by how it was answered.
"""

import argparse
import http.server
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from rich.console import Console
from rich.table import Table

from benchmarks.bed import cpu, free_port, memory_mb
from benchmarks.ready import SETTINGS, Discovery, ready
from stackpitch.wire import http as codec
from stackpitch.wire import sse

HEAD = codec.head(200, [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")])
SMALL = codec.chunk(sse.event(b'{"choices":[{"delta":{"content":"w"}}]}'))
WIDE = codec.chunk(sse.event(b'{"choices":[{"delta":{"content":"%b"}}]}' % (b"w" * 16_000)))
LAST = codec.chunk(sse.DONE) + codec.LAST_CHUNK
SOCKETS, MEMORY_MB = 512, 64


class Server:
    """Reads, or writes: small answers, and answers without an end to ids that begin with f (wide events) or e (small)."""

    def __init__(self, name: str) -> None:
        self.name, self.listener = name, socket.create_server(("127.0.0.1", 0), backlog=256)
        self.member = {
            "id": name,
            "host_port": f"127.0.0.1:{self.listener.getsockname()[1]}",
            "locality": "a",
            "flavor": name[0],
            "cell": 1,
            "phase": "up",
            "size": 1.0,
            "up_since_ms": 0,
        }
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        while True:
            threading.Thread(target=self.connection, args=(self.listener.accept()[0],), daemon=True).start()

    def connection(self, stream: socket.socket) -> None:
        with stream, suppress(OSError):
            while True:
                reader = codec.RequestParser(1 << 16, 1 << 20)
                while not reader.complete:
                    data = stream.recv(65536)
                    if not data:
                        return
                    reader.feed(data)
                mark = reader.headers.get("req-id", "")[:1]
                if reader.method == "DELETE":
                    stream.sendall(codec.response(204, b""))
                elif self.name[0] == "r":
                    stream.sendall(codec.response(202, b'{"cached_tokens":4}'))
                else:
                    stream.sendall(HEAD + SMALL)
                    while mark in "ef":
                        stream.sendall(WIDE * 4 if mark == "f" else SMALL)
                    stream.sendall(LAST)


def ask(port: int, name: str, most: int = 50) -> socket.socket:
    one = socket.socket()
    one.settimeout(5)
    if name[0] in "ef":
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    one.connect(("127.0.0.1", port))
    one.sendall(
        codec.request(
            "POST",
            "/v1/chat/completions",
            "a",
            b"{}",
            [
                ("req-id", name),
                ("req-kind", "chat"),
                ("req-deadline-ms", "4000"),
                ("req-extra", f"prompt_len=500,max_out={most}"),
            ],
        )
    )
    return one


def served(port: int, number: int) -> float | str:
    """Seconds; how it was answered, if not whole."""
    begun, got = time.monotonic(), b""
    try:
        with ask(port, f"{number:016x}") as one:
            while not got.endswith(codec.LAST_CHUNK):
                data = one.recv(65536)
                if not data:
                    return "broken off"
                got += data
                if not got.startswith(b"HTTP/1.1 200"):
                    return got[9:12].decode("latin-1")
    except OSError as wrong:
        return type(wrong).__name__
    return time.monotonic() - begun


def nothing(one: socket.socket) -> None:
    time.sleep(1)


def now_and_then(one: socket.socket) -> None:
    time.sleep(1)
    one.recv(2000)


def all_of_it(one: socket.socket) -> None:
    if not one.recv(65536):
        raise OSError


KINDS: dict[str, tuple[str, Callable[[socket.socket], None]]] = {
    "reads nothing of wide answers": ("f", nothing),
    "reads 2 KB a second of wide answers": ("f", now_and_then),
    "reads all of small events without an end": ("e", all_of_it),
}


class Quiet(Discovery):
    """A gateway is killed in the middle of its watch."""

    def do_GET(self) -> None:
        with suppress(OSError):
            super().do_GET()


class Bad:
    """So many bad clients; each asks anew once it is cut off."""

    def __init__(self, port: int, mark: str, act: Callable[[socket.socket], None], count: int) -> None:
        self.over, self.number, self.lock = threading.Event(), 0, threading.Lock()
        self.port, self.mark, self.act = port, mark, act
        self.threads = [threading.Thread(target=self.one, daemon=True) for _ in range(count)]
        for thread in self.threads:
            thread.start()
            time.sleep(0.01)

    def one(self) -> None:
        while not self.over.is_set():
            with self.lock:
                self.number += 1
                name = f"{self.mark}{self.number:015x}"
            with suppress(OSError), ask(self.port, name, 200) as stream:
                while not self.over.is_set():
                    self.act(stream)
            time.sleep(0.2)

    def end(self) -> None:
        self.over.set()
        for thread in self.threads:
            thread.join()


def stretch(
    process: "subprocess.Popen[bytes]", port: int, asks: int, first: int
) -> tuple[float, float, float, str]:
    """Most resident MB, processor seconds a second, 0.95 of asks in seconds, and how many were not served, by answer."""
    begun, used, most, took, lost = time.monotonic(), cpu(process), 0.0, list[float](), Counter[str]()
    for number in range(asks):
        found = served(port, first + number)
        if isinstance(found, str):
            lost[found] += 1
        else:
            took.append(found)
        most = max(most, memory_mb(process))
        time.sleep(0.02)
    took.sort()
    return (
        most,
        (cpu(process) - used) / (time.monotonic() - begun),
        took[int(len(took) * 0.95)] if took else 0.0,
        (", ".join(f"{count} {how}" for how, count in lost.items()) or "0"),
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--clients", type=int, default=100)
    parser.add_argument("--asks", type=int, default=200)
    asked = parser.parse_args()
    members = [Server("r1").member, Server("w1").member]
    listed = {"revision": 1, "complete": True, "members": members}
    Discovery.body = json.dumps(listed).encode()
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Quiet)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    # One gateway of a fleet of two: of many, the module would take the others to be as full, and throttle.
    settings = SETTINGS | {"balancers": 2, "extra": SETTINGS["extra"] | {"kvTokens": [10**7] * 2}}  # type: ignore[operator]
    table = Table(
        title=f"{asked.clients} bad clients, {asked.asks} asks beside them and without", title_justify="left"
    )
    for column in (
        "bad clients",
        "resident MB, without",
        "beside",
        "ratio",
        "CPU s/s, without",
        "beside",
        "0.95 of asks ms, without",
        "beside",
        "not served without",
        "beside",
    ):
        table.add_column(column, justify="left" if column == "bad clients" else "right")
    with tempfile.TemporaryDirectory() as folder:
        for kind, (mark, act) in KINDS.items():
            port, path = free_port(), Path(folder) / "config.json"
            path.write_text(
                json.dumps(
                    {
                        "name": "n",
                        "listen": f"127.0.0.1:{port}",
                        "discovery": f"127.0.0.1:{server.server_port}",
                        "seed": "1f",
                        "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
                        "known": listed,
                        "settings": settings,
                    }
                )
            )
            process = subprocess.Popen(
                [sys.executable, "-m", "stackpitch.platform"],
                stderr=subprocess.DEVNULL,
                env=os.environ | {"RELAY_CONFIG": str(path)},
            )
            try:
                until = time.monotonic() + 10
                while not ready(port) and time.monotonic() < until:
                    time.sleep(0.02)
                alone = stretch(process, port, asked.asks, 1000)
                bad = Bad(port, mark, act, asked.clients)
                beside = stretch(process, port, asked.asks, 100_000)
                bad.end()
            finally:
                process.kill()
                process.wait()
            table.add_row(
                kind,
                f"{alone[0]:.1f}",
                f"{beside[0]:.1f}",
                f"{beside[0] / alone[0]:.2f}",
                f"{alone[1]:.3f}",
                f"{beside[1]:.3f}",
                f"{alone[2] * 1e3:.0f}",
                f"{beside[2] * 1e3:.0f}",
                alone[3],
                beside[3],
            )
    Console(width=200).print(table)


if __name__ == "__main__":
    main()

"""Stand-ins for what `stackpitch serve` speaks with: engines of docs/engine-protocol.md and clients of its API."""

import asyncio
import json
import os
import subprocess
import time
from pathlib import Path

from standins import ROOT, CannotRun, Record, answer, chunk, free_port, read_head, read_request


class Engine:
    """One engine. `runs`: the id of each request that it has run. `breaks`: for which ids it ends the connection in
    place of an answer, after it has run them. `first_time`: seconds until a writer's first token."""

    first_time = 0.02

    def __init__(self, record: Record, name: str, role: str, runs: list[tuple[str, str]]) -> None:
        self.record, self.name, self.role, self.runs = record, name, role, runs
        self.breaks: set[str] = set()
        self.port, self.server = 0, None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def listed(self) -> dict:
        return {"name": self.name, "host": "127.0.0.1", "port": self.port, "zone": "hall", "cell": 1,
                "kind": "prefill" if self.role == "reader" else "decode"}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (call := await read_request(reader, self.record)) is not None:
                method, target, _ = call.first.split()
                name = call.fields.get("x-request-id", "")
                if target == "/v1/state/hold":
                    writer.write(answer(200, b'{"held":false}', "content-type: application/json"))
                elif target == "/v1/state/release":
                    writer.write(answer(200, b"{}", "content-type: application/json"))
                elif method == "GET":
                    writer.write(answer(200, b"{}", "content-type: application/json"))
                elif self.role == "reader":
                    self.record.add(self.name, f"reads {name}")
                    state = json.loads(call.body)["kv_transfer_params"]["state_id"]
                    body = json.dumps({"kv_transfer_params": {"state_id": state},
                                       "usage": {"prompt_tokens": 10, "completion_tokens": 1}}).encode()
                    writer.write(answer(200, body, "content-type: application/json"))
                else:
                    self.runs.append((name, self.name))
                    self.record.add(self.name, f"runs {name}, product {call.fields.get('x-product')}")
                    await asyncio.sleep(self.first_time)
                    if name in self.breaks:
                        self.record.add(self.name, f"ends the connection of {name}, which has run")
                        return
                    writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                                 b"transfer-encoding: chunked\r\nx-kv-state: fetched\r\n\r\n")
                    writer.write(chunk(b'data: {"choices":[{"index":0,"delta":{"content":"ok"}}]}\n\n'))
                    writer.write(chunk(b'data: {"choices":[],"usage":{"prompt_tokens":10,"completion_tokens":1}}\n\n'
                                       b"data: [DONE]\n\n") + b"0\r\n\r\n")
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Serving:
    """A gateway started as README.md has it: `stackpitch serve -c FILE`."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder, self.port, self.admin = record, folder, free_port(), free_port()
        self.config, self.fleet, self.log = folder / "gateway.jsonnet", folder / "fleet.json", folder / "gateway.log"
        self.process, self.name = None, "gateway"

    def write(self, path: Path, value: dict) -> None:
        """Writes it beside and renames it into place."""
        beside = path.with_suffix(".new")
        beside.write_text(json.dumps(value))
        beside.rename(path)

    async def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", f"exec .venv/bin/python -m stackpitch serve -c {self.config}"],
                cwd=ROOT, env=dict(os.environ), stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.add("gateway", f"is started, pid {self.process.pid}")
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the gateway ended: {self.log.read_text()[-800:]}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.close()
                self.record.add("gateway", "listens")
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise CannotRun("the gateway does not listen after 30 s")

    async def logged(self, text: str, seconds: float) -> bool:
        """Waits until a line of its log holds the text."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for line in self.log.read_text().splitlines():
                if text in line:
                    self.record.add("gateway", f"logs {line[:400]}")
                    return True
            await asyncio.sleep(0.05)
        return False

    async def ask(self, name: str, product: str) -> int:
        """Sends one request; returns the status of the answer, 0 without one."""
        body = json.dumps({"model": product, "stream": True, "max_tokens": 20,
                           "messages": [{"role": "user", "content": "book a bottle of wine"}]}).encode()
        self.record.add("client", f"sends {name} {product}")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write((f"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: {name}\r\n"
                      f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n").encode() + body)
        message = await read_head(reader, self.record)
        status = 0 if message is None else int(message.first.split()[1])
        if message is not None and status != 200:
            text = await reader.readexactly(int(message.fields.get("content-length", "0")))
            self.record.add("client", f"is told {text[:200]!r}, x-should-retry {message.fields.get('x-should-retry')}")
        self.record.add("client", f"has {name}: {status}")
        writer.close()
        return status

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(3)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()

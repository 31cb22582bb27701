"""Gateway processes of the users' platform: started, signalled and looked at from outside."""

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from soak.mutants.acting import ACTED
from soak.records import Pause, Record, Stop
from soak.shim import Shim

READY = 10.0  # seconds until a process is ready
SHORT_STOP = 0.15  # seconds for which the page has a gateway held up
MEMORY_MB = 96
FAULTY_LINES = (
    "door_raised",
    "attempt_raised",
    "module_raised",
    "discovery_raised",
    "request_raised",
    "invariant_broken",
    "answered_by_host",
    "module_kept_without_leg",
    "Traceback",
)  # of the log: errors that nobody thought of


class Gateway:
    """One place of the fleet, with one process after another."""

    def __init__(
        self,
        name: str,
        host: str,
        folder: Path,
        record: Record,
        shim: Shim | None,
        program: list[str],
        sockets: int = 256,
    ) -> None:
        """`sockets`: descriptors that a process may hold."""
        self.name, self.host, self.folder, self.record, self.shim = name, host, folder, record, shim
        self.program, self.sockets = program, sockets
        self.port = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.config = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.ended = 0.0  # when the last process was killed or ended
        self.most_memory_kb = 0

    def configure(self, number: int, gateways: int, discovery: int, known: dict[str, object]) -> None:
        """Writes the configuration beside and renames it into place."""
        settings = dict(self.record.settings) | {"balancers": gateways, "me": number}
        beside = self.config.with_suffix(".new")
        beside.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{self.host}:{self.port}",
                    "discovery": f"{self.host}:{discovery}",
                    "seed": "1f",
                    "limits": {"sockets": self.sockets, "memory_mb": MEMORY_MB},
                    "settings": settings,
                    "known": known,
                }
            )
        )
        beside.rename(self.config)

    def start(self) -> None:
        self.record.restarts += bool(self.process)
        faults = self.shim.environment() if self.shim is not None else {}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.program],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    **faults,
                    "RELAY_CONFIG": str(self.config),
                    ACTED: str(self.folder.parent / ACTED),
                },
                preexec_fn=self._prepare,
            )

    def _prepare(self) -> None:
        """In the new process, before the program: what `run` of the deploy file does, and the limit."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets))

    async def ready(self) -> bool:
        """Waits until it says so; notes it if that takes too long."""
        until = time.monotonic() + READY
        while time.monotonic() < until:
            if self.process is None or self.process.poll() is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
                async with asyncio.timeout(1):
                    head = await reader.readline()
                writer.close()
                if b" 200 " in head:
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        self.record.wrong.append(f"{self.name}: not ready within {READY:.0f} s")
        return False

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop_for(self, seconds: float) -> None:
        """It does not run for so long."""
        begin = time.monotonic()
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)
        self.record.pauses.append(Pause(self.name, begin, time.monotonic()))

    async def kill_and_replace(self) -> None:
        begin = time.monotonic()
        self.signal(signal.SIGKILL)
        await self._gone()
        self._look_at_log()
        self.start()
        await self.ready()
        self.record.pauses.append(Pause(self.name, begin, time.monotonic(), killed=True, replaced=True))

    async def roll(self, patience: float, series: Sequence[int], gap: float, stop: float | None) -> None:
        """Signals in a series with SIGTERM among them, `gap` seconds apart, SIGKILL `patience` seconds after that, and another
        process. `stop`: so long after the last of the series the process does not run for a moment; None: it always does."""
        for number in series[: series.index(signal.SIGTERM)]:
            self.signal(number)
            await asyncio.sleep(gap)
        told = time.monotonic()
        for number in series[series.index(signal.SIGTERM) :]:
            self.signal(number)
            await asyncio.sleep(gap)
        if stop is not None:
            await asyncio.sleep(stop)
            await self.stop_for(SHORT_STOP)
        await self._gone(told + patience - time.monotonic())
        code = self.process.poll() if self.process is not None else 0
        ended = time.monotonic()
        self.record.stops.append(Stop(self.name, told, ended, killed=code is None))
        if code is None:
            self.signal(signal.SIGKILL)
            await self._gone()
        elif code != 0:
            self.record.wrong.append(f"{self.name}: ended with {code} after SIGTERM")
        self._look_at_log()
        self.start()
        await self.ready()
        self.record.pauses.append(
            Pause(self.name, ended, time.monotonic(), killed=code is None, replaced=True)
        )

    async def _gone(self, limit: float = 10.0) -> None:
        until = time.monotonic() + limit
        while self.process is not None and self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)

    def look(self) -> None:
        """Notes a crash, and memory and descriptors over what the configuration allows."""
        if self.process is None:
            return
        if (code := self.process.poll()) is not None:
            self.record.wrong.append(f"{self.name}: crashed with {code}")
            self._look_at_log()
            self.process = None
            return
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        memory = int(status.partition("VmRSS:")[2].split()[0])
        self.most_memory_kb = max(self.most_memory_kb, memory)
        if memory > MEMORY_MB * 1024:
            self.record.wrong.append(f"{self.name}: {memory} kB of memory")

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd")) if self.process is not None else 0

    def end(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self._look_at_log()

    def _look_at_log(self) -> None:
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        for line in text.splitlines():
            if any(word in line for word in FAULTY_LINES):
                self.record.wrong.append(f"{self.name}: {line[:600]}")
        if text:
            self.log.rename(self.log.with_suffix(f".{time.monotonic_ns()}"))

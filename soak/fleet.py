"""The processes and stand-ins of a run, all on a loopback address of its own."""

import asyncio
import json
import os
import socket
from contextlib import suppress
from pathlib import Path
from random import Random

from soak.clients import Client
from soak.discovery import Discovery
from soak.gateways import Gateway
from soak.plan import (
    DISCOVERY,
    FORM_MODES,
    LASTING,
    STREAM_MODES,
    WORKER_DEAF,
    WORKER_LIFE,
    WORKER_MODES,
    WORKER_NETWORK,
    Plan,
    Trouble,
)
from soak.records import Record
from soak.settings import RETRY_AFTERS, UNREPEATABLE, limits, settings
from soak.shim import Shim
from soak.workers import Worker, member

HOST = "127.0.0.1"
FIRST_PORT, BLOCKS, BLOCK = 2_000, 40, 200  # a block for each run, below all other ports that are used here


def place(number: int) -> tuple[str, int]:
    """Zone and cell of a worker: two cells in each of two zones."""
    return "ab"[number % 2], number % 4


def claimed_block() -> tuple[socket.socket, int]:
    """The first port of a block that no other run has, and a socket there that says so until it is closed. Raises
    CannotStart."""
    for step in range(BLOCKS):
        first = FIRST_PORT + (os.getpid() + step) % BLOCKS * BLOCK
        claim = socket.socket()
        try:
            claim.bind((HOST, first))
        except OSError:
            claim.close()
        else:
            return claim, first
    raise CannotStart(f"{BLOCKS} runs at once: no block of ports is free")


class CannotStart(Exception):
    """A part of the soak could not be started; its text says which."""


class Fleet:
    """`record` is what was seen of it. Raises CannotStart where a part can't be had."""

    def __init__(self, plan: Plan, seed: int, folder: Path, library: Path | None, program: list[str]) -> None:
        self.plan, self.random = plan, Random(f"run {seed}")
        self.record = Record(settings(plan), most_retry_after=max(RETRY_AFTERS) / 1000)
        self.workers = [
            Worker(
                f"{'r' if number < plan.readers else 'w'}{number}",
                "reader" if number < plan.readers else "writer",
                self.record,
                Random(f"{seed} worker {number}"),
                HOST,
                plan.pressure.prefill if number < plan.readers else plan.pressure.decode,
                plan.pace,
            )
            for number in range(plan.readers + plan.writers)
        ]
        for number, worker in enumerate(self.workers):
            self.record.places[worker.name] = place(number)
        self.discovery = Discovery(self.record, Random(f"{seed} discovery"), HOST)
        self.gateways: list[Gateway] = []
        for number in range(plan.gateways):
            own = folder / f"g{number}"
            own.mkdir(parents=True)
            shim = Shim(own, library, seed * 100 + number) if library is not None else None
            self.gateways.append(
                Gateway(f"g{number}", HOST, own, self.record, shim, program, plan.pressure.sockets)
            )
        self.clients = [
            Client(
                number,
                self.gateways[number % plan.gateways].name,
                self.record,
                Random(f"{seed} {number}"),
                HOST,
                limits(plan),
                plan.pressure.new_session,
                UNREPEATABLE,
            )
            for number in range(plan.clients)
        ]
        self.record.crowded = {f"g{number}" for number in plan.crowded}
        self.late: set[asyncio.Task[None]] = set()  # clients of gateways that stop; emptied as they end
        self.block, first = claimed_block()
        self.ports = iter(range(first + 1, first + BLOCK))
        self.busy: set[str] = set()  # gateways that are being signalled

    async def start(self) -> None:
        try:
            for worker in self.workers:
                worker.port = await self.free_port()
                await worker.start()
                self.discovery.members[worker.name] = member(worker)
            for number, gateway in enumerate(self.gateways):
                gateway.port = await self.free_port()
                port = await self.free_port()
                await self.discovery.open_for(gateway.name, port)
                gateway.configure(number, self.plan.gateways, port, self.discovery.known())
                gateway.start()
        except OSError as wrong:
            raise CannotStart(f"stand-ins or processes: {wrong}") from None
        ready = await asyncio.gather(*(one.ready() for one in self.gateways))
        if not all(ready):
            raise CannotStart(f"gateways: {self.record.wrong}")
        for client in self.clients:
            client.port = next(one.port for one in self.gateways if one.name == client.gateway)

    async def free_port(self) -> int:
        for port in self.ports:
            with suppress(OSError):
                server = await asyncio.start_server(lambda reader, writer: None, HOST, port)
                server.close()
                await server.wait_closed()
                return port
        raise CannotStart("no port is free")

    def not_busy(self, numbers: tuple[int, ...]) -> list[Gateway]:
        """Those of these gateways that are not being signalled."""
        return [one for number in numbers if (one := self.gateways[number]).name not in self.busy]

    def names(self, trouble: Trouble) -> list[str]:
        """Of the gateways or workers that a trouble is at; none: it is everywhere."""
        if trouble.kind in DISCOVERY or trouble.kind == "join":
            return []
        if (
            trouble.kind
            in WORKER_MODES + STREAM_MODES + FORM_MODES + WORKER_NETWORK + WORKER_DEAF + WORKER_LIFE + LASTING
        ):
            return [self.workers[number].name for number in trouble.targets]
        return [self.gateways[number].name for number in trouble.targets]

    def end(self) -> None:
        """Leaves no process behind."""
        for gateway in self.gateways:
            gateway.end()
        self.block.close()
        self.record.wrong = list(dict.fromkeys(self.record.wrong))

    def injected(self) -> str:
        """Faults that the preloaded library injected, by kind."""
        found: dict[str, int] = {}
        for gateway in self.gateways:
            if gateway.shim is not None:
                for kind, count in gateway.shim.injected().items():
                    found[kind.name.lower()] = found.get(kind.name.lower(), 0) + count
        return json.dumps({kind: count for kind, count in found.items() if count})

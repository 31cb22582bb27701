"""Plays one plan: processes, stand-ins and troubles, all on a loopback address of the run's own."""

import asyncio
import json
import os
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from random import Random

from soak.clients import Client
from soak.discovery import Discovery
from soak.gateways import Gateway
from soak.late import connected
from soak.plan import Plan, Trouble
from soak.records import Record
from soak.shim import Kind, Shim
from soak.stops import earliest_kill
from soak.workers import Worker, member

HOST = "127.0.0.1"
FIRST_PORT, BLOCKS, BLOCK = (
    2_000,
    64,
    200,
)  # below those that the system gives to connections; a block for each run
LIMITS = {"chat": 4.0, "pay": 4.0, "order": 9.0}  # seconds, before the plan's part of them
LONGEST_DEADLINE = max(LIMITS.values())
CROWD, CROWD_RENEWED = 110, 0.5  # idle connections at a crowded gateway; seconds between two looks at them
SERIES = (
    (signal.SIGTERM,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
)
SETTLE = 1.5  # seconds without troubles at the end
WALL_STEPS = (-3_600_000, -30_000, -2_000, 2_000, 30_000, 3_600_000)  # milliseconds
FLAVORS = ("r", "w")
CONNECTING = 0.05  # seconds for clients to connect before their gateway is told to stop


class CannotStart(Exception):
    """A part of the soak could not be started; its text says which."""


def limits(plan: Plan) -> dict[str, float]:
    """The longest deadline of each class, in seconds."""
    return {name: limit * plan.deadline_part for name, limit in LIMITS.items()}


def settings(plan: Plan) -> dict[str, object]:
    deadlines = {name: round(limit * 1000) for name, limit in limits(plan).items()}
    return {
        "balancers": plan.gateways,
        "me": 0,
        "zone": "a",
        "models": list(FLAVORS),
        "bounds": {
            "connIdleMs": 6000,
            "connectTimeoutMs": 250,
            "maxAttempts": 4,
            "retryAfter": True,
            "maxRetryAfterMs": 1000,
            "secondCopies": plan.second_copies,
            "cancel": True,
        },
        "classes": [
            {"name": "chat", "effect": "free", "aimMs": 1000, "deadlineMs": deadlines["chat"], "worth": 1},
            {
                "name": "pay",
                "effect": "guarded",
                "dedupScope": "all",
                "keyTtlMs": 800,
                "aimMs": 1000,
                "deadlineMs": deadlines["pay"],
                "worth": 2,
            },
            {
                "name": "order",
                "effect": "single_shot",
                "aimMs": 2500,
                "deadlineMs": deadlines["order"],
                "worth": 3,
            },
        ],
        "guarantees": {
            "coldFrom": 0.1,
            "warmUpMs": 5000,
            "fallMultiple": 1.5,
            "fallMs": 2000,
            "drainGraceMs": 500,
        },
        "extra": {
            "aimUsPer1000PromptTokens": [4e4, 4e4],
            "dutyByKind": ["read", "write"],
            "kvTokens": [100000, 100000],
            "localRead": True,
            "releaseMs": plan.release_ms,
            "tokenAimMs": [60, 60],
        },
        "report": {"fields": ["utilization", "backlog", "x0"], "via": "piggyback"},
    }


class Run:
    """One run of a plan. `record` is what was seen."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        folder: Path,
        library: Path | None,
        program: list[str],
        say: Callable[[str], None],
    ) -> None:
        self.plan, self.random, self.folder, self.say = plan, Random(f"run {seed}"), folder, say
        self.record = Record(settings(plan))
        self.workers = [
            Worker(
                f"{'r' if number < plan.readers else 'w'}{number}",
                "reader" if number < plan.readers else "writer",
                self.record,
                Random(f"{seed} worker {number}"),
                HOST,
            )
            for number in range(plan.readers + plan.writers)
        ]
        self.discovery = Discovery(self.record, Random(f"{seed} discovery"), HOST)
        self.gateways: list[Gateway] = []
        for number in range(plan.gateways):
            own = folder / f"g{number}"
            own.mkdir(parents=True)
            shim = Shim(own, library, seed * 100 + number) if library is not None else None
            self.gateways.append(Gateway(f"g{number}", HOST, own, self.record, shim, program))
        self.clients = [
            Client(
                number,
                self.gateways[number % plan.gateways].name,
                self.record,
                Random(f"{seed} {number}"),
                HOST,
                limits(plan),
            )
            for number in range(plan.clients)
        ]
        self.record.crowded = {f"g{number}" for number in plan.crowded}
        self.late: set[asyncio.Task[None]] = set()  # clients of gateways that stop; emptied as they end
        first = FIRST_PORT + os.getpid() % BLOCKS * BLOCK
        self.ports = iter(range(first, first + BLOCK))
        self.busy: set[str] = set()  # gateways that are being signalled
        self.began = 0.0

    async def play(self) -> Record:
        await self._start()
        self.began = time.monotonic()
        tasks = [asyncio.ensure_future(one.run(self.plan.pause)) for one in self.clients]
        watch = asyncio.ensure_future(self._watch())
        crowds = [asyncio.ensure_future(self._keep_crowd(self.gateways[one])) for one in self.plan.crowded]
        troubles = [asyncio.ensure_future(self._trouble(one)) for one in self.plan.troubles]
        await asyncio.sleep(self.plan.seconds - SETTLE)
        await asyncio.wait(troubles, timeout=LONGEST_DEADLINE + 12) if troubles else None
        await asyncio.sleep(SETTLE)
        for client in self.clients:
            client.over = True
        await asyncio.wait([*tasks, *self.late], timeout=LONGEST_DEADLINE + 6)
        for task in crowds:
            task.cancel()
        await asyncio.wait(crowds) if crowds else None
        await asyncio.sleep(1.0)
        for task in (*tasks, *self.late, *troubles, watch):
            task.cancel()
        self._look_at_rest()
        for worker in self.workers:
            worker.die()
        return self.record

    async def _start(self) -> None:
        try:
            for worker in self.workers:
                worker.port = await self._free_port()
                await worker.start()
                self.discovery.members[worker.name] = member(worker)
            for number, gateway in enumerate(self.gateways):
                gateway.port = await self._free_port()
                port = await self._free_port()
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

    async def _free_port(self) -> int:
        for port in self.ports:
            with suppress(OSError):
                server = await asyncio.start_server(lambda reader, writer: None, HOST, port)
                server.close()
                await server.wait_closed()
                return port
        raise CannotStart("no port is free")

    async def _watch(self) -> None:
        """Looks for crashes, and for times in which this harness itself does not run."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            self.record.lag = max(self.record.lag, now - before - 0.05)
            before = now
            for gateway in self.gateways:
                if gateway.name not in self.busy:
                    gateway.look()

    def _look_at_rest(self) -> None:
        """Nothing is under way any more."""
        for gateway in self.gateways:
            gateway.look()
            most = 24 + 2 * (len(self.workers) + 6)
            if (found := gateway.descriptors()) > most and gateway.name not in self.busy:
                self.record.wrong.append(f"{gateway.name}: {found} descriptors at rest, {most} allowed")

    def end(self) -> None:
        """Leaves no process behind."""
        for gateway in self.gateways:
            gateway.end()
        self.record.wrong = list(dict.fromkeys(self.record.wrong))

    async def _trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(max(0.0, self.began + trouble.at - time.monotonic()))
        self.record.troubles.append(str(trouble))
        act: Callable[[Trouble], Awaitable[None]] = getattr(
            self, "_" + trouble.kind.replace("-", "_"), self._mode
        )
        try:
            await act(trouble)
        except OSError as wrong:
            self.say(f"trouble {trouble.kind}: {wrong}")

    def _of_workers(self, trouble: Trouble) -> list[Worker]:
        return [self.workers[number] for number in trouble.targets]

    def _of_gateways(self, trouble: Trouble) -> list[Gateway]:
        return [one for number in trouble.targets if (one := self.gateways[number]).name not in self.busy]

    # Workers.

    async def _mode(self, trouble: Trouble) -> None:
        workers = self._of_workers(trouble)
        for worker in workers:
            worker.modes.add(trouble.kind)
        await asyncio.sleep(trouble.length)
        for worker in workers:
            worker.modes.discard(trouble.kind)

    async def _network(self, trouble: Trouble, **faults: object) -> None:
        networks = [one.network for one in self._of_workers(trouble)]
        for network in networks:
            for name, value in faults.items():
                setattr(network, name, value)
        await asyncio.sleep(trouble.length)
        for network in networks:
            network.calm()

    async def _silent(self, trouble: Trouble) -> None:
        await self._network(trouble, silent=True)

    async def _delay(self, trouble: Trouble) -> None:
        await self._network(trouble, delay=0.2 * trouble.amount)

    async def _pieces(self, trouble: Trouble) -> None:
        await self._network(trouble, pieces=True)

    async def _cut(self, trouble: Trouble) -> None:
        await self._network(trouble, cut=0.3 * trouble.amount)

    async def _half_close(self, trouble: Trouble) -> None:
        await self._network(trouble, half_close=0.3 * trouble.amount)

    async def _garbage(self, trouble: Trouble) -> None:
        await self._network(trouble, garbage=0.3 * trouble.amount)

    async def _reset(self, trouble: Trouble) -> None:
        for worker in self._of_workers(trouble):
            worker.network.reset_all()

    async def _close_idle(self, trouble: Trouble) -> None:
        for worker in self._of_workers(trouble):
            worker.network.close_idle()

    async def _die(self, trouble: Trouble) -> None:
        """Its processes die, are listed as removed a while later, and come back cold."""
        workers = [one for one in self._of_workers(trouble) if one.server is not None]
        for worker in workers:
            worker.die()
        await asyncio.sleep(0.5 * trouble.amount)
        for worker in workers:
            await self.discovery.tell(member(worker, "removed"))
        await asyncio.sleep(trouble.length)
        for worker in workers:
            await worker.start(cold=True)
        await asyncio.sleep(trouble.amount)
        for worker in workers:
            await self.discovery.tell(member(worker))

    async def _drain(self, trouble: Trouble) -> None:
        """Listed as draining; some come back later, as cold processes."""
        workers = [one for one in self._of_workers(trouble) if one.server is not None]
        for worker in workers:
            await self.discovery.tell(member(worker, "draining"))
        await asyncio.sleep(trouble.length + 2)
        for worker in workers:
            worker.die()
            await asyncio.sleep(0.1)
            await worker.start(cold=True)
            await self.discovery.tell(member(worker))

    async def _join(self, trouble: Trouble) -> None:
        """New and cold ones."""
        for _ in trouble.targets[:3]:
            number = len(self.workers)
            role = "reader" if self.random.random() < 0.5 else "writer"
            worker = Worker(f"{role[0]}{number}", role, self.record, Random(f"joined {number}"), HOST)
            self.workers.append(worker)
            worker.port = await self._free_port()
            await worker.start(cold=True)
            await asyncio.sleep(trouble.amount)
            await self.discovery.tell(member(worker))

    # Gateways.

    async def _each(self, trouble: Trouble, act: Callable[[Gateway], Awaitable[None]]) -> None:
        gateways = self._of_gateways(trouble)
        self.busy |= {one.name for one in gateways}
        await asyncio.gather(*(act(one) for one in gateways))
        self.busy -= {one.name for one in gateways}

    async def _stop_short(self, trouble: Trouble) -> None:
        await self._each(trouble, lambda one: one.stop_for(0.15))

    async def _stop_long(self, trouble: Trouble) -> None:
        await self._each(trouble, lambda one: one.stop_for(3.0))

    async def _kill(self, trouble: Trouble) -> None:
        await self._each(trouble, lambda one: one.kill_and_replace())

    async def _roll(self, trouble: Trouble) -> None:
        """Clients that have connected before go on sending until SIGKILL, which comes as early as the page has it."""
        patience = earliest_kill(max(limits(self.plan).values()))
        series = SERIES[int(trouble.amount * len(SERIES))]

        async def stop(gateway: Gateway) -> None:
            random = Random(f"{trouble} {gateway.name}")
            late = connected(
                gateway.name, gateway.port, self.record, random, HOST, limits(self.plan), patience
            )
            self.late.update(late)
            for task in late:
                task.add_done_callback(self.late.discard)
            await asyncio.sleep(CONNECTING)
            await gateway.roll(patience, series)

        await self._each(trouble, stop)

    async def _hup(self, trouble: Trouble) -> None:
        """Discovery moves to another port."""
        for gateway in self._of_gateways(trouble):
            old, _ = self.discovery.servers[gateway.name]
            port = await self._free_port()
            await self.discovery.open_for(gateway.name, port)
            gateway.configure(self.gateways.index(gateway), self.plan.gateways, port, self.discovery.known())
            gateway.signal(signal.SIGHUP)
            if old is not None:
                old.close()

    async def _hup_settings(self, trouble: Trouble) -> None:
        """Settings that change what is learnt, and no rule; twice in quick succession."""
        for ready in (1100, 1000):
            bounds = self.record.settings["bounds"]
            assert isinstance(bounds, dict)
            bounds["maxRetryAfterMs"] = ready
            for gateway in self._of_gateways(trouble):
                _, port = self.discovery.servers[gateway.name]
                gateway.configure(
                    self.gateways.index(gateway), self.plan.gateways, port, self.discovery.known()
                )
                gateway.signal(signal.SIGHUP)
            await asyncio.sleep(0.3 * trouble.amount)

    async def _shimmed(self, trouble: Trouble, rates: dict[Kind, int]) -> None:
        shims = [one.shim for one in self._of_gateways(trouble) if one.shim is not None]
        for shim in shims:
            shim.set(rates)
        await asyncio.sleep(trouble.length)
        for shim in shims:
            shim.set({})

    async def _short_io(self, trouble: Trouble) -> None:
        await self._shimmed(trouble, {Kind.SHORT_IO: 50 + int(300 * trouble.amount)})

    async def _local(self, trouble: Trouble) -> None:
        rate = int(200 * trouble.amount)
        await self._shimmed(
            trouble, {Kind.CONNECT: rate, Kind.SOCKET: rate // 4, Kind.ACCEPT: 2 * rate, Kind.WAIT: rate}
        )

    async def _clock(self, trouble: Trouble) -> None:
        for gateway in self._of_gateways(trouble):
            if gateway.shim is not None:
                gateway.shim.step_wall_clock(self.random.choice(WALL_STEPS))

    async def _broken_io(self, trouble: Trouble) -> None:
        """Connections break at reads and writes, those of clients as well: these gateways are excused from then on."""
        self.record.broken_io |= {one.name for one in self._of_gateways(trouble)[:2]}
        few = Trouble(trouble.kind, trouble.at, trouble.length, trouble.targets[:2], trouble.amount)
        await self._shimmed(few, {Kind.BROKEN_IO: 1 + int(20 * trouble.amount)})

    # Discovery.

    async def _discovery_down(self, trouble: Trouble) -> None:
        await self.discovery.down()
        await asyncio.sleep(trouble.length * 2)
        await self.discovery.up()

    async def _discovery_silent(self, trouble: Trouble) -> None:
        self.discovery.network.silent = True
        await asyncio.sleep(trouble.length * 2)
        self.discovery.network.calm()

    async def _discovery_pieces(self, trouble: Trouble) -> None:
        self.discovery.network.pieces = True
        await asyncio.sleep(trouble.length * 2)
        self.discovery.network.calm()

    async def _discovery_reset(self, trouble: Trouble) -> None:
        self.discovery.network.reset_all()

    async def _discovery_late(self, trouble: Trouble) -> None:
        self.discovery.slow = trouble.amount
        await asyncio.sleep(trouble.length)
        self.discovery.slow = 0.0

    # Clients.

    async def _burst(self, trouble: Trouble) -> None:
        """More clients for a while."""
        more = [
            Client(
                1000 * len(self.record.troubles) + number,
                gateway.name,
                self.record,
                Random(f"{trouble} {number}"),
                HOST,
                limits(self.plan),
            )
            for number, gateway in enumerate(self._of_gateways(trouble))
        ]
        for client in more:
            client.port = next(one.port for one in self.gateways if one.name == client.gateway)
        tasks = [asyncio.ensure_future(one.run(self.plan.pause / 10)) for one in more]
        await asyncio.sleep(trouble.length)
        for client in more:
            client.over = True
        await asyncio.wait(tasks, timeout=LONGEST_DEADLINE + 6) if tasks else None

    async def _keep_crowd(self, gateway: Gateway) -> None:
        """Idle connections that fill the gateway's places for clients, and come anew as it ends them."""
        held: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        try:
            while True:
                for one in [one for one in held if one[0].at_eof() or one[0].exception() is not None]:
                    held.remove(one)
                    one[1].close()
                with suppress(OSError):  # it is being replaced
                    while len(held) < CROWD:
                        held.append(await asyncio.open_connection(HOST, gateway.port))
                await asyncio.sleep(CROWD_RENEWED)
        finally:
            for _, writer in held:
                writer.close()

    async def _crowd(self, trouble: Trouble) -> None:
        """Idle connections."""
        held = []
        for gateway in self._of_gateways(trouble)[:3]:
            for _ in range(int(60 * trouble.amount)):
                with suppress(OSError):
                    held.append((await asyncio.open_connection(HOST, gateway.port))[1])
        await asyncio.sleep(trouble.length)
        for writer in held:
            writer.close()


def counts(run: Run) -> str:
    """Faults that the preloaded library injected, by kind."""
    found: dict[str, int] = {}
    for gateway in run.gateways:
        if gateway.shim is not None:
            for kind, count in gateway.shim.injected().items():
                found[kind.name.lower()] = found.get(kind.name.lower(), 0) + count
    return json.dumps({kind: count for kind, count in found.items() if count})

"""Workers that misbehave, whose network does, or that come and go."""

import asyncio
from random import Random

from soak.fleet import HOST, Fleet, place
from soak.plan import FORM_MODES, STREAM_MODES, WORKER_MODES, Trouble
from soak.troubles.acts import Act
from soak.workers import Worker, member


class WorkerTroubles:
    """At the workers that a trouble names."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def acts(self) -> dict[str, Act]:
        """By kind of trouble."""
        modes: dict[str, Act] = dict.fromkeys(WORKER_MODES + STREAM_MODES + FORM_MODES, self._mode)
        return modes | {
            "silent": self._silent,
            "deaf": self._deaf,
            "mute-idle": self._mute_idle,
            "delay": self._delay,
            "pieces": self._pieces,
            "cut": self._cut,
            "half-close": self._half_close,
            "garbage": self._garbage,
            "reset": self._reset,
            "close-idle": self._close_idle,
            "late-connect": self._late_connect,
            "die": self._die,
            "drain": self._drain,
            "drain-long": self._drain_long,
            "join": self._join,
        }

    def _of_workers(self, trouble: Trouble) -> list[Worker]:
        return [self.fleet.workers[number] for number in trouble.targets]

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
        for network in networks:  # others of its faults go on
            for name, value in faults.items():
                setattr(network, name, type(value)())

    async def _silent(self, trouble: Trouble) -> None:
        await self._network(trouble, silent=True)

    async def _deaf(self, trouble: Trouble) -> None:
        """They take nothing, and go on with what they have begun."""
        await self._network(trouble, deaf=True)

    async def _mute_idle(self, trouble: Trouble) -> None:
        """Their resting connections die without a sign."""
        for worker in self._of_workers(trouble):
            worker.network.mute_idle()

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

    async def _late_connect(self, trouble: Trouble) -> None:
        await asyncio.gather(*(one.connect_late(trouble.length) for one in self._of_workers(trouble)))

    async def _die(self, trouble: Trouble) -> None:
        """Its processes die, are listed as removed a while later, and come back cold."""
        workers = [
            one for one in self._of_workers(trouble) if one.server is not None and "drains" not in one.modes
        ]
        for worker in workers:
            worker.die()
        await asyncio.sleep(0.5 * trouble.amount)
        for worker in workers:
            await self.fleet.discovery.tell(member(worker, "removed"))
        await asyncio.sleep(trouble.length)
        for worker in workers:
            await worker.start(cold=True)
        await asyncio.sleep(trouble.amount)
        for worker in workers:
            await self.fleet.discovery.tell(member(worker))

    async def _drain(self, trouble: Trouble) -> None:
        """Listed as draining; some come back later, as cold processes."""
        workers = [
            one for one in self._of_workers(trouble) if one.server is not None and "drains" not in one.modes
        ]
        for worker in workers:
            await self.fleet.discovery.tell(member(worker, "draining"))
        await asyncio.sleep(trouble.length + 2)
        for worker in workers:
            worker.die()
            await asyncio.sleep(0.1)
            await worker.start(cold=True)
            await self.fleet.discovery.tell(member(worker))

    async def _drain_long(self, trouble: Trouble) -> None:
        """Listed as draining, and up to the run's end."""
        for worker in self._of_workers(trouble):
            if worker.server is not None and "drains" not in worker.modes:
                worker.modes.add("drains")
                await self.fleet.discovery.tell(member(worker, "draining"))

    async def _join(self, trouble: Trouble) -> None:
        """New and cold ones."""
        for _ in trouble.targets[:3]:
            number = len(self.fleet.workers)
            role = "reader" if self.fleet.random.random() < 0.5 else "writer"
            pressure = self.fleet.plan.pressure
            capacity = pressure.prefill if role == "reader" else pressure.decode
            name = f"{role[0]}{number}"
            self.fleet.record.places[name] = place(number)
            self.fleet.record.joined.add(name)
            worker = Worker(
                name,
                role,
                self.fleet.record,
                Random(f"joined {number}"),
                HOST,
                capacity,
                self.fleet.plan.pace,
            )
            self.fleet.workers.append(worker)
            worker.port = await self.fleet.free_port()
            await worker.start(cold=True)
            await asyncio.sleep(trouble.amount)
            await self.fleet.discovery.tell(member(worker))

"""Calls of the system that fail in gateway processes, and their wall clocks."""

import asyncio
import time

from soak.fleet import Fleet
from soak.plan import Trouble
from soak.records import BrokenIo
from soak.shim import Kind
from soak.troubles.acts import Act

WALL_STEPS = (-3_600_000, -30_000, -2_000, 2_000, 30_000, 3_600_000)  # milliseconds


class SystemTroubles:
    """By the preloaded library; without it nothing happens."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def acts(self) -> dict[str, Act]:
        """By kind of trouble."""
        return {
            "short-io": self._short_io,
            "local": self._local,
            "clock": self._clock,
            "broken-io": self._broken_io,
        }

    async def _shimmed(self, trouble: Trouble, rates: dict[Kind, int]) -> None:
        shims = [one.shim for one in self.fleet.not_busy(trouble.targets) if one.shim is not None]
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
        for gateway in self.fleet.not_busy(trouble.targets):
            if gateway.shim is not None:
                gateway.shim.step_wall_clock(self.fleet.random.choice(WALL_STEPS))

    async def _broken_io(self, trouble: Trouble) -> None:
        """Connections break at reads and writes, those of clients as well."""
        few = Trouble(trouble.kind, trouble.at, trouble.length, trouble.targets[:2], trouble.amount)
        named = [one.name for one in self.fleet.not_busy(few.targets)]
        begin = time.monotonic()
        await self._shimmed(few, {Kind.BROKEN_IO: 1 + int(20 * trouble.amount)})
        self.fleet.record.broken_io += [BrokenIo(name, begin, time.monotonic()) for name in named]

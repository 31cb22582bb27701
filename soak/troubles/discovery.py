"""Discovery that is down, silent, late or cut into pieces."""

import asyncio
import time

from soak.fleet import Fleet
from soak.plan import DISCOVERY_FORMS, SLOW_DISCOVERY, Trouble
from soak.records import Outage
from soak.troubles.acts import Act

LONGEST_DELAY = 3.5  # seconds; whoever waits for an answer hears of a change well within the page's time


class DiscoveryTroubles:
    """At the one discovery of all gateways."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def acts(self) -> dict[str, Act]:
        """By kind of trouble."""
        return {
            "discovery-down": self._discovery_down,
            "discovery-silent": self._discovery_silent,
            "discovery-late": self._discovery_late,
            "discovery-reset": self._discovery_reset,
            "discovery-pieces": self._discovery_pieces,
            "discovery-mute": self._discovery_mute,
            SLOW_DISCOVERY: self._discovery_slow,
            DISCOVERY_FORMS: self._discovery_unsound,
        }

    async def _discovery_down(self, trouble: Trouble) -> None:
        begin = time.monotonic()
        await self.fleet.discovery.down()
        await asyncio.sleep(trouble.length * 2)
        await self.fleet.discovery.up()
        self.fleet.record.outages.append(Outage(begin, time.monotonic()))

    async def _discovery_silent(self, trouble: Trouble) -> None:
        begin = time.monotonic()
        self.fleet.discovery.network.silent = True
        await asyncio.sleep(trouble.length * 2)
        self.fleet.discovery.network.calm()
        self.fleet.record.outages.append(Outage(begin, time.monotonic()))

    async def _discovery_pieces(self, trouble: Trouble) -> None:
        self.fleet.discovery.network.pieces = True
        await asyncio.sleep(trouble.length * 2)
        self.fleet.discovery.network.calm()

    async def _discovery_reset(self, trouble: Trouble) -> None:
        self.fleet.discovery.network.reset_all()

    async def _discovery_mute(self, trouble: Trouble) -> None:
        """All watches that are open fall silent for good; new ones are answered."""
        self.fleet.discovery.network.mute_all()

    async def _discovery_unsound(self, trouble: Trouble) -> None:
        """Half of its answers can't be used. Changes count as told within the page's time all the same."""
        self.fleet.discovery.unsound = True
        await asyncio.sleep(trouble.length)
        self.fleet.discovery.unsound = False

    async def _discovery_late(self, trouble: Trouble) -> None:
        self.fleet.discovery.slow = trouble.amount
        await asyncio.sleep(trouble.length)
        self.fleet.discovery.slow = 0.0

    async def _discovery_slow(self, trouble: Trouble) -> None:
        """Every answer takes the same time, which may be longer than any that the gateway would like."""
        self.fleet.discovery.delay = trouble.amount * LONGEST_DELAY
        await asyncio.sleep(trouble.length)
        self.fleet.discovery.delay = 0.0

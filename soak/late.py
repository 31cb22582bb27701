"""Clients of a gateway that is told to stop: they connected before, and send at any time until it is killed."""

import asyncio
import itertools
from random import Random

from soak.clients import Client
from soak.records import Record

MOST = 10  # at one gateway
_numbers = itertools.count(1 << 22)  # of clients, apart from those of others
UNUSED_FOR = 1.2  # seconds after which a gateway may end a new connection without a request


class LateClient(Client):
    """Connects, sends one request after `delay` seconds, and takes what comes. Leaves its connection to the gateway."""

    async def ask_late(self, delay: float) -> None:
        if not await self._connect():
            return
        if not await self._ends_within(delay):
            await self._ask_on_open_connection()
        self._close()


def connected(
    gateway: str, port: int, record: Record, random: Random, host: str, limits: dict[str, float], until: float
) -> list[asyncio.Task[None]]:
    """Late clients at a gateway that is about to be told to stop, and may be killed `until` seconds later."""
    tasks = []
    for _ in range(MOST):
        client = LateClient(next(_numbers), gateway, record, random, host, limits)
        client.port = port
        delay = random.uniform(0, random.choice((UNUSED_FOR, until)))
        tasks.append(asyncio.ensure_future(client.ask_late(delay)))
    return tasks

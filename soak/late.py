"""Clients of a gateway that is told to stop: they connected before, and send at any time until it is killed."""

import asyncio
import itertools
from contextlib import suppress
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
        assert self.reader is not None
        told = asyncio.ensure_future(self.reader.read(1))  # the gateway ends the connection, or says so
        await asyncio.wait({told}, timeout=delay)
        await asyncio.sleep(0)  # what came while this harness did not run is seen before anything is sent
        await asyncio.sleep(0)
        if not told.done():
            told.cancel()
            with suppress(asyncio.CancelledError):
                await told
            await self._ask_on_open_connection()
        elif not told.cancelled():
            told.exception()
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

"""More clients, and idle connections that take the places of others."""

import asyncio
import time
from contextlib import suppress
from random import Random

from soak.clients import Client
from soak.fleet import HOST, Fleet
from soak.gateways import Gateway
from soak.plan import CLIENT_FORMS, Trouble
from soak.settings import LONGEST_DEADLINE, limits
from soak.troubles.acts import Act
from soak.unsound_clients import send_unsound_requests

CROWD, CROWD_RENEWED = 110, 0.5  # idle connections at a crowded gateway; seconds between two looks at them


class ClientTroubles:
    """At the gateways that a trouble names."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def acts(self) -> dict[str, Act]:
        """By kind of trouble."""
        return {
            "burst": self._burst,
            "crowd": self._crowd,
            CLIENT_FORMS: self._unsound_requests,
        }

    async def _burst(self, trouble: Trouble) -> None:
        """More clients for a while."""
        more = [
            Client(
                1000 * len(self.fleet.record.troubles) + number,
                gateway.name,
                self.fleet.record,
                Random(f"{trouble} {number}"),
                HOST,
                limits(self.fleet.plan),
            )
            for number, gateway in enumerate(self.fleet.not_busy(trouble.targets))
        ]
        for client in more:
            client.port = next(one.port for one in self.fleet.gateways if one.name == client.gateway)
        tasks = [asyncio.ensure_future(one.run(self.fleet.plan.pressure.pause / 10)) for one in more]
        await asyncio.sleep(trouble.length)
        for client in more:
            client.over = True
        await asyncio.wait(tasks, timeout=LONGEST_DEADLINE + 6) if tasks else None

    async def _unsound_requests(self, trouble: Trouble) -> None:
        """Two clients at each gateway that send what is no request."""
        until = time.monotonic() + trouble.length
        gateways = self.fleet.not_busy(trouble.targets)
        clients = [
            send_unsound_requests(
                self.fleet.record,
                gateway.name,
                HOST,
                gateway.port,
                Random(f"{trouble} {number} {gateway.name}"),
                until,
            )
            for gateway in gateways
            for number in range(2)
        ]
        await asyncio.gather(*clients)

    async def keep_crowd(self, gateway: Gateway) -> None:
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
        for gateway in self.fleet.not_busy(trouble.targets)[:3]:
            for _ in range(int(60 * trouble.amount)):
                with suppress(OSError):
                    held.append((await asyncio.open_connection(HOST, gateway.port))[1])
        await asyncio.sleep(trouble.length)
        for writer in held:
            writer.close()

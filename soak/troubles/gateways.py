"""Signals to gateway processes, and configurations read anew."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from random import Random

from soak.fleet import HOST, Fleet
from soak.gateways import SHORT_STOP, Gateway
from soak.late import connected
from soak.plan import Trouble
from soak.settings import RETRY_AFTERS, limits
from soak.stops import earliest_kill
from soak.troubles.acts import Act

SERIES = (
    (signal.SIGTERM,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
)
CONNECTING = 0.05  # seconds for clients to connect before their gateway is told to stop
LONG_STOP = 3.0  # seconds
SERIES_GAP = 0.3  # seconds between two signals of a series at most; half of them come at once
STOP_AFTER = 0.8  # seconds after a series in which its process is stopped, in half of them


class GatewayTroubles:
    """At the gateways that a trouble names, but for those that are being signalled already."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def acts(self) -> dict[str, Act]:
        """By kind of trouble."""
        return {
            "stop-short": self._stop_short,
            "stop-long": self._stop_long,
            "kill": self._kill,
            "roll": self._roll,
            "hup": self._hup,
            "hup-settings": self._hup_settings,
        }

    async def _each(self, trouble: Trouble, act: Callable[[Gateway], Awaitable[None]]) -> None:
        gateways = self.fleet.not_busy(trouble.targets)
        self.fleet.busy |= {one.name for one in gateways}
        await asyncio.gather(*(act(one) for one in gateways))
        self.fleet.busy -= {one.name for one in gateways}

    async def _stop_short(self, trouble: Trouble) -> None:
        await self._each(trouble, lambda one: one.stop_for(SHORT_STOP))

    async def _stop_long(self, trouble: Trouble) -> None:
        await self._each(trouble, lambda one: one.stop_for(LONG_STOP))

    async def _kill(self, trouble: Trouble) -> None:
        await self._each(trouble, lambda one: one.kill_and_replace())

    async def _roll(self, trouble: Trouble) -> None:
        """Clients that have connected before go on sending until SIGKILL, which comes as early as the page has it."""
        patience = earliest_kill(max(limits(self.fleet.plan).values()))
        series = SERIES[int(trouble.amount * len(SERIES))]

        async def stop(gateway: Gateway) -> None:
            random = Random(f"{trouble} {gateway.name}")
            late = connected(
                gateway.name, gateway.port, self.fleet.record, random, HOST, limits(self.fleet.plan), patience
            )
            self.fleet.late.update(late)
            for task in late:
                task.add_done_callback(self.fleet.late.discard)
            await asyncio.sleep(CONNECTING)
            signals = Random(f"{trouble} {gateway.name} signals")
            gap = signals.choice((0.0, signals.uniform(0, SERIES_GAP)))
            held_up = signals.choice((None, signals.uniform(0, STOP_AFTER)))
            await gateway.roll(patience, series, gap, held_up)

        await self._each(trouble, stop)

    async def _hup(self, trouble: Trouble) -> None:
        """Discovery moves to another port."""
        for gateway in self.fleet.not_busy(trouble.targets):
            old, _ = self.fleet.discovery.servers[gateway.name]
            port = await self.fleet.free_port()
            gateway.configure(
                self.fleet.gateways.index(gateway),
                self.fleet.plan.gateways,
                port,
                self.fleet.discovery.known(),
            )
            self.fleet.discovery.leave(old, gateway.name)
            await self.fleet.discovery.open_for(gateway.name, port)
            gateway.signal(signal.SIGHUP)

    async def _hup_settings(self, trouble: Trouble) -> None:
        """Settings that change what is learnt, and no rule; twice in quick succession."""
        for most in RETRY_AFTERS:
            bounds = self.fleet.record.settings["bounds"]
            assert isinstance(bounds, dict)
            bounds["maxRetryAfterMs"] = most
            for gateway in self.fleet.not_busy(trouble.targets):
                _, port = self.fleet.discovery.servers[gateway.name]
                gateway.configure(
                    self.fleet.gateways.index(gateway),
                    self.fleet.plan.gateways,
                    port,
                    self.fleet.discovery.known(),
                )
                gateway.signal(signal.SIGHUP)
            await asyncio.sleep(0.3 * trouble.amount)

"""Plays one plan: the fleet, its clients, and the troubles at their times."""

import asyncio
import time
from collections.abc import Callable

from soak.crossings import EVENT_OF, Event
from soak.fleet import Fleet
from soak.plan import LASTING, Trouble
from soak.records import Record
from soak.settings import LONGEST_DEADLINE
from soak.troubles import ClientTroubles, acts_of

SETTLE = 1.5  # seconds without troubles at the end


class Run:
    """One run of a fleet's plan. `say` is told what is no break but worth knowing."""

    def __init__(self, fleet: Fleet, say: Callable[[str], None]) -> None:
        self.fleet, self.say = fleet, say
        self.acts, self.crowds = acts_of(fleet), ClientTroubles(fleet)
        self.began = 0.0
        self.events: list[Event] = []  # as many as the plan has troubles

    async def play(self) -> Record:
        await self.fleet.start()
        self.began = time.monotonic()
        tasks = [asyncio.ensure_future(one.run(self.fleet.plan.pressure.pause)) for one in self.fleet.clients]
        watch = asyncio.ensure_future(self._watch())
        crowds = [
            asyncio.ensure_future(self.crowds.keep_crowd(self.fleet.gateways[one]))
            for one in self.fleet.plan.crowded
        ]
        troubles = [asyncio.ensure_future(self._trouble(one)) for one in self.fleet.plan.troubles]
        await asyncio.sleep(self.fleet.plan.seconds - SETTLE)
        await asyncio.wait(troubles, timeout=LONGEST_DEADLINE + 12) if troubles else None
        await asyncio.sleep(SETTLE)
        for client in self.fleet.clients:
            client.over = True
        await asyncio.wait([*tasks, *self.fleet.late], timeout=LONGEST_DEADLINE + 6)
        for task in crowds:
            task.cancel()
        await asyncio.wait(crowds) if crowds else None
        await asyncio.sleep(1.0)
        for task in (*tasks, *self.fleet.late, *troubles, watch):
            task.cancel()
        self._look_at_rest()
        for worker in self.fleet.workers:
            worker.die()
        return self.fleet.record

    async def _watch(self) -> None:
        """Looks for crashes, and for times in which this harness itself does not run."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            self.fleet.record.lag = max(self.fleet.record.lag, now - before - 0.05)
            before = now
            for gateway in self.fleet.gateways:
                if gateway.name not in self.fleet.busy:
                    gateway.look()

    def _look_at_rest(self) -> None:
        """Nothing is under way any more."""
        for gateway in self.fleet.gateways:
            gateway.look()
            most = 24 + 2 * (len(self.fleet.workers) + 6)
            if (found := gateway.descriptors()) > most and gateway.name not in self.fleet.busy:
                self.fleet.record.wrong.append(f"{gateway.name}: {found} descriptors at rest, {most} allowed")

    async def _trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(max(0.0, self.began + trouble.at - time.monotonic()))
        self.fleet.record.troubles.append(str(trouble))
        begin = time.monotonic()
        try:
            await self.acts[trouble.kind](trouble)
        except OSError as wrong:
            self.say(f"trouble {trouble.kind}: {wrong}")
        where = frozenset(self.fleet.names(trouble))
        end = float("inf") if trouble.kind in LASTING else time.monotonic()
        self.events.append(Event(EVENT_OF[trouble.kind], begin, end, where))

"""Releases what workers hold for a request: any running worker may be told, and does it for all of them.

Which workers run is not known when a release is due, as many may have hung or been cut off together. So tries overlap: the
next workers are told soon after the last, whose answer may still come, and more of them at each step. A worker that has
answered any call since counts as running, and is told next.
"""

from heapq import nlargest
from zlib import crc32

from stackpitch.gateway.bounds import Bounds
from stackpitch.gateway.host import Host
from stackpitch.gateway.pacing import QUICK_RELEASES, release_gap, release_width
from stackpitch.gateway.trace import Step
from stackpitch.interface import MS, SECOND, Generation, Server, Time
from stackpitch.loop import Coro, Group
from stackpitch.platform.request import PlatformRequest
from stackpitch.wire import platform

RELEASED = 204
NEVER_TOLD: Time = -2
NO_CONNECTION: Time = -1


class Release:
    """One request's. `bounds`: those that it arrived under; `since`: when its last read ended, None: not seen to;
    `urgent`: whether the time of what is held is running out."""

    def __init__(
        self,
        host: Host,
        request: Generation,
        bounds: Bounds,
        since: Time | None = None,
        urgent: bool = True,
    ) -> None:
        self.host, self.request, self.bounds, self.since = host, request, bounds, since
        self.urgent = urgent
        # When each worker was told, or found without an answer by this request. Emptied once all were told.
        self.told = {
            leg.server: host.world.now()
            for leg in request.legs
            if leg.outcome in ("reset", "time-out", "unreachable")
        }
        self.began, self.tries = host.world.now(), 0
        self.done_by: Server | None = None
        self.pause = host.world.scope()  # before the next try
        self.alone = not request.in_flight()  # what is out later has a state of its own

    def run(self) -> Coro[None]:
        """Until a worker has released it and all tries have ended, a stream has let go of it, or the tries are used up."""
        yield from self.host.world.group(lambda group: self._try(group, 0))
        done = self.done_by is not None or self.request.stream_started()
        self.host.metrics.releases.labels("done" if done else "failed").inc()
        if not done:
            self.host.logger.warning("release_failed", generation=self.request.name, tries=self.tries)

    def _try(self, group: Group, number: int) -> Coro[None]:
        """Tells the first of a step's workers at once: what the request begins after this release must not be on its way
        before it. The next step comes a while later."""
        if number + 1 < self.bounds.release_tries:
            group.spawn(self._try_later(group, number + 1), f"release {self.request.name} again")
        workers = self._next(release_width(number, self.urgent))
        for worker in workers[1:]:
            group.spawn(self._tell(worker), f"release {self.request.name} at {worker.name}")
        if workers:
            yield from self._tell(workers[0])

    def _tell(self, worker: Server) -> Coro[None]:
        self.told[worker] = self.host.world.now()
        self.tries += 1
        target = platform.LEASES_PATH + self.request.name
        answer = yield from self.host.call(worker, "DELETE", target, b"", self.bounds.call)
        if answer is not None and answer.status == RELEASED and self.done_by is None:
            self.done_by = worker
            self._note_done(worker)
            self.pause.cancel()

    def _try_later(self, group: Group, number: int) -> Coro[None]:
        """Unless one has answered by then. A late one waits while an attempt is out that began after the release: the time
        rests then, and the newer state would be torn. After a stream's start there is nothing left."""
        late = number >= QUICK_RELEASES
        with self.host.world.scope() as self.pause:
            yield from self.host.world.sleep(release_gap(number - 1, self.bounds.call))
            while late and self.alone and self.request.in_flight() and not self.request.stream_started():
                yield from self.host.world.sleep(self.bounds.call)
        if self.done_by is None and not (late and self.request.stream_started()):
            yield from self._try(group, number)

    def _note_done(self, worker: Server) -> None:
        """In the request's trace, if that is still kept; and with a line where the first worker told did not do it."""
        host, now = self.host, self.host.world.now()
        held = self._note_held(worker)
        if (ask := host.requests.get(self.request)) is not None:
            host.trace_step(ask, Step.RELEASED, f"{worker.name}{held}")
            if isinstance(ask, PlatformRequest) and ask.held_since == self.since:
                ask.held_since = None
        if self.tries > 1 and host.trace_limiter.allows(now, Step.RELEASED):
            host.logger.info(
                "release_repeated",
                id=self.request.name,
                tries=self.tries,
                ms=(now - self.began) / MS,
                server=worker.name,
                left_out=host.trace_limiter.take_suppressed(),
            )

    def _note_held(self, worker: Server) -> str:
        """For how long, where that is known, also as a metric; with a line where that was too long."""
        host = self.host
        if self.since is None:
            return ""
        held = host.world.now() - self.since
        host.metrics.state_held.observe(held / SECOND)
        text = f" held for {held / MS:.1f} ms"
        if held > self.bounds.release:
            host.logger.warning(
                "released_late",
                id=self.request.name,
                ms=held / MS,
                allowed_ms=self.bounds.release / MS,
                tries=self.tries,
                server=worker.name,
            )
        return text

    def _next(self, count: int) -> list[Server]:
        """First those that no attempt waits for and whose connections were last good; of others, such that other releases
        don't tell as well. None is told again before it has been good since, or all others were told."""
        awaited = {leg.server for leg in self.request.legs if leg.outcome is None}
        running = [one for one in self.host.roster.addresses if one.state != "gone"]
        left = [one for one in running if self._good_at(one) > self.told.get(one, NEVER_TOLD)]
        if not left:
            self.told.clear()
            left = running

        def rank(one: Server) -> tuple[bool, Time, int]:
            spread = crc32(f"{self.request.name} {one.name}".encode()) if self.tries else 0
            return one not in awaited, self._good_at(one), spread

        return nlargest(count, left, key=rank)

    def _good_at(self, worker: Server) -> Time:
        """When a connection to it last came back good; before all times if none rests."""
        pool = self.host.pools.get(worker)
        return pool.idle[-1][1] if pool is not None and pool.idle else NO_CONNECTION

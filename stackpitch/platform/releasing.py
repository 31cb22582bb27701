"""Releases what servers hold for a request. Any running server can be asked, and releases it at all of them.

Which servers run is not known when a release is due, as many may have hung or been cut off together. So the
steps of a release overlap: the next servers are asked soon after the last, whose answer may still come, and
later steps ask more servers at once. A server that has answered any call in the meantime counts as running
and is asked next.
"""

from collections import Counter
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
NEVER_ASKED: Time = -2
NO_IDLE_CONNECTION: Time = -1


def uses_newer_state(request: Generation, reads_before: int) -> bool:
    """Whether an attempt may be using KV state of a read that completed after the first `reads_before`.

    That state has its own time limit. A read in progress has left no state yet, so it delays no release.
    """
    newer = request.completed_reads() > reads_before
    return newer and request.in_flight() and not request.stream_started()


class Release:
    """The release of all that is held for one request.

    `bounds`: those that the request arrived under. `held_since`: the end of its last read; None: that was not
    seen. `urgent`: whether the state's time limit is running.
    """

    def __init__(
        self,
        host: Host,
        request: Generation,
        bounds: Bounds,
        held_since: Time | None = None,
        urgent: bool = True,
    ) -> None:
        self.host, self.request, self.bounds, self.held_since = host, request, bounds, held_since
        self.urgent = urgent
        # When each server was asked, or failed to answer this request. Emptied once all servers were asked.
        self.asked_at = {
            leg.server: host.world.now()
            for leg in request.legs
            if leg.outcome in ("reset", "time-out", "unreachable")
        }
        self.began, self.tries = host.world.now(), 0
        self.done_by: Server | None = None
        self.running = True
        self.pause = host.world.scope()  # before the next step
        self.reads_before = request.completed_reads()

    def run(self) -> Coro[None]:
        """Runs until the state is released or no step is left.

        It is released once a server has done so, and all calls have ended, or once a stream has started.
        """
        try:
            yield from self.host.world.group(lambda group: self._try(group, 0))
        finally:
            self.running = False
        done = self.done_by is not None or self.request.stream_started()
        self.host.metrics.releases.labels("done" if done else "failed").inc()
        if not done:
            self.host.logger.warning("release_failed", generation=self.request.name, tries=self.tries)

    def covers(self) -> bool:
        """Whether it is still at work, and releases all that is held for the request by now."""
        return self.running and self.done_by is None and self.reads_before == self.request.completed_reads()

    def _try(self, group: Group, number: int) -> Coro[None]:
        """Runs one step.

        Calls the first server at once: the release must be sent before anything that the request starts
        afterwards. The next step follows after a gap.
        """
        if number + 1 < self.bounds.release_tries:
            group.spawn(self._try_later(group, number + 1), f"release {self.request.name} again")
        servers = self._next(release_width(number, self.urgent))
        for server in servers[1:]:
            group.spawn(self._call(server), f"release {self.request.name} at {server.name}")
        if servers:
            yield from self._call(servers[0])

    def _call(self, server: Server) -> Coro[None]:
        self.asked_at[server] = self.host.world.now()
        self.tries += 1
        target = platform.LEASES_PATH + self.request.name
        answer = yield from self.host.call(server, "DELETE", target, b"", self.bounds.call)
        if answer is not None and answer.status == RELEASED and self.done_by is None:
            self.done_by = server
            self._record_done(server)
            self.pause.cancel()

    def _try_later(self, group: Group, number: int) -> Coro[None]:
        """Runs the next step after a gap, unless a server has released the state by then.

        A late step waits while an attempt uses newer KV state, which the release would destroy. Once a stream
        has started nothing is left.
        """
        late = number >= QUICK_RELEASES
        with self.host.world.scope() as self.pause:
            yield from self.host.world.sleep(release_gap(number - 1, self.bounds.call))
            while late and uses_newer_state(self.request, self.reads_before):
                yield from self.host.world.sleep(self.bounds.call)
        if self.done_by is None and not (late and self.request.stream_started()):
            yield from self._try(group, number)

    def _record_done(self, server: Server) -> None:
        """Adds the release to the request's trace, if the request is still known.

        Also logs a release for which the first server asked was not enough.
        """
        host, now = self.host, self.host.world.now()
        ask = host.requests.get(self.request)
        repeated = isinstance(ask, PlatformRequest) and ask.released_since == self.held_since
        held = "" if repeated else self._record_held(server)
        if isinstance(ask, PlatformRequest):
            ask.released_since = self.held_since
            if (waiting := ask.waiting_leg()) is not None:
                held += f", unless {waiting.server.name} waits for it"
            elif ask.held_since == self.held_since:
                ask.held_since = None
            host.trace_step(ask, Step.RELEASED, f"{server.name}{held}")
        if self.tries > 1 and host.trace_limiter.allows(now, Step.RELEASED):
            host.logger.info(
                "release_repeated",
                id=self.request.name,
                tries=self.tries,
                ms=(now - self.began) / MS,
                server=server.name,
                left_out=host.trace_limiter.take_suppressed(),
            )

    def _record_held(self, server: Server) -> str:
        """Observes for how long the state was held, if that is known, and logs a time over the limit.

        Returns the text for the trace.
        """
        host = self.host
        if self.held_since is None:
            return ""
        held = host.world.now() - self.held_since
        host.metrics.state_held.observe(held / SECOND)
        text = f" held for {held / MS:.1f} ms"
        if held > self.bounds.release:
            host.logger.warning(
                "released_late",
                id=self.request.name,
                ms=held / MS,
                allowed_ms=self.bounds.release / MS,
                tries=self.tries,
                server=server.name,
            )
        return text

    def _next(self, count: int) -> list[Server]:
        """The servers to ask next.

        Servers that no attempt waits for come first, then those that have worked since the release began, those
        of the role of which fewer have failed to answer, as all of one role may be silent, and those whose
        connections worked last. Ties are broken so that concurrent releases ask different servers. No server is
        asked twice until it has worked since, or all others were asked.
        """
        awaited = {leg.server for leg in self.request.legs if leg.outcome is None}
        running = [server for server in self.host.roster.addresses if server.state != "gone"]
        left = [
            server for server in running if self._last_good(server) > self.asked_at.get(server, NEVER_ASKED)
        ]
        if not left:
            self.asked_at.clear()
            left = running

        unanswered = Counter(server.role for server in self.asked_at)

        def rank(server: Server) -> tuple[bool, bool, int, Time, int]:
            spread = crc32(f"{self.request.name} {server.name}".encode()) if self.tries else 0
            last_good = self._last_good(server)
            return (
                server not in awaited,
                last_good >= self.began,
                -unanswered[server.role],
                last_good,
                spread,
            )

        return nlargest(count, left, key=rank)

    def _last_good(self, server: Server) -> Time:
        """When a connection to the server last came back to the pool in order.

        NO_IDLE_CONNECTION if none is idle or rests.
        """
        pool = self.host.pools.get(server)
        last_good = None if pool is None else pool.last_good
        return NO_IDLE_CONNECTION if last_good is None else last_good

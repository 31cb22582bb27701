"""One leg: a connection, the request, the answer passed on while it comes, and an outcome for the module."""

from typing import TYPE_CHECKING

from stackpitch.gateway import pacing
from stackpitch.gateway.bounds import Bounds as Bounds  # the platform's front takes both from here
from stackpitch.gateway.client_drain import drain_client
from stackpitch.gateway.client_request import ClientRequest
from stackpitch.gateway.outcomes import Failure, Phase, failure_outcome
from stackpitch.gateway.outcomes import LegEnd as LegEnd
from stackpitch.gateway.permission import Act, AttemptState, send_denial
from stackpitch.gateway.pool import Pool, PoolExhausted
from stackpitch.gateway.resend_window import resend_deadline
from stackpitch.interface import Leg, Time
from stackpitch.loop import ConnectFailed, ConnectionLost, Coro, LocalFault, Scope, Stream, Timer
from stackpitch.wire import http

if TYPE_CHECKING:
    from stackpitch.gateway.leg_host import LegHost


class NotSent(Exception):
    """Nothing of the request has been written, and nothing is to be."""


class LegRunner:
    """Runs one leg to its end and tells the host: once when output starts, once at the end.

    A front adds what it sends and how it reads the answer (`_exchange`, `_load_report`).
    """

    MAX_READS_IN_A_ROW = 16  # feeds without a wait, then the others get their turn

    def __init__(self, host: "LegHost", ask: ClientRequest, leg: Leg, limit: Time) -> None:
        self.host, self.leg = host, leg
        # The attempt is given up then. `limit` was counted from the decision: the request's own end guards against a
        # process that was held up between, which would still wait for the attempt when the request's time is over.
        self.deadline = min(host.world.now() + limit, leg.gen.deadline)
        self.client_request = ask
        self.phase = [Phase.QUEUED]
        self.reader = http.ResponseParser(host.bounds.max_head, host.bounds.max_answer)
        self.stream_bytes = 0  # bytes of the stream so far
        self.gap_timer: Timer | None = None
        self.waiting_for_client = False  # for a slow client

    def run(self) -> Coro[None]:
        end: LegEnd | None = None
        try:
            end = yield from self._run()
        finally:  # also where the task is cancelled: the module always hears the end
            self.host.leg_ended(
                self.client_request, self.leg, end or self._failure_end("cancelled", "cancelled")
            )

    def time_left(self) -> Time:
        return self.deadline - self.host.world.now()

    def _failure_end(self, how: Failure, why: str) -> LegEnd:
        return LegEnd(failure_outcome(self.phase[0], how), self.phase[0], why=why, report=self._load_report())

    def _load_report(self) -> str | None:
        """The text of the load report that came with the answer."""
        raise NotImplementedError

    def _exchange(self, stream: Stream, scope: Scope) -> Coro[LegEnd]:
        """The request and its answer; relaxes the scope once output has started."""
        raise NotImplementedError

    def _run(self) -> Coro[LegEnd]:
        world, server = self.host.world, self.leg.server
        if server not in self.host.roster.addresses:
            return LegEnd("not-sent", Phase.QUEUED, why="gone")
        pool = self.host.pool(server)
        stream: Stream | None = None
        end: LegEnd | None = None
        with world.limit(self.time_left()) as scope:
            try:
                # The other side may have closed a kept connection as the request is written to it; nothing then tells
                # whether it ran, and a side-effecting generation could not be sent again.
                alone = self.leg.gen.product.effect == "side-effecting" and server.role != "reader"
                stream = yield from pool.acquire(self.phase, fresh=alone)
                end = yield from self._exchange(stream, scope)
            except NotSent as wrong:
                end = LegEnd("not-sent", Phase.QUEUED, why=str(wrong))
            except PoolExhausted:
                end = self._failure_end("lost", "no connection free")
            except LocalFault as wrong:  # the server is not to be charged with it
                end = LegEnd("not-sent", Phase.QUEUED, why=str(wrong))
            except ConnectFailed as wrong:
                end = self._failure_end("lost", str(wrong))
            except ConnectionLost as wrong:
                end = self._failure_end("lost", str(wrong))
            except http.BadMessage as wrong:
                end = self._failure_end("garbled", str(wrong))
            except (
                Exception
            ) as wrong:  # guards the gateway against an answer that nobody thought of: it costs its attempt
                self.host.logger.exception("attempt_raised", server=server.name, why=str(wrong))
                end = self._failure_end("garbled", str(wrong))
            finally:
                if stream is not None:
                    self._return_connection(pool, stream, end)
        return end if end is not None else self._failure_end("time-out", "no word in time")

    def _return_connection(self, pool: Pool, stream: Stream, end: LegEnd | None) -> None:
        """Only a connection whose answer was whole, with nothing after it, serves another leg."""
        good = (
            end is not None
            and self.reader.complete
            and self.reader.keep_alive
            and not self.reader.extra_bytes
        )
        unused = end is not None and end.outcome == "not-sent"
        if (good or unused) and not stream.eof:
            pool.release(stream)
        else:
            pool.discard(stream)

    def _send_request(self, stream: Stream, request: bytes) -> Coro[None]:
        """Looks once more before the first byte: a connection may have been long in the making, or this loop busy.

        Guards against attempts for clients that have gone, and against new work for a server that was listed as
        draining or gone while the attempt waited.
        """
        ask, world = self.client_request, self.host.world
        left = not self.leg.gen.over and ask.client_left()
        if left:
            self.host.client_departed(ask)
        now = AttemptState(world.now(), left, world.current.cancelled_scope() is not None, self.deadline)
        if (reason := send_denial(self.leg, now)) is not None:
            self.host.action_denied(Act.SEND, reason, self.leg)
            raise NotSent(reason)
        until = resend_deadline(self.leg)
        self.phase[0] = Phase.WRITING
        stream.write(request)
        if stream.buffered:
            if until is None:
                yield from stream.drain()
            else:
                with world.limit(until - world.now()):
                    yield from stream.drain()
                if stream.buffered:
                    raise ConnectionLost(
                        "its servers may have forgotten an earlier leg before this one is whole"
                    )
        self.phase[0] = Phase.SENT
        self.host.leg_written(ask, self.leg)

    def _read_more(self, stream: Stream, most: int = 65536) -> Coro[bytes]:
        data = yield from stream.recv(most)
        if not data:
            raise ConnectionLost("closed by the engine")
        self.reader.feed(data)
        return data

    def _watch_gap(self, stream: Stream) -> None:
        """Breaks off a stream that has brought nothing for `gap`, looked at four times in it."""
        world, step = self.host.world, max(1, self.host.bounds.gap // 4)
        seen = [self.stream_bytes, 0]

        def look() -> None:
            if self.stream_bytes != seen[0] or self.waiting_for_client:
                seen[:] = [self.stream_bytes, 0]
            else:
                seen[1] += 1
                if seen[1] >= 4:
                    stream.abort()
                    return
            self.gap_timer = world.at(world.now() + step, look)

        self.gap_timer = world.at(world.now() + step, look)

    def _time_to_drain(self, client: Stream, left: int, events: int) -> Time | None:
        """The time that a client has to take all but `left` bytes of what waits for it."""
        return pacing.drain_time_limit(
            client.buffered - left, self.stream_bytes, events, self.leg.gen.product.token_gap
        )

    def _wait_for_client(self, client: Stream, events: int = 0) -> Coro[bool]:
        """Waits for a slow client to take half a buffer; False if it has left or is cut off. `events`: of its answer so far,
        0 where they aren't counted."""
        half, waits = self.host.bounds.buffer // 2, client.buffered
        self.waiting_for_client = True
        try:
            good = yield from drain_client(
                self.host.world,
                client,
                half,
                self.host.bounds.stall,
                self._time_to_drain(client, half, events),
            )
        except ConnectionLost:  # it says nothing of the server, on whose connection nothing is wrong
            return False
        finally:
            self.waiting_for_client = False
        if not good:
            self.host.logger.info("slow_client_cut_off", generation=self.leg.gen.name, waits=waits)
        return good

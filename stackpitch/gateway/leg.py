"""Runs one leg: takes a connection, writes the request, forwards the response and reports an outcome."""

from typing import TYPE_CHECKING

from stackpitch.gateway import pacing
from stackpitch.gateway.bounds import (
    Bounds as Bounds,
)  # re-exported for the platform's backend, like `LegEnd`
from stackpitch.gateway.client_drain import drain_client
from stackpitch.gateway.client_request import ClientRequest
from stackpitch.gateway.outcomes import Failure, Phase, failure_outcome
from stackpitch.gateway.outcomes import LegEnd as LegEnd
from stackpitch.gateway.permission import Act, AttemptState, send_denial
from stackpitch.gateway.pool import Pool, PoolExhausted
from stackpitch.gateway.resend_window import resend_deadline
from stackpitch.gateway.stream_watch import StreamWatch
from stackpitch.interface import MS, Leg, Time
from stackpitch.loop import ConnectFailed, ConnectionLost, Coro, LocalFault, Scope, Stream
from stackpitch.wire import http
from stackpitch.wire.answer_events import AnswerEvents

if TYPE_CHECKING:
    from stackpitch.gateway.leg_host import LegHost


class NotSent(Exception):
    """Nothing of the request has been written, and nothing will be."""


class LegRunner:
    """Runs one leg to its end and tells the host twice: when output starts, and at the end.

    A backend's subclass defines what is written and how the response is read (`_exchange`, `_load_report`), and
    what it takes for output of a stream (`events`).
    """

    MAX_READS_IN_A_ROW = 16  # without a wait; then the other tasks get a turn
    events: AnswerEvents

    def __init__(self, host: "LegHost", request: ClientRequest, leg: Leg, limit: Time) -> None:
        self.host, self.leg = host, leg
        # `limit` counted from the module's decision. If the process was held up since, the attempt could
        # outlast its request, so it ends no later than that.
        self.deadline = min(host.world.now() + limit, leg.gen.deadline)
        self.client_request = request
        self.phase = [Phase.QUEUED]  # of length 1: shared with the pool, which updates it
        bounds = host.bounds
        self.reader = http.ResponseParser(bounds.max_head, bounds.max_answer, bounds.max_stated)
        self.stream_bytes = 0  # of the stream so far
        self.watch: StreamWatch | None = None  # while a stream is forwarded

    def run(self) -> Coro[None]:
        """Runs the leg to its end, and reports it even if the task is cancelled."""
        end: LegEnd | None = None
        try:
            end = yield from self._run()
        finally:
            self.host.leg_ended(
                self.client_request, self.leg, end or self._failure_end("cancelled", "cancelled")
            )

    def time_left(self) -> Time:
        """Until the attempt's deadline."""
        return self.deadline - self.host.world.now()

    def _failure_end(self, how: Failure, why: str) -> LegEnd:
        return LegEnd(failure_outcome(self.phase[0], how), self.phase[0], why=why, report=self._load_report())

    def _load_report(self) -> str | None:
        """The text of the load report that came with the response."""
        raise NotImplementedError

    def _exchange(self, stream: Stream, scope: Scope) -> Coro[LegEnd]:
        """Writes the request and reads its response; lifts the scope's time limit once output starts."""
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
                # The server may close a reused connection just as the request is written to it. Then
                # nothing tells whether the request ran, and a side-effecting generation could not be sent
                # again.
                needs_fresh = self.leg.gen.product.effect == "side-effecting" and server.role != "reader"
                stream = yield from pool.acquire(self.phase, fresh=needs_fresh)
                end = yield from self._exchange(stream, scope)
            except NotSent as error:
                end = LegEnd("not-sent", Phase.QUEUED, why=str(error))
            except PoolExhausted:
                end = self._failure_end("lost", "no connection free")
            except LocalFault as error:  # a fault of this machine, which must not count against the server
                end = LegEnd("not-sent", Phase.QUEUED, why=str(error))
            except ConnectFailed as error:
                end = self._failure_end("lost", str(error))
            except ConnectionLost as error:
                silent = self.watch is not None and self.watch.expired
                why = f"no output for {self.host.bounds.gap // MS} ms" if silent else str(error)
                end = self._failure_end("lost", why)
            except http.BadMessage as error:
                end = self._failure_end("garbled", str(error))
            except Exception as error:  # an unforeseen response must cost its attempt alone, not the gateway
                self.host.logger.exception("attempt_raised", server=server.name, why=str(error))
                end = self._failure_end("garbled", str(error))
            finally:
                if stream is not None:
                    self._return_connection(pool, stream, end)
        return end if end is not None else self._failure_end("time-out", "no response in time")

    def _return_connection(self, pool: Pool, stream: Stream, end: LegEnd | None) -> None:
        """Releases the connection if its response was complete with nothing after it, or nothing was sent.

        Else closes it.
        """
        clean = (
            end is not None
            and self.reader.complete
            and self.reader.keep_alive
            and not self.reader.extra_bytes
        )
        unused = end is not None and end.outcome == "not-sent"
        if (clean or unused) and not stream.eof:
            pool.release(stream)
        else:
            pool.discard(stream)

    def _send_request(self, stream: Stream, data: bytes) -> Coro[None]:
        """Writes the request, after a last check that it may still be sent.

        Connecting may have taken long, or the loop been busy: without the check, attempts would be sent
        for clients that are gone, or to a server that was listed as draining or gone while the attempt
        waited. Raises NotSent, Lost.
        """
        request, world = self.client_request, self.host.world
        left = not self.leg.gen.over and request.client_left()
        if left:
            self.host.client_departed(request)
        now = AttemptState(world.now(), left, world.current.cancelled_scope() is not None, self.deadline)
        if (reason := send_denial(self.leg, now)) is not None:
            self.host.action_denied(Act.SEND, reason, self.leg)
            raise NotSent(reason)
        until = resend_deadline(self.leg)
        self.phase[0] = Phase.WRITING
        stream.write(data)
        if stream.buffered:
            if until is None:
                yield from stream.drain()
            else:
                with world.limit(until - world.now()):
                    yield from stream.drain()
                if stream.buffered:
                    raise ConnectionLost(
                        "not written in time: the servers may have forgotten the earlier attempt"
                    )
        self.phase[0] = Phase.SENT
        self.host.leg_written(request, self.leg)

    def _read_more(self, stream: Stream, most: int = 65536) -> Coro[bytes]:
        """Reads at most so many bytes into the response reader. Raises Lost, http.BadMessage."""
        data = yield from stream.recv(most)
        if not data:
            raise ConnectionLost("closed by the engine")
        self.reader.feed(data)
        return data

    def _read_body(self, stream: Stream, max_bytes: int) -> Coro[bytes]:
        """Reads the rest of a response that is not a stream and returns its body, collected in one buffer.

        Raises ConnectionLost, http.BadMessage.
        """
        body = bytearray().join(self.reader.pieces)
        while not self.reader.complete:
            yield from self._read_more(stream)
            body += b"".join(self.reader.pieces)
            if len(body) > max_bytes:
                raise http.BadMessage(502, f"answer is over {max_bytes} bytes")
        return bytes(body)

    def _complete_parts(self) -> bytes:
        """What the latest read completes of the stream's events, and at the body's end also what follows them.

        Raises BadMessage on an invalid event.
        """
        complete = self.events.feed(self.reader.pieces)
        return complete + self.events.finish() if self.reader.complete else complete

    def _time_to_drain(self, client: Stream, left: int, events: int) -> Time | None:
        """How long a client may take to read all but `left` bytes of what is buffered for it."""
        return pacing.drain_time_limit(
            client.buffered - left, self.stream_bytes, events, self.leg.gen.product.token_gap
        )

    def _wait_for_client(self, client: Stream, events: int = 0) -> Coro[bool]:
        """Waits until a slow client has read half a buffer; False if it left or was cut off.

        `events`: of the response so far, 0 if they are not counted.
        """
        half, waits = self.host.bounds.buffer // 2, client.buffered
        if self.watch is not None:
            self.watch.pause()
        try:
            drained = yield from drain_client(
                self.host.world,
                client,
                half,
                self.host.bounds.stall,
                self._time_to_drain(client, half, events),
            )
        except ConnectionLost:  # the client's connection; the server's is not at fault
            return False
        finally:
            if self.watch is not None:
                self.watch.resume()
        if not drained:
            self.host.logger.info("slow_client_cut_off", generation=self.leg.gen.name, waits=waits)
        return drained

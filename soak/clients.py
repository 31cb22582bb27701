"""Clients of the soak: good ones, and such that leave, stop in the middle, read slowly or send on."""

import asyncio
import socket
import struct
import time
from collections.abc import Collection
from contextlib import suppress
from random import Random
from zlib import crc32

from soak.content import Checker
from soak.records import Record, Request
from soak.workers import target
from stackpitch.wire import http
from stackpitch.wire.http import Headers

KINDS = ["good"] * 14 + ["leaves", "resets", "stops", "slow", "half-closes"]
WHOLE_STREAM = 30.0  # seconds more that a client waits for a stream that has begun
TURNS = 3  # of the event loop, in which it sees all that has come
AGAIN_PART = 0.2  # of the requests that must not run twice and whose stream has begun come again
AGAIN_WITHIN = 0.5  # seconds
AGAIN_WAITS = 2.0  # seconds for the answer
LEAVING = ("leaves", "resets", "half-closes")
# Seconds over its limit for which a client waits, through two long stops of its gateway.
PATIENCE = 7.0
STOPPED_FOR = 12.0  # seconds that one which stops in the middle of a request waits for an error or a close
TENANTS = ("acme", "zeta")


class Client:
    """Asks one gateway again and again, on one connection as long as it lasts."""

    def __init__(
        self,
        number: int,
        gateway: str,
        record: Record,
        random: Random,
        host: str,
        limits: dict[str, float],
        new_session: float = 0.05,
        unrepeatable: Collection[str] = (),
    ) -> None:
        """`limits`: the longest deadline of each class, in seconds. `new_session`: the part of its requests that begin another
        conversation. `unrepeatable`: classes of which it may send an id again, which must not run again."""
        self.unrepeatable, self.again = unrepeatable, Random(f"{number} again")
        self.limits, self.new_session = limits, new_session
        self.number, self.gateway, self.record, self.random, self.host = number, gateway, record, random, host
        self.port = 0
        self.count = 0
        self.sessions, self.turns = 0, 0
        self.over = False
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def _name(self) -> str:
        self.count += 1
        return f"{self.number:06x}{self.count:010x}"

    async def run(self, pause: float) -> None:
        """Until `over`; `pause`: the mean between two requests."""
        while not self.over:
            await asyncio.sleep(self.random.expovariate(1 / pause))
            if not self.over:
                await self._ask_once()
        self._close()

    async def _ask_once(self) -> None:
        kind, product, limit = self._drawn()
        for _ in range(
            3
        ):  # a kept connection may end as a request is written to it; a restarted gateway refuses
            request = Request(self._name(), product, self.gateway, limit, kind=kind)
            kept = self.writer is not None
            if not await self._connect() or (not kept and await self._ends_within(0)):
                self._close()
                await asyncio.sleep(0.1)
                continue
            request.fresh = not kept
            self.record.requests.append(request)
            await self._ask(request)
            if request.status == 200 and product in self.unrepeatable and self.again.random() < AGAIN_PART:
                await self._come_again(request)
            unanswered = request.status == 0 and request.left is None and kind != "stops"
            if not (unanswered and kept and request.ended is not None):
                return
            request.resent = True

    async def _come_again(self, request: Request) -> None:
        """With the same id, on a connection of its own; the answer is not judged, what runs is."""
        await asyncio.sleep(self.again.uniform(0, AGAIN_WITHIN))
        with suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(self.host, self.port)
            try:
                writer.write(self._bytes(request, [("soak-again", "1")]))
                await asyncio.wait_for(reader.read(1), AGAIN_WAITS)
            finally:
                writer.close()

    def _drawn(self) -> tuple[str, str, float]:
        """What this client does, the class and the deadline of its next request."""
        product = self.random.choices(list(self.limits), [6, 3, 2])[0]
        return self.random.choice(KINDS), product, self.limits[product] * self.random.uniform(0.15, 1)

    async def _ask_on_open_connection(self) -> None:
        """One request, whatever becomes of it; it is not sent again."""
        _, product, limit = self._drawn()
        request = Request(self._name(), product, self.gateway, limit)
        self.record.requests.append(request)
        await self._ask(request)

    async def _connect(self) -> bool:
        if self.writer is not None and not self.writer.is_closing():
            return True
        try:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=1 << 20)
        except OSError:
            self.writer = None
            return False
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return True

    async def _read(self, request: Request, most: int, seconds: float) -> bytes:
        """b"" at the end of the connection, or where nothing comes in so long. What came while this harness did not run counts,
        whatever the time. Raises OSError where the connection breaks."""
        data = await self._waited(most, seconds)
        request.gave_up = data is None
        return data if data is not None else b""

    async def _ends_within(self, seconds: float) -> bool:
        """Whether the gateway ends the connection, or says something unasked, before `seconds` are over."""
        try:
            return await self._waited(1, seconds) is not None
        except OSError:
            return True

    async def _waited(self, most: int, seconds: float) -> bytes | None:
        """None: nothing came."""
        assert self.reader is not None
        coming = asyncio.ensure_future(self.reader.read(most))
        try:
            await asyncio.wait({coming}, timeout=max(0.0, seconds))
            for _ in range(TURNS):
                await asyncio.sleep(0)
        finally:
            coming.cancel()  # nothing, if it is there
        await asyncio.wait({coming})
        return None if coming.cancelled() else coming.result()

    def _close(self, reset: bool = False) -> None:
        if self.writer is not None:
            if reset:
                with suppress(OSError):
                    self.writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                    )
            self.writer.close()
        self.reader = self.writer = None

    def _bytes(self, request: Request, more: Headers = ()) -> bytes:
        body = b'{"stream":true,"pad":"' + b"x" * self.random.randint(0, 3000) + b'"}'
        if self.random.random() < self.new_session:
            self.sessions, self.turns = self.sessions + 1, 0
        self.turns += 1
        return http.request(
            "POST",
            target(request.name),
            "soak",
            body,
            [
                ("req-id", request.name),
                ("req-kind", request.product),
                ("req-owner", TENANTS[self.number % len(TENANTS)]),
                ("req-deadline-ms", str(int(request.limit * 1000))),
                ("req-extra", f"prompt_len={200 * self.turns + self.random.randint(50, 250)},max_out=50"),
                ("req-key", f"{self.number:08x}{self.sessions:08x}"),
                ("soak-gateway", self.gateway),
                ("soak-body", f"{crc32(body):08x}"),
                *more,
            ],
        )

    async def _ask(self, request: Request) -> None:
        answer: asyncio.Future[None] | None = None
        try:
            if request.kind == "stops":
                await self._stop(request, self._bytes(request))
                return
            await self._send(request)
            answer = asyncio.ensure_future(self._answer(request))
            if request.kind in LEAVING:
                await asyncio.wait({answer}, timeout=self.random.uniform(0, 0.25))
                if not answer.done():
                    await self._leave(request, request.kind)
                    answer.cancel()
            await asyncio.wait({answer})
            if answer.cancelled():
                self._give_up(request)
            else:
                answer.result()
        except (OSError, http.BadMessage):
            self._give_up(request)
        except asyncio.CancelledError:  # the run ends
            if answer is not None:
                answer.cancel()
            self._give_up(request)
            raise

    async def _send(self, request: Request) -> None:
        """All of it, now and then with a pause in the middle."""
        assert self.writer is not None
        data = self._bytes(request)
        request.begun = time.monotonic()
        cut = self.random.randint(1, len(data) - 1)
        if self.random.random() < 0.1:
            self.writer.write(data[:cut])
            await asyncio.sleep(self.random.uniform(0, 0.2))
            data = data[cut:]
        self.writer.write(data)
        request.sent = time.monotonic()

    def _give_up(self, request: Request) -> None:
        request.ended = request.ended or time.monotonic()
        self._close()

    async def _leave(self, request: Request, kind: str) -> None:
        assert self.writer is not None
        if kind == "half-closes":
            with suppress(OSError):
                self.writer.write_eof()
            await asyncio.sleep(0.3)
        request.left = time.monotonic() - (0.3 if kind == "half-closes" else 0)
        self._close(kind == "resets")

    async def _stop(self, request: Request, data: bytes) -> None:
        """Sends a part and stays: an error or a close is owed."""
        assert self.writer is not None and self.reader is not None
        self.writer.write(data[: self.random.randint(1, len(data) - 1)])
        request.stopped = time.monotonic()
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(STOPPED_FOR):
                while await self.reader.read(65536):
                    pass
        request.ended = time.monotonic()
        self._close()

    async def _answer(self, request: Request) -> None:
        assert self.reader is not None and request.sent is not None
        reader = http.ResponseParser(1 << 14, 1 << 20)
        until = request.sent + request.limit + PATIENCE
        checker = Checker(request.name)
        request.content = checker.wrong
        while not reader.complete:
            left = until + WHOLE_STREAM * (request.status == 200) - time.monotonic()
            data = await self._read(request, 256 if request.kind == "slow" else 65536, left)
            now = time.monotonic()
            if not data:
                request.ended = now
                self._close()
                break
            reader.feed(data)
            if reader.head_done and not request.status:
                self._note_head(request, reader, now)
            if request.status == 200:
                self._note_events(request, checker, b"".join(reader.pieces), now)
        else:
            request.ended, request.whole, request.surplus = time.monotonic(), True, bytes(reader.extra_bytes)
            if not reader.keep_alive or reader.extra_bytes:
                self._close()
        if request.status == 200:
            checker.end(request.whole)

    @staticmethod
    def _note_head(request: Request, reader: http.ResponseParser, now: float) -> None:
        request.status, request.began = reader.status, now
        told = reader.headers.get("retry-after")
        if told is not None:
            try:
                request.retry_after = float(told)
            except ValueError:
                request.retry_after = float("inf")

    @staticmethod
    def _note_events(request: Request, checker: Checker, data: bytes, now: float) -> None:
        """A part of the stream's body."""
        before = checker.ending_events
        marked = checker.feed(data)
        request.events += [now] * marked
        if marked or checker.ending_events != before:
            request.last_event = now
        request.served_by = checker.attempt

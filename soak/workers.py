"""Stand-in prefill and decode workers that note what their sockets show."""

import asyncio
import json
import time
from contextlib import suppress
from random import Random

from soak.link import Link, Network
from soak.records import Attempt, Record, Release, Start
from stackpitch.wire import http, sse

READ = http.response(202, b'{"cached_tokens":4}')
DECLINED = http.response(503, b"", [("srv-declined", "1")])
STREAM_HEAD = http.head(200, [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")])
USAGE = b'{"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":7}}}'
LAST = (
    http.chunk(sse.event(USAGE))
    + http.chunk(sse.DONE)
    + http.chunk(b": Srv-Load: queue=1,util=0.5,x0=0.3\n\n")
    + http.LAST_CHUNK
)
READ_TIME, FIRST_TIME, GAP = 0.03, 0.03, 0.02  # seconds in the mean
MOST_EVENTS = 12


class Worker:
    """`modes`: what the story makes it do now: hang, hang-midway, fail, decline, break, slow, stray."""

    def __init__(self, name: str, role: str, record: Record, random: Random, host: str) -> None:
        self.name, self.role, self.record, self.random, self.host = name, role, record, random, host
        self.network = Network(random)
        self.modes: set[str] = set()
        self.port = 0
        self.started_unix_ms = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, cold: bool = False) -> None:
        if self.server is not None:  # another trouble has brought it back
            return
        self.server = await asyncio.start_server(self._connection, self.host, self.port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        if cold:
            self.started_unix_ms = time.time_ns() // 1_000_000
            self.record.starts.append(Start(self.name, self.role, time.monotonic()))

    def die(self) -> None:
        """As a killed process: new connections are refused, open ones reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.network.reset_all()
        for task in list(self.tasks):
            task.cancel()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        link = Link(reader, writer, self.network)
        try:
            while await self._request(link):
                pass
        except (OSError, http.BadMessage, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            with suppress(RuntimeError):
                link.close()

    async def _request(self, link: Link) -> bool:
        reader, attempt = http.RequestReader(1 << 16, 1 << 20), None
        link.idle = True
        try:
            while not reader.complete:
                data = await link.read()
                if not data:
                    return False
                if attempt is None:
                    link.idle = False
                    attempt = Attempt(self.name, self.role, link.came)
                reader.feed(data)
            assert attempt is not None
            if reader.method == "DELETE":
                name = reader.path.rpartition("/")[2]
                self.record.releases.append(Release(name, self.name, time.monotonic()))
                return await link.write(http.response(204, b""))
            attempt.whole, attempt.taken = link.came, time.monotonic()
            attempt.told_ms = int(reader.headers["req-deadline-ms"])
            return await self._watched(link, attempt)
        finally:
            if attempt is not None and reader.head_done and reader.method != "DELETE":
                attempt.request = reader.headers.get("req-id", "")
                attempt.gateway = reader.headers.get("soak-gateway", "")
                self.record.attempts.append(attempt)
                attempt.ended = attempt.ended or link.ended or time.monotonic()

    async def _watched(self, link: Link, attempt: Attempt) -> bool:
        """Answers while it looks whether the gateway ends the connection."""
        answer = asyncio.ensure_future(self._answer(link, attempt))
        look = asyncio.ensure_future(self._wait_for_end(link))
        done, _ = await asyncio.wait({answer, look}, return_when=asyncio.FIRST_COMPLETED)
        if answer in done:
            look.cancel()
            with suppress(asyncio.CancelledError):
                await look
            return answer.result()
        answer.cancel()
        attempt.ended, attempt.outcome = link.ended, attempt.outcome or "gone"
        return False

    @staticmethod
    async def _wait_for_end(link: Link) -> None:
        while link.ended is None:
            await asyncio.sleep(0.01)

    async def _answer(self, link: Link, attempt: Attempt) -> bool:
        slow = 20 if "slow" in self.modes else 1
        if "hang" in self.modes:
            await asyncio.sleep(60)
        if "fail" in self.modes and self.random.random() < 0.7:
            return await self._end(link, attempt, http.response(500, b"{}"), "spoilt")
        if "decline" in self.modes and self.random.random() < 0.7:
            return await self._end(link, attempt, DECLINED, "declined")
        if self.role == "reader":
            await asyncio.sleep(self.random.uniform(0.3, 2) * READ_TIME * slow)
            attempt.outcome = "read"  # the state is held from here on, whether or not the answer arrives
            return await self._end(link, attempt, READ, "read")
        await asyncio.sleep(self.random.uniform(0.3, 2) * FIRST_TIME * slow)
        return await self._stream(link, attempt, slow)

    async def _end(self, link: Link, attempt: Attempt, data: bytes, outcome: str) -> bool:
        attempt.outcome = outcome if outcome != "streamed" else attempt.outcome
        good = await link.write(data)
        if good:
            attempt.outcome = outcome
            link.on_abort = lambda: self._spoil(attempt)
        if "stray" in self.modes and self.random.random() < 0.3:
            await link.write(READ)
        if good:
            attempt.ended = time.monotonic()
        return good

    @staticmethod
    def _spoil(attempt: Attempt) -> None:
        """A reset may destroy what was written just before it."""
        if attempt.outcome == "streamed" and time.monotonic() - (attempt.ended or 0.0) < 1:
            attempt.outcome = "spoilt"

    async def _stream(self, link: Link, attempt: Attempt, slow: int) -> bool:
        attempt.outcome = "spoilt"
        events = self.random.randint(1, MOST_EVENTS)
        head = STREAM_HEAD
        for number in range(events):
            if "break" in self.modes and self.random.random() < 0.1:
                link.abort()
                return False
            if "hang-midway" in self.modes and self.random.random() < 0.2:
                await asyncio.sleep(60)
            delta = {"content": f"{time.monotonic():.4f}"}
            body = {"choices": [{"index": 0, "delta": delta, "finish_reason": None}]}
            if not await link.write(head + http.chunk(sse.event(json.dumps(body).encode()))):
                return False
            attempt.events, head = number + 1, b""
            await asyncio.sleep(self.random.uniform(0.2, 2) * GAP * min(slow, 4))
        return await self._end(link, attempt, LAST, "streamed")


def member(worker: Worker, phase: str = "up") -> dict[str, object]:
    """As discovery lists it."""
    return {
        "id": worker.name,
        "host_port": f"{worker.host}:{worker.port}",
        "locality": "a",
        "flavor": worker.role[0],
        "cell": 1,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": worker.started_unix_ms,
    }

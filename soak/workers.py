"""Stand-in prefill and decode workers that note what their sockets show."""

import asyncio
import socket
import time
from contextlib import suppress
from random import Random
from zlib import crc32

from soak.link import Link, Network
from soak.message_forms import unsound_answer
from soak.odd_answers import write_departure
from soak.pressure import UNBOUNDED, USUAL_SLOTS, Capacity
from soak.records import Attempt, Record, Release, Start
from soak.streaming import StreamWriter
from stackpitch.wire import http

READ = http.response(202, b'{"cached_tokens":4}')
DECLINED = http.response(503, b"", [("srv-declined", "1")])
STATE_GONE = http.response(410, b"", [("srv-declined", "1")])
READ_TIME, FIRST_TIME = 0.03, 0.03  # seconds in the mean
SEES_END_WITHIN = 0.05  # seconds in which a worker gives up what it does for a connection that has ended
SLOW = 20  # times the mean, of a worker that is slow
LATE_RESET = 1.5  # seconds after which a request is reset at most
FILLERS = 2  # connections that fill a queue for one
UNSOUND_PART = 0.5  # of the answers
TARGET = "/v1/chat/completions"


def target(request: str) -> str:
    """Where a client sends the request of that name."""
    return f"{TARGET}?of={request}"


class Worker:
    """`modes`: what the story makes it do now: hang, hang-midway, fail, decline, break, slow, stray, forget,
    late-reset, comments, pauses, departs, forms, unsound."""

    def __init__(
        self,
        name: str,
        role: str,
        record: Record,
        random: Random,
        host: str,
        capacity: Capacity = UNBOUNDED,
        pace: float = 1.0,
    ) -> None:
        """`pace`: by how much its reads and first tokens take longer than the shortest drawn."""
        self.name, self.role, self.record, self.random, self.host = name, role, record, random, host
        self.pace = pace
        self.capacity, self.inside = capacity, 0  # attempts that run or wait
        self.slots = asyncio.Semaphore(capacity.slots)
        self.marking = Random(f"{name} marks")  # by itself, so that what is drawn else stays as it is
        self.quirks = Random(f"{name} quirks")  # likewise
        self.forms = Random(f"{name} forms")  # likewise
        self.event_forms = Random(f"{name} event forms")  # likewise
        self.streams = 0
        self.network = Network(random)
        self.modes: set[str] = set()
        self.port = 0
        self.started_unix_ms = 0
        self.server: asyncio.Server | None = None
        self.full: socket.socket | None = None  # listens in its place while connections come up late
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, cold: bool = False) -> None:
        if self.server is not None:  # another trouble has brought it back
            return
        self._empty()
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
        self._empty()
        self.network.reset_all()
        for task in list(self.tasks):
            task.cancel()

    def _empty(self) -> None:
        if self.full is not None:
            self.full.close()
            self.full = None

    async def connect_late(self, seconds: float) -> None:
        """For so long new connections come up late or never, as its queue for them is full. Open ones go on."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        full = self.full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind((self.host, self.port))
        full.listen(0)
        fillers = [socket.socket() for _ in range(FILLERS)]
        for one in fillers:
            one.setblocking(False)
            one.connect_ex((self.host, self.port))
        await asyncio.sleep(seconds)
        for one in fillers:
            one.close()
        if self.full is full:  # no other trouble has ended or restarted it meanwhile
            await self.start()

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
        reader, attempt = http.RequestParser(1 << 16, 1 << 20), None
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
                if link.unread:
                    return False
                if self.modes & {"break", "late-reset"} and self.marking.random() < 0.5:
                    link.abort()  # before it was taken
                    return False
                name = reader.path.rpartition("/")[2]
                self.record.releases.append(Release(name, self.name, time.monotonic()))
                if self._answers_unsoundly():
                    await write_departure(link, unsound_answer(self.forms))
                    return False
                return await link.write(http.response(204, b""))
            attempt.whole = link.came
            attempt.request = reader.headers.get("req-id", "")
            attempt.unchanged = self._unchanged(reader)
            attempt.told_ms = int(reader.headers["req-deadline-ms"])
            if link.unread:
                attempt.outcome = "gone"
                return False
            attempt.taken = time.monotonic()
            return await self._watched(link, attempt)
        finally:
            if attempt is not None and reader.head_done and reader.method != "DELETE":
                attempt.request = reader.headers.get("req-id", "")
                attempt.gateway = reader.headers.get("soak-gateway", "")
                attempt.again = "soak-again" in reader.headers
                self.record.attempts.append(attempt)
                attempt.ended = attempt.ended or link.ended or time.monotonic()

    @staticmethod
    def _unchanged(reader: http.RequestParser) -> bool:
        """Whether it is what its client sent."""
        headers = reader.headers
        wanted = target(headers.get("req-id", "")).encode()
        good = f"{crc32(reader.body()):08x}" == headers.get("soak-body", "")
        return good and reader.method == "POST" and reader.url == wanted

    async def _watched(self, link: Link, attempt: Attempt) -> bool:
        """Answers while it looks whether the gateway ends the connection."""
        answer = asyncio.ensure_future(self._answer(link, attempt))
        look = asyncio.ensure_future(self._wait_for_end(link))
        done, _ = await asyncio.wait({answer, look}, return_when=asyncio.FIRST_COMPLETED)
        if answer in done:
            look.cancel()
            with suppress(asyncio.CancelledError):
                await look
            self._note_cut(link, attempt)
            return answer.result()
        answer.cancel()
        attempt.ended, attempt.outcome = link.ended, attempt.outcome or "gone"
        self._note_cut(link, attempt)
        return False

    @staticmethod
    def _note_cut(link: Link, attempt: Attempt) -> None:
        """Whether the other side ended the connection, and while a stream was written as it is."""
        attempt.ended_there = link.ended_there
        good = not link.spoilt and attempt.outcome != "streamed" and attempt.departed is None
        attempt.cut_off = link.ended_there and bool(attempt.events) and good

    @staticmethod
    async def _wait_for_end(link: Link) -> None:
        while link.ended is None:
            await asyncio.sleep(0.01)

    async def _answer(self, link: Link, attempt: Attempt) -> bool:
        slow = SLOW if "slow" in self.modes else self.pace
        if "hang" in self.modes:
            await asyncio.sleep(60)
        if self._answers_unsoundly():
            return await self._answer_unsoundly(link, attempt)
        if "late-reset" in self.modes and self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0, LATE_RESET))
            link.abort()
            return False
        if "fail" in self.modes and self.random.random() < 0.7:
            return await self._end(link, attempt, http.response(500, b"{}"), "spoilt")
        if "decline" in self.modes and self.random.random() < 0.7:
            return await self._end(link, attempt, DECLINED, "declined")
        if "forget" in self.modes and self.role == "writer" and self.random.random() < 0.5:
            attempt.fetched = time.monotonic()
            return await self._end(link, attempt, STATE_GONE, "declined")
        if self.inside >= self.capacity.slots + self.capacity.queue:
            return await self._end(link, attempt, DECLINED, "declined")
        self.inside += 1
        try:
            async with self.slots:
                return await self._work(link, attempt, slow)
        finally:
            self.inside -= 1

    async def _work(self, link: Link, attempt: Attempt, slow: float) -> bool:
        if self.role == "reader":
            await asyncio.sleep(self.random.uniform(0.3, 2) * READ_TIME * slow)
            if link.ended is not None and time.monotonic() - link.ended > SEES_END_WITHIN:
                return False  # this harness did not run; the worker would have given the read up
            attempt.outcome = "read"  # whether or not the answer arrives
            attempt.state_since = time.monotonic()
            return await self._end(link, attempt, READ, "read")
        await asyncio.sleep(self.random.uniform(0.3, 2) * FIRST_TIME * slow)
        return await self._stream(link, attempt, slow == SLOW)

    def _answers_unsoundly(self) -> bool:
        return "unsound" in self.modes and self.forms.random() < UNSOUND_PART

    async def _answer_unsoundly(self, link: Link, attempt: Attempt) -> bool:
        """Half of them have done what they were asked for."""
        attempt.outcome = "spoilt"
        if self.forms.random() < 0.5:
            now = time.monotonic()
            attempt.state_since, attempt.fetched = (now, None) if self.role == "reader" else (None, now)
        await write_departure(link, unsound_answer(self.forms))
        return False

    async def _stream(self, link: Link, attempt: Attempt, slow: bool) -> bool:
        attempt.outcome, attempt.fetched = "spoilt", time.monotonic()
        self.streams += 1
        attempt.name = f"{self.name}-{self.streams}"
        last = await StreamWriter(self, link, attempt).write(slow)
        return last is not None and await self._end(link, attempt, last, "streamed")

    def report(self) -> str:
        """Its load, as it tells it."""
        waiting = max(0, self.inside - self.capacity.slots)
        busy = min(1.0, self.inside / min(self.capacity.slots, USUAL_SLOTS))
        return f"queue={waiting},util={busy:.2f},x0=0.3"

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


def member(worker: Worker, phase: str = "up") -> dict[str, object]:
    """As discovery lists it."""
    return {
        "id": worker.name,
        "host_port": f"{worker.host}:{worker.port}",
        "locality": worker.record.places[worker.name][0],
        "flavor": worker.role[0],
        "cell": worker.record.places[worker.name][1],
        "phase": phase,
        "size": 1.0,
        "up_since_ms": worker.started_unix_ms,
    }

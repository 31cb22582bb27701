"""A connection of a stand-in with the faults of a network between: delay, pieces, silence, cuts, half-closes, garbage."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class Network:
    """The faults on the way to one stand-in, now. Set by the story while connections are open."""

    random: Random
    delay: float = 0.0  # seconds, each way
    pieces: bool = False  # what is written goes out a few bytes at a time
    silent: bool = False  # nothing passes, nothing ends
    deaf: bool = False  # what comes is not taken, what is written passes
    cut: float = 0.0  # chance that a write resets the connection instead
    half_close: float = 0.0  # chance that a write ends its side in the middle
    garbage: float = 0.0  # chance that a write is spoilt
    links: "set[Link]" = field(default_factory=set)  # those open now

    def calm(self) -> None:
        self.delay, self.pieces, self.silent, self.deaf = 0.0, False, False, False
        self.cut = self.half_close = self.garbage = 0.0

    def reset_all(self) -> None:
        for link in list(self.links):
            link.abort()

    def mute_all(self) -> None:
        """Those open now fall silent for good; nothing tells."""
        for link in self.links:
            link.mute = True

    def mute_idle(self) -> None:
        """Resting ones fall silent for good; others, and new ones, are well."""
        for link in self.links:
            link.mute = link.mute or link.idle

    def close_idle(self) -> None:
        for link in list(self.links):
            if link.idle:
                link.writer.close()


class Link:
    """One connection. What comes is noted as it comes, whatever the faults then do with it: `came` is when the bytes that
    `read` gave last were in the socket, `ended` when the other side closed or reset."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, network: Network) -> None:
        self.reader, self.writer, self.network = reader, writer, network
        self.came = 0.0
        self.ended: float | None = None
        self.ended_there = False  # by the other side, not by `abort`
        self.spoilt = False  # a write was cut, half-closed or garbage, so that the other side has to end it
        self.passed = 0.0  # when the last write got onto its way
        self.mute = False  # nothing passes any more
        self.idle = True
        self.unread = False  # it ended before what had come was taken
        self.on_abort: Callable[[], None] = lambda: None
        self.arrived: deque[tuple[float, bytes]] = deque()
        self.news = asyncio.Event()
        self.pump = asyncio.ensure_future(self._pump())
        network.links.add(self)

    async def _pump(self) -> None:
        data = b"."
        while data:
            try:
                data = await self.reader.read(65536)
            except OSError:
                data = b""
            now = time.monotonic()
            if not data:
                self.ended_there = self.ended is None
                self.ended = self.ended or now
            self.arrived.append((now, data))
            self.news.set()

    async def _passes(self, inward: bool = False) -> None:
        while self.network.silent or self.mute or (inward and self.network.deaf):
            if self.ended is not None:
                self.unread = True
                break
            await asyncio.sleep(0.02)
        if self.network.delay:
            await asyncio.sleep(self.network.delay)
        self.passed = time.monotonic()

    async def read(self) -> bytes:
        """b"" at the end. Bytes that come in a silence are kept back until it is over, or are `unread` if the other side
        ends before."""
        while not self.arrived:
            self.news.clear()
            await self.news.wait()
        self.came, data = self.arrived.popleft()
        if data:
            await self._passes(inward=True)
        return data

    async def write(self, data: bytes) -> bool:
        """False if it did not pass as it is."""
        network, random = self.network, self.network.random
        await self._passes()
        if self.ended is not None or self.writer.is_closing():
            return False
        if random.random() < network.cut:
            self.abort()
            return False
        self.spoilt = True
        if random.random() < network.half_close:
            self.writer.write(data[: len(data) // 2])
            try:
                self.writer.write_eof()
            except OSError:
                pass
            return False
        if random.random() < network.garbage:
            self.writer.write(random.randbytes(40))
            return False
        self.spoilt = False
        if not network.pieces:
            self.writer.write(data)
            return True
        while data and not self.writer.is_closing():
            size = random.randint(1, 60)
            self.writer.write(data[:size])
            data = data[size:]
            await asyncio.sleep(0)
        return not data

    def abort(self) -> None:
        self.ended = self.ended or time.monotonic()
        self.on_abort()
        self.writer.transport.abort()

    def close(self) -> None:
        self.network.links.discard(self)
        self.pump.cancel()
        self.writer.close()

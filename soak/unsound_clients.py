"""Clients that send what is no request, and note what they get for it."""

import asyncio
import time
from contextlib import suppress
from random import Random

from soak.message_forms import Departure
from soak.records import Record, UnsoundRequest
from soak.request_forms import unsound_request

WAITS = 12.0  # seconds for an answer or the connection's end, through long stops of the gateway
FIRST_ID = 0xDE << 56  # apart from those of the other clients


async def send_unsound_requests(
    record: Record, gateway: str, host: str, port: int, random: Random, until: float
) -> None:
    """One after the other, each on a connection of its own."""
    while time.monotonic() < until:
        departure = unsound_request(random, FIRST_ID + random.getrandbits(48))
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(host, port)
            request = UnsoundRequest(gateway, departure.point, time.monotonic())
            record.unsound_requests.append(request)
            writing = asyncio.ensure_future(_write(writer, departure))
            try:
                await _read(reader, request)
            finally:
                writing.cancel()
                writer.close()
        await asyncio.sleep(0.05)


async def _write(writer: asyncio.StreamWriter, departure: Departure) -> None:
    writer.write(departure.begin)
    while not writer.is_closing():
        await asyncio.sleep(departure.pause)
        writer.write(departure.part())


async def _read(reader: asyncio.StreamReader, request: UnsoundRequest) -> None:
    """Its status line, or the connection's end; neither if nothing came."""
    with suppress(TimeoutError, OSError):
        async with asyncio.timeout(WAITS):
            words = (await reader.readline()).split()
            if len(words) > 1 and words[1].isdigit():
                request.status = int(words[1])
    if time.monotonic() < request.connected + WAITS:
        request.ended = time.monotonic()

"""Writes answers whose form is rare or unsound to the other side of a link."""

import asyncio
import time

from soak.link import Link
from soak.message_forms import Departure

DEPARTS_FOR = 60.0  # seconds, if nobody ends the connection


async def write_departure(link: Link, departure: Departure) -> bool:
    """Until the other side ends the connection; whether its beginning passed as it is."""
    if not await link.write(departure.begin):
        return False
    until = time.monotonic() + DEPARTS_FOR
    while time.monotonic() < until and link.ended is None and await link.write(departure.part()):
        await asyncio.sleep(departure.pause)
    return True

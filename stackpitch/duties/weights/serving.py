"""Serves checked pieces to neighbours, by `GET /weights/MODEL/VERSION` with a Range."""

import re
from functools import partial

from stackpitch.duties.weights.errors import WeightsError
from stackpitch.duties.weights.placing.disk import QUEUE
from stackpitch.duties.weights.receiving.receiver import Receiver
from stackpitch.loop import SECOND, Coro, Stream, Time, World
from stackpitch.wire import http

PREFIX = "/weights/"
MAX_RANGE_BYTES = 4 << 20
CHUNK_BYTES = 256 * 1024  # read and written at a time
WRITE_TIMEOUT: Time = 2 * SECOND  # a neighbour that reads nothing for this time is disconnected
RANGE = re.compile(r"bytes=(\d{1,15})-(\d{1,15})")


def answer(world: World, receiver: Receiver, request: http.RequestParser, stream: Stream) -> Coro[bool]:
    """Writes the complete answer. Whether the connection can be reused. Raises ConnectionLost."""

    def refuse(status: int, why: str) -> bool:
        stream.write(http.response(status, why.encode(), [("connection", "keep-alive")], "text/plain"))
        return request.keep_alive

    model, _, version = request.path.removeprefix(PREFIX).partition("/")
    entry, byte_range = (
        receiver.entries.get((model, version)),
        RANGE.fullmatch(request.headers.get("range", "")),
    )
    if request.method != "GET" or byte_range is None:
        return refuse(400, "allowed: GET with one range, as bytes=0-1023")
    if entry is None or not entry.ready:
        return refuse(404, "not here")
    manifest, first, last = entry.manifest, int(byte_range[1]), int(byte_range[2])
    if not first <= last < manifest.size or last - first >= MAX_RANGE_BYTES:
        return refuse(400, f"allowed: ranges of up to {MAX_RANGE_BYTES} bytes within {manifest.size}")
    pieces = range(first // manifest.piece, last // manifest.piece + 1)
    if not entry.copy.placed and any(not entry.pieces.have >> piece & 1 for piece in pieces):
        return refuse(404, "these pieces are not here")
    headers = [
        ("content-type", "application/octet-stream"),
        ("content-length", str(last - first + 1)),
        ("content-range", f"bytes {first}-{last}/{manifest.size}"),
        ("connection", "keep-alive"),
    ]
    head_sent = False
    for at in range(first, last + 1, CHUNK_BYTES):
        size = min(CHUNK_BYTES, last + 1 - at)
        try:
            data = yield from world.run_blocking(partial(entry.copy.read, at, size), QUEUE)
        except WeightsError:
            data = b""
        if len(data) != size:
            return False if head_sent else refuse(404, "the disk does not give them")
        stream.write(data if head_sent else http.head(206, headers) + data)
        head_sent = True
        with world.limit(WRITE_TIMEOUT) as scope:
            yield from stream.drain(CHUNK_BYTES)
        if scope.expired:
            return False
    return request.keep_alive

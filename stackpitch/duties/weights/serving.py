"""What a gateway gives its neighbours: checked pieces of what it has, by `GET /weights/MODEL/VERSION` with a Range."""

import re
from functools import partial

from stackpitch.duties.weights.errors import WeightsError
from stackpitch.duties.weights.placing.disk import QUEUE
from stackpitch.duties.weights.receiving.receiver import Receiver
from stackpitch.loop import SECOND, Coro, Stream, Time, World
from stackpitch.wire import http

PREFIX = "/weights/"
MOST = 4 << 20  # bytes of one range
PART = 256 * 1024  # read, written and waited for at a time
GAP: Time = 2 * SECOND  # a neighbour that takes nothing for so long is cut off
RANGE = re.compile(r"bytes=(\d{1,15})-(\d{1,15})")


def answer(world: World, receiver: Receiver, request: http.RequestParser, stream: Stream) -> Coro[bool]:
    """Writes the whole answer; whether the connection can be kept. Raises ConnectionLost."""

    def refused(status: int, why: str) -> bool:
        stream.write(http.response(status, why.encode(), [("connection", "keep-alive")], "text/plain"))
        return request.keep_alive

    model, _, version = request.path.removeprefix(PREFIX).partition("/")
    entry, asked = receiver.entries.get((model, version)), RANGE.fullmatch(request.headers.get("range", ""))
    if request.method != "GET" or asked is None:
        return refused(400, "allowed: GET with one range, as bytes=0-1023")
    if entry is None or not entry.ready:
        return refused(404, "not here")
    manifest, first, last = entry.manifest, int(asked[1]), int(asked[2])
    if not first <= last < manifest.size or last - first >= MOST:
        return refused(400, f"allowed: ranges of up to {MOST} bytes within {manifest.size}")
    pieces = range(first // manifest.piece, last // manifest.piece + 1)
    if not entry.copy.placed and any(not entry.pieces.have >> piece & 1 for piece in pieces):
        return refused(404, "these pieces are not here")
    headers = [
        ("content-type", "application/octet-stream"),
        ("content-length", str(last - first + 1)),
        ("content-range", f"bytes {first}-{last}/{manifest.size}"),
        ("connection", "keep-alive"),
    ]
    begun = False
    for at in range(first, last + 1, PART):
        size = min(PART, last + 1 - at)
        try:
            data = yield from world.run_blocking(partial(entry.copy.read, at, size), QUEUE)
        except WeightsError:
            data = b""
        if len(data) != size:
            return False if begun else refused(404, "the disk does not give them")
        stream.write(data if begun else http.head(206, headers) + data)
        begun = True
        with world.limit(GAP) as scope:
            yield from stream.drain(PART)
        if scope.expired:
            return False
    return request.keep_alive

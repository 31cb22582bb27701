"""A part of a file by HTTP `Range`, over one kept connection. Asks for no more than may come now."""

from stackpitch.duties.weights.errors import SourceChanged, SourceFailed
from stackpitch.loop import MS, SECOND, ConnectFailed, ConnectionLost, Coro, Stream, Time, World
from stackpitch.wire import http

CONNECT: Time = SECOND
GAP: Time = 2 * SECOND  # without a byte of what was asked for
MOST_HEAD = 16 * 1024


class Source:
    """One source's connection, opened when it is needed. Raises SourceFailed, SourceChanged. `gateway`: who asks, which
    every request says, so that an origin's log tells sites apart."""

    def __init__(self, world: World, name: str, address: str, gateway: int) -> None:
        self.world, self.name, self.address, self.gateway = world, name, address, gateway
        self.stream: Stream | None = None
        self.used = False  # at least one answer came over it: a break may then be its keeping's end

    def close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def fetch(self, path: str, at: int, size: int, total: int) -> Coro[bytes]:
        """Bytes `at` to `at + size` of a file of `total`."""
        kept = self.stream is not None and self.used
        try:
            return (yield from self._fetch(path, at, size, total))
        except ConnectionLost as wrong:
            self.close()
            if not kept:
                raise SourceFailed(self.name, self.address, str(wrong)) from None
        try:
            return (yield from self._fetch(path, at, size, total))
        except ConnectionLost as wrong:
            self.close()
            raise SourceFailed(self.name, self.address, str(wrong)) from None

    def _fetch(self, path: str, at: int, size: int, total: int) -> Coro[bytes]:
        if self.stream is None:
            host, _, port = self.address.rpartition(":")
            try:
                self.stream = yield from self.world.connect((host, int(port)), CONNECT)
            except (ConnectFailed, OSError, ValueError, OverflowError) as wrong:
                raise SourceFailed(self.name, self.address, str(wrong)) from None
            self.used = False
        stream, whole = self.stream, False
        try:
            headers = [
                ("range", f"bytes={at}-{at + size - 1}"),
                ("accept-encoding", "identity"),
                ("user-agent", f"stackpitch gateway/{self.gateway}"),
            ]
            stream.write(http.request("GET", path, self.address, b"", headers))
            reader, parts = http.ResponseParser(MOST_HEAD, size), list[bytes]()
            while not reader.complete:
                data = b""
                with self.world.limit(GAP) as scope:
                    data = yield from stream.recv()
                if scope.expired:
                    raise SourceFailed(self.name, self.address, f"nothing came for {GAP // MS} ms")
                if not data:
                    raise ConnectionLost("it closed the connection")
                reader.feed(data)
                parts += reader.pieces
                if reader.head_done:
                    self._allowed(reader, at, size, total)
            whole = reader.keep_alive and not reader.extra_bytes
            self.used = True
            found = b"".join(parts)
            if len(found) != size:
                raise SourceFailed(self.name, self.address, f"gave {len(found)} bytes of {size}")
            return found
        except http.BadMessage as wrong:
            raise SourceFailed(self.name, self.address, str(wrong)) from None
        finally:
            if not whole:  # also when cancelled: what would still come belongs to nobody
                self.close()

    def _allowed(self, reader: http.ResponseParser, at: int, size: int, total: int) -> None:
        length = reader.headers.get("content-range", "").rpartition("/")[2]
        if reader.status == 416 or (length.isdecimal() and int(length) != total):
            raise SourceChanged(
                self.name, self.address, f"its file has {length or 'other'} bytes, the manifest's has {total}"
            )
        if (
            reader.status != 206
            or reader.headers.get("content-range") != f"bytes {at}-{at + size - 1}/{total}"
        ):
            raise SourceFailed(
                self.name, self.address, f"answered {reader.status} to a range of {size} bytes"
            )

"""Fetches parts of a file by HTTP `Range` over one reused connection. Requests no more than may arrive now."""

from stackpitch.duties.weights.errors import SourceChanged, SourceFailed, SourceSilent
from stackpitch.loop import MS, SECOND, ConnectFailed, ConnectionLost, Coro, Stream, Time, World
from stackpitch.wire import http

CONNECT_TIMEOUT: Time = SECOND
MAX_HEAD_BYTES = 16 * 1024


class SourceConnection:
    """The connection to one source, opened when it is needed. Raises SourceFailed, SourceChanged.

    `gateway`: the number of this gateway. Every request carries it, so that an origin's log tells sites apart.
    """

    def __init__(self, world: World, name: str, address: str, gateway: int) -> None:
        self.world, self.name, self.address, self.gateway = world, name, address, gateway
        self.stream: Stream | None = None
        self.used = False  # an answer came over it, so a break may be the end of keep-alive

    def close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def fetch(self, path: str, at: int, size: int, total: int, read_timeout: Time) -> Coro[bytes]:
        """The `size` bytes from `at` of a file of `total` bytes. Tries again once if a reused connection broke.

        `read_timeout`: without a byte of the answer.
        """
        reused = self.stream is not None and self.used
        try:
            return (yield from self._fetch(path, at, size, total, read_timeout))
        except ConnectionLost as error:
            self.close()
            if not reused:
                raise SourceFailed(self.name, self.address, str(error)) from None
        try:
            return (yield from self._fetch(path, at, size, total, read_timeout))
        except ConnectionLost as error:
            self.close()
            raise SourceFailed(self.name, self.address, str(error)) from None

    def _fetch(self, path: str, at: int, size: int, total: int, read_timeout: Time) -> Coro[bytes]:
        if self.stream is None:
            host, _, port = self.address.rpartition(":")
            try:
                self.stream = yield from self.world.connect((host, int(port)), CONNECT_TIMEOUT)
            except (ConnectFailed, OSError, ValueError, OverflowError) as error:
                raise SourceFailed(self.name, self.address, str(error)) from None
            self.used = False
        stream, reusable = self.stream, False
        try:
            headers = [
                ("range", f"bytes={at}-{at + size - 1}"),
                ("accept-encoding", "identity"),
                ("user-agent", f"stackpitch gateway/{self.gateway}"),
            ]
            stream.write(http.request("GET", path, self.address, b"", headers))
            reader, parts = http.ResponseParser(MAX_HEAD_BYTES, size), list[bytes]()
            while not reader.complete:
                data = b""
                with self.world.limit(read_timeout) as scope:
                    data = yield from stream.recv()
                if scope.expired:
                    raise SourceSilent(self.name, self.address, f"no data for {read_timeout // MS} ms")
                if not data:
                    raise ConnectionLost("it closed the connection")
                reader.feed(data)
                parts += reader.pieces
                if reader.head_done:
                    self._check_head(reader, at, size, total)
            reusable = reader.keep_alive and not reader.extra_bytes
            self.used = True
            body = b"".join(parts)
            if len(body) != size:
                raise SourceFailed(self.name, self.address, f"sent {len(body)} bytes of {size}")
            return body
        except http.BadMessage as error:
            raise SourceFailed(self.name, self.address, str(error)) from None
        finally:
            if not reusable:  # also when cancelled: nobody would read the rest of the answer
                self.close()

    def _check_head(self, reader: http.ResponseParser, at: int, size: int, total: int) -> None:
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

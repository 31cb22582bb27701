"""Parsers of HTTP/1.1 messages over httptools (llhttp), one object for each message.

A parser is fed the received bytes and tracks how far the message is. It bounds the head, the body, and what
is neither (chunk extensions, trailers). What a message states of its size is held to these bounds when it is
stated. A violation raises `BadMessage` with the status to answer. Bytes after a complete message are only noted
(`extra_bytes`), not parsed.
"""

import httptools

from stackpitch.wire.chunk_sizes import ChunkSizes

MAX_URL = 2048  # bytes
# Fields of a head and its trailers together: parsing a thousand small ones delays all other connections by
# milliseconds.
MAX_FIELDS = 128
_BLANK_LINE = b"\n\r\n"  # with the end of the line before: ends a head


class BadMessage(Exception):
    """A message that violates the protocol or a bound; `status` is what a server answers."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class _MessageParser:
    """Common to requests and responses.

    Field names are in lower case; repeated fields are joined by a comma. `chunks`: the chunks of the body, if
    it is `chunked`.
    """

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def __init__(self, max_head: int, max_body: int, max_stated: int | None = None) -> None:
        """Sizes are in bytes. `max_stated`: of the body's length or one chunk, as they are stated; None: as
        `max_body`."""
        self.max_head, self.max_body = max_head, max_body
        self.max_stated = max_body if max_stated is None else min(max_body, max_stated)
        self.headers: dict[str, str] = {}
        self.trailers: dict[str, str] = {}
        self.pieces: list[bytes] = []  # of the body: an object per chunk of the latest feed
        self.head_done = self.complete = self.extra_bytes = self.keep_alive = False
        self.head_bytes = self.body_size = self.field_count = self.field_bytes = 0
        self.overhead_bytes = 0  # bytes since the latest body data or end of the head
        self.started = self.chunked = False
        self.chunks = ChunkSizes()
        self._head_tail = b""  # the latest bytes of an incomplete head

    def on_message_begin(self) -> None:
        if self.started:
            self.extra_bytes = True
        self.started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.extra_bytes:
            return
        self.field_count += 1
        if self.field_count > MAX_FIELDS:
            raise BadMessage(431, f"over {MAX_FIELDS} fields")
        self.field_bytes += len(name) + len(value)
        if self.field_bytes > self.max_head and not self.head_done:  # also if the whole head came in one feed
            raise BadMessage(431, f"head is over {self.max_head} bytes")
        target = self.trailers if self.head_done else self.headers
        key, text = name.decode("latin-1").lower(), value.decode("latin-1").strip()
        target[key] = f"{target[key]}, {text}" if key in target else text

    def on_body(self, body: bytes) -> None:
        if self.extra_bytes:
            return
        self.body_size += len(body)
        self.overhead_bytes = 0
        if self.body_size > self.max_body:
            raise BadMessage(413, f"body is over {self.max_body} bytes")
        self.pieces.append(body)

    def on_message_complete(self) -> None:
        if not self.extra_bytes:
            self.complete = True

    def _begin_body(self) -> None:
        """The head is complete. Raises BadMessage on a length over the bound."""
        self.head_done = True
        self.keep_alive = self.parser.should_keep_alive()
        self.chunked = self.headers.get("transfer-encoding", "").lower().endswith("chunked")
        self.overhead_bytes = 0
        length = self.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.max_stated:
            raise BadMessage(413, f"body of {length} bytes is over {self.max_stated}")

    def _handle_parser_error(self, error: Exception) -> None:
        cause = error.__context__ or error.__cause__
        if isinstance(cause, BadMessage):  # raised by one of the callbacks above
            # A new one: the traceback of the other would refer to this frame, and this frame to it.
            raise BadMessage(cause.status, str(cause)) from None
        if not self.complete:
            raise BadMessage(400, f"not HTTP/1.1: {error}") from None
        self.extra_bytes = True  # the message was complete before the invalid bytes

    def _feed(self, data: bytes) -> None:
        """Parses received bytes. Raises BadMessage."""
        if self.complete:
            self.extra_bytes = self.extra_bytes or bool(data)
            return
        self.overhead_bytes += len(data)
        try:
            if self.head_done:
                self._feed_body(data)
            else:
                self._feed_head(data)
        except httptools.HttpParserUpgrade:
            raise BadMessage(400, "this port does not upgrade connections") from None
        except httptools.HttpParserError as error:
            self._handle_parser_error(error)
            return
        if not self.head_done:
            self.head_bytes += len(data)
            if self.head_bytes > self.max_head:
                raise BadMessage(431, f"head is over {self.max_head} bytes")
        elif self.overhead_bytes > self.max_head and not self.complete:
            raise BadMessage(431, f"over {self.max_head} bytes that are neither head nor body")

    def _feed_head(self, data: bytes) -> None:
        """Parses the rest of the head, apart from what follows it: the chunks are counted from there."""
        data, position = self._head_tail + data, len(self._head_tail)
        while not self.head_done and position < len(data):
            blank_line = data.find(_BLANK_LINE, max(0, position + 1 - len(_BLANK_LINE)))
            end = len(data) if blank_line < 0 else blank_line + len(_BLANK_LINE)
            self.parser.feed_data(data[position:end])
            position = end
        self._head_tail = data[1 - len(_BLANK_LINE) :]
        if position < len(data):
            self._feed_body(data[position:])

    def _feed_body(self, data: bytes) -> None:
        self.parser.feed_data(data)
        if self.chunked:
            self.chunks.feed(data)
            if self.chunks.open:
                self._check_open_chunk()

    def _check_open_chunk(self) -> None:
        """Raises BadMessage if the chunk states too much; what came of it is no longer in `pieces`."""
        stated, missing = self.chunks.stated, self.chunks.missing
        if stated > self.max_stated:
            excess = f"chunk of {stated} bytes is over {self.max_stated}"
        elif self.body_size + missing > self.max_body:
            excess = f"body is over {self.max_body} bytes with its chunk of {stated}"
        else:
            return
        if stated > missing:
            self.pieces.pop()
        raise BadMessage(413, excess)


class RequestParser(_MessageParser):
    """Parses one request. `body()` is the whole body once `complete` is set."""

    parser: httptools.HttpRequestParser

    def __init__(self, max_head: int, max_body: int) -> None:
        super().__init__(max_head, max_body)
        self.method, self.url = "", b""
        # In one buffer: an object per chunk would take many times the size of a body in small chunks.
        self.body_buffer = bytearray()
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        if not self.extra_bytes:
            self.url += url
            if len(self.url) > MAX_URL:
                raise BadMessage(414, f"request target is over {MAX_URL} bytes")

    def on_headers_complete(self) -> None:
        if self.extra_bytes:
            return
        self.method = self.parser.get_method().decode()
        self._begin_body()

    def feed(self, data: bytes) -> None:
        """Parses received bytes. Raises BadMessage."""
        self._feed(data)
        self.body_buffer += b"".join(self.pieces)
        self.pieces.clear()

    @property
    def path(self) -> str:
        return self.url.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        return self.url.partition(b"?")[2].decode("latin-1")

    def body(self) -> bytes:
        """The body received so far."""
        return bytes(self.body_buffer)

    def discard_body(self) -> None:
        """Frees the body at once."""
        self.body_buffer.clear()
        self.pieces.clear()

    def close(self) -> None:
        """Frees what was received. Nothing may be fed any more.

        The parser and its callbacks refer to each other, so that only the garbage collector would free them.
        """
        self.discard_body()
        del self.parser


class ResponseParser(_MessageParser):
    """Parses one response; after each `feed`, `pieces` holds the body data of that feed only.

    If `at_chunk_boundary` is set before and after a feed, the feed held whole chunks, which may be forwarded
    as is.
    """

    parser: httptools.HttpResponseParser

    def __init__(self, max_head: int, max_body: int, max_stated: int | None = None) -> None:
        super().__init__(max_head, max_body, max_stated)
        self.status = 0
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        # A complete message without its head is a 1xx: the final response is still to come.
        if self.started and not self.head_done and not self.extra_bytes:
            self.started = False
            self.headers.clear()
        else:
            super().on_message_complete()

    def on_headers_complete(self) -> None:
        if self.extra_bytes:
            return
        self.status = self.parser.get_status_code()
        if self.status // 100 == 1:
            return
        self._begin_body()
        chunked_only = self.headers.get("transfer-encoding", "").lower() == "chunked"
        if "content-length" not in self.headers and not chunked_only and self.status != 204:
            raise BadMessage(502, "response has neither content-length nor chunked encoding")

    @property
    def at_chunk_boundary(self) -> bool:
        """Whether the latest feed ended between two chunks."""
        return self.chunked and not self.chunks.open

    def feed(self, data: bytes) -> None:
        """Parses received bytes. Raises BadMessage."""
        self.pieces = []
        self._feed(data)

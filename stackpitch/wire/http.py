"""HTTP/1.1 both ways over httptools (llhttp): one reader object for each message, plain builders for what is sent.

A reader is fed what came in and tells how far the message is. It bounds head, body, and what is neither (a chunk's
extensions, trailers); what it does not allow is a `BadMessage` with the status to answer. Bytes after a complete message
are noted (`extra`), never parsed on.
"""

from collections.abc import Collection, Mapping

import httptools

REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    414: "URI Too Long",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
Headers = Collection[tuple[str, str]]
# Fields that speak of one connection, or of how this message is framed on it; and of what whoever passes it on can read.
NOT_PASSED_ON = frozenset(
    {
        "accept-encoding",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
LAST_CHUNK = b"0\r\n\r\n"
MAX_URL = 2048
MAX_FIELDS = (
    128  # of a head and its trailers: a head of a thousand small ones costs the others milliseconds each
)


class BadMessage(Exception):
    """A message that is not allowed; `status` is what a server answers to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class _Reader:
    """What both directions share. Repeated headers are joined by a comma, names are in lower case."""

    def __init__(self, max_head: int, max_body: int) -> None:
        self.max_head, self.max_body = max_head, max_body
        self.headers: dict[str, str] = {}
        self.trailers: dict[str, str] = {}
        self.pieces: list[bytes] = []  # of the body, from the last feed (responses) or from all (requests)
        self.head_done = self.complete = self.extra_bytes = self.keep_alive = False
        self.seen = self.body_size = self.fields = self.field_bytes = 0
        self.beside = 0  # bytes since some of the body, or a whole chunk, came
        self.begun = False

    def on_message_begin(self) -> None:
        if self.begun:
            self.extra_bytes = True
        self.begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.extra_bytes:
            return
        self.fields += 1
        if self.fields > MAX_FIELDS:
            raise BadMessage(431, f"over {MAX_FIELDS} fields")
        self.field_bytes += len(name) + len(value)
        if self.field_bytes > self.max_head and not self.head_done:  # also where all of it came at once
            raise BadMessage(431, f"head is over {self.max_head} bytes")
        into = self.trailers if self.head_done else self.headers
        key, text = name.decode("latin-1").lower(), value.decode("latin-1").strip()
        into[key] = f"{into[key]}, {text}" if key in into else text

    def on_body(self, body: bytes) -> None:
        if self.extra_bytes:
            return
        self.body_size += len(body)
        self.beside = 0
        if self.body_size > self.max_body:
            raise BadMessage(413, f"body is over {self.max_body} bytes")
        self.pieces.append(body)

    def on_message_complete(self) -> None:
        if not self.extra_bytes:
            self.complete = True

    def _declared(self) -> None:
        self.beside = 0
        length = self.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.max_body:
            raise BadMessage(413, f"body of {length} bytes is over {self.max_body}")

    def _failed(self, wrong: Exception) -> None:
        cause = wrong.__context__ or wrong.__cause__
        if isinstance(cause, BadMessage):  # raised by one of the callbacks here
            raise cause from None
        if not self.complete:
            raise BadMessage(400, f"not HTTP/1.1: {wrong}") from None
        self.extra_bytes = True  # the message was whole before what is wrong began

    def _feed(self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes) -> None:
        if self.complete:
            self.extra_bytes = self.extra_bytes or bool(data)
            return
        self.beside += len(data)
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadMessage(400, "this port does not upgrade connections") from None
        except httptools.HttpParserError as wrong:
            self._failed(wrong)
            return
        if not self.head_done:
            self.seen += len(data)
            if self.seen > self.max_head:
                raise BadMessage(431, f"head is over {self.max_head} bytes")
        elif self.beside > self.max_head and not self.complete:
            raise BadMessage(431, f"over {self.max_head} bytes that are neither head nor body")


class RequestParser(_Reader):
    """Reads one request. `body()` is whole once `complete`."""

    def __init__(self, max_head: int, max_body: int) -> None:
        super().__init__(max_head, max_body)
        self.method, self.url = "", b""
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        if not self.extra_bytes:
            self.url += url
            if len(self.url) > MAX_URL:
                raise BadMessage(414, f"request target is over {MAX_URL} bytes")

    def on_headers_complete(self) -> None:
        if self.extra_bytes:
            return
        self.head_done = True
        self.method = self.parser.get_method().decode()
        self.keep_alive = self.parser.should_keep_alive()
        self._declared()

    def feed(self, data: bytes) -> None:
        self._feed(self.parser, data)

    @property
    def path(self) -> str:
        return self.url.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        return self.url.partition(b"?")[2].decode("latin-1")

    def body(self) -> bytes:
        return self.pieces[0] if len(self.pieces) == 1 else b"".join(self.pieces)


class ResponseParser(_Reader):
    """Reads one response; after each `feed`, `pieces` holds the body's part of that feed alone.

    `aligned` before and after a feed means that it held whole chunks, which may be passed on as they came.
    """

    def __init__(self, max_head: int, max_body: int) -> None:
        super().__init__(max_head, max_body)
        self.status = self.open_chunks = 0
        self.at_chunk_boundary = False  # the last feed ended between two chunks
        self.parser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        if (
            self.begun and not self.head_done and not self.extra_bytes
        ):  # a 1xx: the answer itself is still to come
            self.begun = False
            self.headers.clear()
        else:
            super().on_message_complete()

    def on_headers_complete(self) -> None:
        if self.extra_bytes:
            return
        self.status = self.parser.get_status_code()
        if self.status // 100 == 1:
            return
        self.head_done = True
        self.keep_alive = self.parser.should_keep_alive()
        self._declared()
        if "content-length" not in self.headers and not self.chunked and self.status != 204:
            raise BadMessage(502, "answer has neither a length nor chunks")

    def on_chunk_header(self) -> None:
        self.open_chunks += 1

    def on_chunk_complete(self) -> None:
        self.open_chunks -= 1

    @property
    def chunked(self) -> bool:
        return self.headers.get("transfer-encoding", "").lower() == "chunked"

    def feed(self, data: bytes) -> None:
        self.pieces = []
        if self.head_done and not self.complete:
            self.beside += len(data)
            try:
                self.parser.feed_data(data)  # the way of nearly all feeds, so without a further call
                self.at_chunk_boundary = not self.open_chunks and data.endswith(b"\r\n")
                if self.beside > self.max_head and not self.complete:
                    raise BadMessage(502, f"over {self.max_head} bytes that are neither head nor body")
                return
            except httptools.HttpParserError as wrong:
                self._failed(wrong)
                return
        self._feed(self.parser, data)
        self.at_chunk_boundary = not self.open_chunks and data.endswith(b"\r\n")


def head(status: int, headers: Headers) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


def response(status: int, body: bytes, headers: Headers = (), kind: str = "application/json") -> bytes:
    return head(status, [("content-type", kind), ("content-length", str(len(body))), *headers]) + body


def end_to_end(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """The fields of a request that go on to whoever serves it, in the order in which they came. Raises BadMessage on a value
    with a line end in it, which would begin a field of its own there."""
    if any("\n" in value or "\r" in value for value in headers.values()):
        raise BadMessage(400, "a field's value goes over a line's end")
    named = {one.strip().lower() for one in headers.get("connection", "").split(",")}
    return [
        (name, value) for name, value in headers.items() if name not in NOT_PASSED_ON and name not in named
    ]


def request(method: str, target: str, host: str, body: bytes, headers: Headers = ()) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        if not any(name == "content-type" for name, _ in headers):
            lines.append("content-type: application/json")
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace") + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def one_line(text: str, most: int = 200) -> str:
    """For header values: no control characters, bounded."""
    return "".join(ch if ch.isprintable() and ord(ch) < 256 else "?" for ch in text)[:most]

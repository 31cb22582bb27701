"""HTTP/1.1: plain functions that build messages, and the parsers of `wire.http_parser`."""

from collections.abc import Collection, Mapping

from stackpitch.wire.http_parser import MAX_FIELDS as MAX_FIELDS
from stackpitch.wire.http_parser import BadMessage as BadMessage
from stackpitch.wire.http_parser import RequestParser as RequestParser
from stackpitch.wire.http_parser import ResponseParser as ResponseParser

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
# Hop-by-hop and framing fields, and those that state what the forwarding side itself accepts.
NOT_FORWARDED = frozenset(
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


def head(status: int, headers: Headers) -> bytes:
    """The head of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


def response(
    status: int, body: bytes, headers: Headers = (), content_type: str = "application/json"
) -> bytes:
    """A response with its body."""
    return head(status, [("content-type", content_type), ("content-length", str(len(body))), *headers]) + body


def end_to_end(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """The fields of a request that are forwarded, in the order received.

    Raises BadMessage on a value with a line break, which would begin a field of its own at the server.
    """
    if any("\n" in value or "\r" in value for value in headers.values()):
        raise BadMessage(400, "a header field's value has a line break")
    hop_by_hop = {token.strip().lower() for token in headers.get("connection", "").split(",")}
    return [
        (name, value)
        for name, value in headers.items()
        if name not in NOT_FORWARDED and name not in hop_by_hop
    ]


def request(method: str, target: str, host: str, body: bytes, headers: Headers = ()) -> bytes:
    """A request with its body; its content type is JSON unless `headers` has another."""
    lines = [f"{method} {target} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        if not any(name == "content-type" for name, _ in headers):
            lines.append("content-type: application/json")
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace") + body


def chunk(data: bytes) -> bytes:
    """One chunk of chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def one_line(text: str, max_length: int = 200) -> str:
    """The text as a header value: without control characters, at most `max_length` characters."""
    return "".join(ch if ch.isprintable() and ord(ch) < 256 else "?" for ch in text)[:max_length]

"""A stand-in client by a blocking socket: asks, leaves, and tells how its answer and its connection ended."""

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from crossing_sockets import PATIENCE, TCP_CLOSE, fresh_id, prompt, reset
from platform_process import waited
from platform_script import BODY

from stackpitch.wire import http


def chat_request(
    name: str,
    product: str = "chat",
    limit_ms: int = 8000,
    body: bytes = BODY,
    extra: str = "prompt_len=500,max_out=50",
) -> bytes:
    return http.request(
        "POST",
        "/v1/chat/completions",
        "a",
        body,
        [("req-id", name), ("req-kind", product), ("req-deadline-ms", str(limit_ms)), ("req-extra", extra)],
    )


@dataclass
class Answer:
    """What a client got. `ending`: of its connection: open, end or reset; `late`: bytes after the answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    ending: str


class Client:
    """A client by a blocking socket. `pieces`: what came, with the time at which it did."""

    def __init__(self, port: int, small: bool = False) -> None:
        self.name = ""
        self.pieces: list[tuple[float, bytes]] = []
        self.socket = socket.socket()
        if small:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.settimeout(PATIENCE)
        self.socket.connect(("127.0.0.1", port))
        prompt(self.socket)
        self.asked = 0.0

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def ask(self, product: str = "chat", limit_ms: int = 8000, more: bytes = b"", **fields: Any) -> "Client":
        self.name = fresh_id()
        self.send(chat_request(self.name, product, limit_ms, **fields) + more)
        self.asked = time.monotonic()
        return self

    def leave(self, how: str) -> float:
        """`close`, `reset`, or `half`: only its sending ends; when that was done."""
        if how == "half":
            self.socket.shutdown(socket.SHUT_WR)
        elif how == "reset":
            reset(self.socket)
        else:
            self.socket.close()
        return time.monotonic()

    def answer(self, limit: float = PATIENCE, until: Callable[[bytes], bool] | None = None) -> Answer:
        """The next answer; part of it if `until` says of the body that it is enough, or if the connection
        ended."""
        reader, body, ending = http.ResponseParser(1 << 16, 1 << 26), b"", "open"
        end = time.monotonic() + limit
        while not reader.complete and not (until is not None and until(body)):
            self.socket.settimeout(max(0.01, end - time.monotonic()))
            try:
                data = self.socket.recv(65536)
            except TimeoutError:
                raise AssertionError(
                    f"no whole answer to {self.name} within {limit} s, only {body[:200]!r}"
                ) from None
            except OSError:
                ending = "reset"
                break
            self.pieces.append((time.monotonic(), data))
            if not data:
                ending = "end"
                break
            reader.feed(data)
            body += b"".join(reader.pieces)
        return Answer(
            reader.status if reader.head_done else 0, dict(reader.headers), body, reader.complete, ending
        )

    def ended(self, limit: float = PATIENCE) -> tuple[str, bytes]:
        """How the connection ends, and what came before that."""
        got, end = b"", time.monotonic() + limit
        while True:
            self.socket.settimeout(max(0.01, end - time.monotonic()))
            try:
                data = self.socket.recv(65536)
            except TimeoutError:
                raise AssertionError(f"the connection does not end within {limit} s") from None
            except OSError:
                return "reset", got
            if not data:
                return "end", got
            got += data

    def reset_follows(self, within: float = 0.05) -> bool:
        """Whether a reset has come, perhaps behind the end. It does no harm here, where what was sent is
        there at once, but elsewhere it would overtake an answer. To be asked of one that has not ended its
        sending."""

        def closed() -> bool:
            return bool(self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE)

        return waited(closed, within)

    def rest_of_answer(self, limit: float = PATIENCE) -> bytes:
        """Of a chunked answer, to its last chunk or the connection's end."""
        got, end = b"", time.monotonic() + limit
        while not got.endswith(http.LAST_CHUNK):
            self.socket.settimeout(max(0.01, end - time.monotonic()))
            data = self.socket.recv(65536)
            if not data:
                break
            got += data
        return got

    def close(self) -> None:
        self.socket.close()


def in_body(part: bytes) -> Callable[[bytes], bool]:
    return lambda body: part in body

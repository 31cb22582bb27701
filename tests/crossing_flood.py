"""Floods a gateway from a process of its own, so that it takes no time from the test's threads:
`crossing_flood.py PORT KIND`.

Kinds: `bad`, requests that are none, each on a connection of its own; `heads`, such of 64 KiB in short
fields, 100 a second; `idle`, connections that say nothing. 64 are open at a time. It ends with its standard
input.
"""

import select
import socket
import sys
from contextlib import suppress

BAD = (
    b"\x00\x01\x02\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nreq-id: x\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\na: " + b"b" * 30_000 + b"\r\n\r\n",
)
HEADS = (b"POST /v1/chat/completions HTTP/1.1\r\n" + b"a:\r\n" * 16_300,)
SENT = {"bad": BAD, "heads": HEADS, "idle": (b"",)}
EVERY = {"bad": 0.002, "heads": 0.01, "idle": 0.002}  # seconds between two
OPEN = 64


def main() -> None:
    port, kind = int(sys.argv[1]), sys.argv[2]
    clients: list[socket.socket] = []
    number = 0
    while not select.select([sys.stdin], [], [], EVERY[kind])[0]:
        number += 1
        one = socket.socket()
        one.settimeout(1)
        with suppress(OSError):
            one.connect(("127.0.0.1", port))
            one.sendall(SENT[kind][number % len(SENT[kind])])
        clients.append(one)
        if len(clients) > OPEN:
            clients.pop(0).close()


if __name__ == "__main__":
    main()

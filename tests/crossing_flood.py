"""Floods a gateway from a process of its own, so that it takes no time from the test's threads:
`crossing_flood.py PORT KIND`.

Kinds: `bad`, requests that are none, each on a connection of its own; `idle`, connections that say nothing,
64 open at a time. It ends with its standard input.
"""

import select
import socket
import sys
from contextlib import suppress

BAD = (
    b"\x00\x01\x02\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nreq-id: x\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\n" + b"a: b\r\n" * 5000 + b"\r\n",
)
OPEN = 64


def main() -> None:
    port, kind = int(sys.argv[1]), sys.argv[2]
    clients: list[socket.socket] = []
    number = 0
    while not select.select([sys.stdin], [], [], 0.002)[0]:
        number += 1
        one = socket.socket()
        one.settimeout(1)
        with suppress(OSError):
            one.connect(("127.0.0.1", port))
            if kind == "bad":
                one.sendall(BAD[number % len(BAD)])
        clients.append(one)
        if len(clients) > OPEN:
            clients.pop(0).close()


if __name__ == "__main__":
    main()

"""Bad clients: so many requests of a class that does not exist at once, each body in chunks of four characters, and the
same again as soon as it is turned away, until the time is over.

Arguments: host, port, number of clients, characters in a chunk, bytes of each body, seconds. They read whatever is
sent to them, and print how their requests ended.
"""

import collections
import socket
import sys
import threading
import time

HOST, PORT, COUNT, SIZE, BODY, SECONDS = sys.argv[1], *map(int, sys.argv[2:7])
PIECES = (b"%x\r\n%b\r\n" % (SIZE, b"x" * SIZE)) * (BODY // SIZE) + b"0\r\n\r\n"
ENDS = collections.Counter()
UNTIL = time.monotonic() + SECONDS


def ask(number):
    data = (b"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %016x\r\nReq-Kind: no-such-class\r\n"
            b"Req-Owner: libre-sur\r\nReq-Key: %016x\r\nReq-Deadline-Ms: 4000\r\n"
            b"Req-Extra: prompt_len=%d,max_out=256\r\nTransfer-Encoding: chunked\r\n\r\n"
            % (0xBAD << 32 | number, number, BODY // 4)) + PIECES
    while time.monotonic() < UNTIL:
        end = "neither"
        try:
            with socket.create_connection((HOST, PORT), 5) as stream:
                stream.settimeout(20)
                stream.sendall(data)
                came = stream.recv(65536)
                end = came.split(b"\r\n")[0].decode("latin-1") if came else "closed"
                while came:
                    came = stream.recv(65536)
        except OSError as error:
            end = end if end != "neither" else type(error).__name__
        ENDS[end] += 1


threads = [threading.Thread(target=ask, args=(number,), daemon=True) for number in range(COUNT)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join(30)
for end, count in sorted(ENDS.items()):
    print(f"{count} x {end}", flush=True)

"""Bad clients: so many requests at once, each body in chunks of four characters, that stop in the middle and stay.

Arguments: host, port, number of clients, characters in a chunk, bytes of the body that each sends. They read
whatever is sent to them, and print how many of them were answered or closed within 3 s.
"""

import socket
import sys
import threading
import time

HOST, PORT, COUNT, SIZE, BODY = sys.argv[1], *map(int, sys.argv[2:6])
PIECE = b"%x\r\n%b\r\n" % (SIZE, b"x" * SIZE)
ENDS = []


def ask(number):
    data = (b"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %016x\r\nReq-Kind: consulta\r\n"
            b"Req-Owner: libre-sur\r\nReq-Key: %016x\r\nReq-Deadline-Ms: 4000\r\n"
            b"Req-Extra: prompt_len=%d,max_out=256\r\nTransfer-Encoding: chunked\r\n\r\n"
            % (0xBAD << 32 | number, number, BODY // 4)) + PIECE * (BODY // SIZE)
    began, end = time.monotonic(), "neither"
    try:
        stream = socket.create_connection((HOST, PORT), 5)
        stream.settimeout(20)
        ready.wait()
        began = time.monotonic()
        stream.sendall(data)
        first = stream.recv(65536)
        end = first.split(b"\r\n")[0].decode("latin-1") if first else "closed"
        while first:
            first = stream.recv(65536)
    except OSError as error:
        end = end if end != "neither" else type(error).__name__
    ENDS.append((end, time.monotonic() - began))


ready = threading.Barrier(COUNT)
threads = [threading.Thread(target=ask, args=(number,), daemon=True) for number in range(COUNT)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join(30)
for end in sorted({end for end, _ in ENDS}):
    times = [took for one, took in ENDS if one == end]
    print(f"{len(times)} x {end}, over after {min(times):.2f} to {max(times):.2f} s", flush=True)

"""Some hundred requests at once, of a class that does not exist, whose bodies come in chunks of four characters.

Usual clients ask two gateways all the while. Judged is whether each of their requests gets its final answer in time.
"""

import asyncio
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from sites import ARENAL, ARENAL_CLASSES, ARENAL_RATE, ARENAL_TENANTS, add_fleet  # noqa: E402
from standin import PYTHON, STARTED, Bench, now, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB, SOCKETS = 2048, 4096  # of the deployment page's example
BAD_CLIENTS = int(os.environ.get("BAD", "300"))
CHUNK = int(os.environ.get("CHUNK", "4"))  # characters: a token
BODY = 250 * 1024  # bytes of each body; the protocol allows 256 KiB
BAD_FOR = int(os.environ.get("FOR", "8"))  # s
QUIET, PLAYED = 6.0, 22.0  # s before the bad clients come; s of traffic in all
LATE = 0.5  # s after its time at which a request without its final answer is lost
MEASURING = 0.1


async def main(folder):
    bench = Bench(folder, 3, True)
    record, breaks, bad = bench.record, [], None
    try:
        add_fleet(bench.fleet, ["sala-tecnica"], 5, 7)
        await bench.start(2, ARENAL, ["sala-tecnica"], {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
        start = now()
        traffic = bench.spawn(bench.traffic(start + PLAYED, ARENAL_RATE, ARENAL_CLASSES, ARENAL_TENANTS))
        await asyncio.sleep(start + QUIET - now())
        if TROUBLE:
            victim = bench.gateways[0]
            record("bad-clients", gateway=victim.name, clients=BAD_CLIENTS, chunk=CHUNK, body=BODY)
            bad = subprocess.Popen([str(PYTHON), str(HERE / "bad_clients.py"), victim.host, str(victim.port), str(BAD_CLIENTS),
                                    str(CHUNK), str(BODY), str(BAD_FOR)], stdout=subprocess.PIPE, text=True)
            STARTED.append(bad)
        await traffic
        await bench.settle(20)
        for gateway in bench.gateways:
            gateway.resident_kib()
            record("resident", gateway=gateway.name, resident_kib=gateway.peak_kib)
            if not gateway.alive():
                breaks.append(f"crash: {gateway.name} ended by itself, status {gateway.process.returncode}")
        for one in bench.results():
            answered = one.first if one.end == "streamed" else one.ended
            late = answered - one.sent - one.limit
            if one.status == 0 and one.end == "no answer" or one.status and late > LATE + MEASURING:
                breaks.append(f"lost: {one.name} ({one.kind}, {one.limit:.2f} s) had {one.status or one.end} {late:.2f} s after its time")
        for end, count in sorted(Counter((one.end, one.status) for one in bench.results()).items()):
            record("usual-clients", end=end[0].replace(" ", "-"), status=end[1], count=count)
    finally:
        if bad is not None:
            bad.kill()
            for line in bad.communicate()[0].splitlines():
                record("bad-clients-ended", how=line.replace(" ", "-"))
        bench.end()
    return breaks


if __name__ == "__main__":
    sys.exit(play(main, HERE))

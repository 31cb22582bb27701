"""A hundred requests at once, whose bodies come in chunks of four characters and stop in the middle.

Usual clients ask two gateways all the while. The platform's part: a gateway over its memory limit is killed.
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
MEMORY_MB, SOCKETS = 192, 1024  # of the deploy page, the most on scored days
BAD_CLIENTS = 100  # "hundreds of requests at once"; under a third of the descriptors with the usual clients
CHUNK = int(os.environ.get("CHUNK", "4"))  # characters: a token
BODY = 250 * 1024  # bytes sent of each body; the protocol allows 256 KiB
QUIET, PLAYED = 6.0, 20.0  # s before the bad clients come; s of traffic in all


async def main(folder):
    bench = Bench(folder, 3, True)
    record, breaks, bad = bench.record, [], None
    try:
        add_fleet(bench.fleet, ["sala-tecnica"], 5, 7)
        await bench.start(2, ARENAL, ["sala-tecnica"], {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
        start = now()
        traffic = bench.spawn(bench.traffic(start + PLAYED, ARENAL_RATE, ARENAL_CLASSES, ARENAL_TENANTS))

        async def platform():
            while True:
                for gateway in bench.gateways:
                    resident = gateway.resident_kib()
                    if resident > MEMORY_MB * 1024 and not gateway.over_limit:
                        gateway.over_limit = True
                        record("killed-for-memory", gateway=gateway.name, resident_kib=resident)
                        breaks.append(f"crash: {gateway.name} held {resident} KiB, {MEMORY_MB * 1024} are allowed, and was killed")
                        gateway.process.kill()
                await asyncio.sleep(0.002)

        watch = bench.spawn(platform())
        await asyncio.sleep(start + QUIET - now())
        record("before", resident_kib=bench.gateways[0].resident_kib())
        if TROUBLE:
            victim = bench.gateways[0]
            record("bad-clients", gateway=victim.name, clients=BAD_CLIENTS, chunk=CHUNK, body=BODY)
            bad = subprocess.Popen([str(PYTHON), str(HERE / "bad_clients.py"), victim.host, str(victim.port), str(BAD_CLIENTS),
                                    str(CHUNK), str(BODY)], stdout=subprocess.PIPE, text=True)
            STARTED.append(bad)
        await traffic
        await asyncio.sleep(5)
        watch.cancel()
        for gateway in bench.gateways:
            record("peak", gateway=gateway.name, resident_kib=gateway.peak_kib)
            if not gateway.alive() and not gateway.over_limit:
                breaks.append(f"crash: {gateway.name} ended by itself, status {gateway.process.returncode}")
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

"""A discovery that answers slowly, a model server that begins to drain, and how long it goes on getting work."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from standins import CannotRun, Client, Stage, main

SLOW = 3.5  # seconds that each answer of discovery takes
TOLD, GRACE, SLACK = 6.0, 1.0, 0.05  # seconds: FLEET, the settings' drainGraceMs, PROTOCOL
GAP = 0.15  # seconds between two requests at each gateway


async def play(stage: Stage) -> list[str]:
    await stage.fleet(*(stage.worker(f"r-{number}", "reader") for number in (1, 2)),
                      *(stage.worker(f"w-{number}", "writer") for number in (1, 2, 3)), gateways=2)
    draining, asked, ending = stage.workers[-1], [], asyncio.Event()

    async def ask(port: int) -> None:
        while not ending.is_set():
            asked.append(asyncio.ensure_future(Client(stage.record, port).ask()))
            await asyncio.sleep(GAP)

    loads = [asyncio.ensure_future(ask(gateway.port)) for gateway in stage.gateways]
    await asyncio.sleep(3)
    if stage.trouble:
        stage.record.add(stage.agent.name, f"takes {SLOW} s for each answer from here on")
        stage.agent.delay = SLOW
    await asyncio.sleep(6)
    had = await stage.agent.change(draining.member(phase="draining"))
    await asyncio.sleep(40)
    ending.set()
    await asyncio.gather(*loads)
    got = await asyncio.gather(*asked)
    if sum(one.status == 200 for one in got) < len(got) / 2:
        raise CannotRun("too little was served")
    if not any(began < had for _, began, _ in draining.runs):
        raise CannotRun(f"{draining.name} got nothing before it drained")
    late = [began - had for _, began, _ in draining.runs if began - had > TOLD + GRACE + SLACK]
    stage.record.add("verdict", f"{len(got)} asked, {len(late)} sent to {draining.name} over {TOLD + GRACE + SLACK} s "
                     "after discovery had that it drains")
    if not late:
        return []
    return [f"{len(late)} requests were sent to {draining.name} over {TOLD + GRACE + SLACK} s after discovery had that it "
            f"drains, the last {max(late):.1f} s after"]


main(__file__, play)

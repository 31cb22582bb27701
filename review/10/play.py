"""A load report at the end of a stream, as a comment line that no blank line follows."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from standins import CannotRun, Client, Stage, Worker, main

REQUESTS, PAUSE = 20, 0.2
REPORT = b": Srv-Load: inflight=7,queue=2,util=0.61\n"


class Writer(Worker):
    trouble = False

    def last(self, name: str) -> bytes:
        """Usage, `[DONE]` and the report."""
        return super().last(name) + REPORT + (b"" if self.trouble else b"\n")


async def play(stage: Stage) -> list[str]:
    Writer.trouble = stage.trouble
    await stage.fleet(stage.worker("r-1", "reader"), stage.worker("w-1", "writer", Writer),
                      stage.worker("w-2", "writer", Writer))
    got = []
    for _ in range(REQUESTS):
        got.append(await Client(stage.record, stage.gateways[0].port).ask())
        await asyncio.sleep(PAUSE)
    if not any(one.status == 200 for one in got):
        raise CannotRun("no stream began")
    cut = [one for one in got if one.status == 200 and not one.whole]
    stage.record.add("verdict", f"{len(got)} asked, {len(cut)} streams cut that their model server had written whole")
    return [f"the stream of {one.name} was cut, with [DONE] at {one.body.find(b'[DONE]')} of {len(one.body)} bytes"
            for one in cut]


main(__file__, play)

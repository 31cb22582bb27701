"""Time without an owner by what befell it, as the network between gateways saw it.

    python -m benchmarks.outages [--times N] [--virtual]

Five gateways as processes on loopback, three of them voters, lease 3 s, light traffic; one day for each cause, side by side,
in which it strikes whoever owns the duty every 10 s. From the strike (signal sent, cut told to the network) to when the
answer that made the next owner's majority was handed over. Bounds: 500 ms after SIGTERM, lease + 1 s after all else.
"""

import argparse
import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from rich.console import Console
from rich.table import Table

from stackpitch import settings
from stackpitch.loop import MS, RealWorld
from stackpitch.rehearse import director, virtual
from stackpitch.rehearse.day import Clients, Day, Trouble
from stackpitch.rehearse.judging import acts, holds, lives
from stackpitch.rehearse.records import Record, read_all

ROOT = Path(__file__).parent.parent
APART_S = 10.0
CAUSES = {  # what strikes, for how long, the record that tells when
    "SIGTERM": ("gateway-term", 1.0, "ended"),
    "kill -9": ("gateway-kill", 1.0, "killed"),
    "SIGSTOP": ("gateway-stop", 5.0, "stopped"),
    "cut both ways": ("net-cut", 5.0, "fault"),
    "cut one way: deaf": ("net-one-way", 5.0, "fault"),
}


def day(cause: str, times: int) -> Day:
    kind, lasts, _ = CAUSES[cause]
    base = settings.read(Day, ROOT / "days/owners.jsonnet", {"seed": "1"})
    return base.model_copy(
        update={
            "name": kind,
            "length_s": 6 + APART_S * times,
            "clients": Clients(rate_per_s=2.0),
            "duties": base.duties.model_copy(update={"names": ["weights"]}),
            "troubles": [
                Trouble(kind=kind, at_s=5 + APART_S * number, for_s=lasts, names=["owner"])  # type: ignore[arg-type]
                for number in range(times)
            ],
        }
    )


def outages(records: list[Record], one: Day, what: str) -> list[float]:
    """In milliseconds, one for each strike at an owner."""
    known = lives.read(records, {f"g{number}": number for number in range(one.gateways)})
    held = holds.read(acts.read(records), known, tuple(one.duties.voters))
    found = []
    for strike in records:
        if strike["what"] != what or strike.get("on") is False or strike.get("signal", 9) != 9:
            continue
        owner = next((hold for hold in held if hold.begin <= strike["at"] <= hold.end + 10 * MS), None)
        after = [
            hold
            for hold in held
            if owner is not None and hold.begin > strike["at"] and hold.stamp != owner.stamp
        ]
        if after:
            found.append((after[0].begin - strike["at"]) / MS)
    return found


def played(times: int, made_up: bool, cause: str) -> tuple[str, list[float], list[str]]:
    one = day(cause, times)
    with tempfile.TemporaryDirectory() as folder:
        if made_up:
            outcome = virtual.play(one, Path(folder), lambda text: None)
        else:
            outcome = director.play(RealWorld(one.seed), one, Path(folder), None, lambda text: None)
        return (
            cause,
            outages(read_all(Path(folder)), one, CAUSES[cause][2]),
            [
                f"{cause}: {outcome.names[breach.rule]} {breach.key}: {breach.text}"
                for breach in outcome.breaches
            ],
        )


def main() -> None:
    asked = argparse.ArgumentParser()
    asked.add_argument("--times", type=int, default=50)
    asked.add_argument("--virtual", action="store_true")
    given = asked.parse_args()
    table = Table(title="Time without an owner" + (" (made-up time and network)" if given.virtual else ""))
    for column in ("cause", "strikes", "p50 ms", "p99 ms", "most ms", "bound ms", "p99 / bound", "breaches"):
        table.add_column(column, justify="left" if column == "cause" else "right")
    broken: list[str] = []
    with ProcessPoolExecutor(len(CAUSES)) as pool:
        for cause, found, breaches in pool.map(partial(played, given.times, given.virtual), CAUSES):
            bound = 500 if cause == "SIGTERM" else 4000
            found.sort()
            p99 = found[max(0, round(0.99 * len(found)) - 1)]
            table.add_row(
                cause,
                str(len(found)),
                f"{statistics.median(found):.0f}",
                f"{p99:.0f}",
                f"{found[-1]:.0f}",
                str(bound),
                f"{p99 / bound:.2f}",
                str(len(breaches)),
            )
            broken += breaches
    console = Console(width=120)
    console.print(table)
    for text in broken:
        console.print(text, highlight=False)


if __name__ == "__main__":
    main()

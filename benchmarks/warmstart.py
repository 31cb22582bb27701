"""What a gateway does in its first ten seconds after a restart, with and without snapshots.

    python -m benchmarks.warmstart [--seeds N] [--first SEED]

Plays days/gateway-waves.jsonnet with and without, in turn, with the same seeds: G of the generations that were asked
within ten seconds after a restart, the share of those that were read by a reader, and their mean first token.
Engines are simulated.
"""

import argparse
import tempfile
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from stackpitch.loop import SECOND, RealWorld
from stackpitch.rehearse.day import Day
from stackpitch.rehearse.director import play
from stackpitch.rehearse.records import Record, read_all
from stackpitch.rehearse.rules import worth
from stackpitch.settings import read


def early(records: list[Record]) -> list[Record]:
    """What concerns generations first asked within ten seconds after a gateway's second or later start."""
    starts: dict[str, list[int]] = {}
    for one in records:
        if one["what"] == "started" and one["name"].startswith("g"):
            starts.setdefault(one["name"], []).append(one["at"])
    restarts = [at for times in starts.values() for at in times[1:]]
    keys = {one["key"] for one in records if one["what"] == "ask" and one["number"] == 0
            and any(0 <= one["at"] - at < 10 * SECOND for at in restarts)}
    return [one for one in records if one.get("key") in keys]


def figures(snapshot: int, seed: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="stackpitch-") as folder:
        day = read(Day, Path("days/gateway-waves.jsonnet"), {"seed": str(seed), "snapshot": str(snapshot)})
        outcome = play(RealWorld(seed), day, Path(folder), None, lambda text: None)
        seen: Any = early(read_all(Path(folder)))
    asked = {one["key"]: one["first_asked"] for one in seen if one["what"] == "ask"}
    firsts = [one["first"] - asked[one["key"]] for one in seen if one["what"] == "end" and one.get("first")]
    parts = [one["part"] for one in seen if one["what"] == "leg"]
    reads = parts.count("read")
    return {"g": worth(seen, dict(day.products))["all"].g, "read by a reader": reads / max(1, len(parts) - reads),
            "first token, ms": sum(firsts) / max(1, len(firsts)) / 10, "generations": float(len(firsts)),
            "breaches": float(len(outcome.breaches)), "day_g": outcome.as_json()["g"]}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first", type=int, default=1)
    table = Table(title="Within ten seconds after a restart (simulated engines)", title_justify="left")
    for column in ("seed", "snapshots", "g", "read by a reader", "first token, ms", "generations", "breaches", "whole day's g"):
        table.add_column(column, justify="right")
    given = parser.parse_args()
    for seed in range(given.first, given.first + given.seeds):
        for snapshot in (0, 1000):
            found = figures(snapshot, seed)
            table.add_row(str(seed), f"each {snapshot} ms" if snapshot else "none", f"{found['g']:.3f}",
                          f"{found['read by a reader']:.3f}", f"{found['first token, ms']:.0f}",
                          f"{found['generations']:.0f}", f"{found['breaches']:.0f}", f"{found['day_g']:.3f}")
    Console(width=130).print(table)


if __name__ == "__main__":
    main()

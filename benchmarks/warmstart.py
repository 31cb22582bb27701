"""What a gateway does in its first ten seconds after a restart, with and without snapshots.

    python -m benchmarks.warmstart [--seeds N]

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
    firsts = [one["first"] - one["first_asked"] for one in seen if one["what"] == "end" and one.get("first")]
    parts = [one["part"] for one in seen if one["what"] == "leg"]
    reads = parts.count("read")
    return {"g": worth(seen, dict(day.products))["all"].g, "read by a reader": reads / max(1, len(parts) - reads),
            "first token, ms": sum(firsts) / max(1, len(firsts)) / 10, "generations": float(len(firsts)),
            "breaches": float(len(outcome.breaches)), "whole day's g": outcome.as_json()["g"]}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    table = Table(title="Within ten seconds after a restart (simulated engines)", title_justify="left")
    for column in ("seed", "snapshots", "g", "read by a reader", "first token, ms", "generations", "breaches", "whole day's g"):
        table.add_column(column, justify="right")
    for seed in range(1, parser.parse_args().seeds + 1):
        for snapshot in (0, 1000):
            found = figures(snapshot, seed)
            table.add_row(str(seed), f"each {snapshot} ms" if snapshot else "none", *(
                f"{found[name]:.3f}" if "g" in name.split("'")[-1].split() or name == "g" or name == "read by a reader"
                else f"{found[name]:.0f}" for name in ("g", "read by a reader", "first token, ms", "generations", "breaches",
                                                       "whole day's g")))
    Console(width=130).print(table)


if __name__ == "__main__":
    main()

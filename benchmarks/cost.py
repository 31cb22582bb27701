"""CPU and memory of one gateway by generation.

    python -m benchmarks.cost [--generations N]

CPU a generation is measured without a profiler; its split by part comes from a second run under cProfile, as shares.
Memory is the resident set after a tenth, seven tenths and all of the generations.
"""

import argparse
import pstats
from collections import Counter

from rich.console import Console
from rich.table import Table

from benchmarks.bed import Bed, cpu, end, memory_mb

PLAN = {"streams": 40, "count": 6, "gap_ms": 0, "prompt": 4000, "sessions": 1}
PARTS = (
    ("/stackpitch/brain/", "module"),
    ("/stackpitch/loop/", "loop"),
    ("/stackpitch/wire/", "codecs"),
    ("/stackpitch/gateway/", "gateway"),
    ("method 'feed_data'", "codecs"),
    ("msgspec", "codecs"),
    ("select.epoll", "waiting"),
    ("_socket.socket", "system calls"),
    ("prometheus", "metrics"),
    ("structlog", "logs"),
)


def split(path: str) -> dict[str, float]:
    times: Counter[str] = Counter()
    for (file, _, name), (_, _, own, _, _) in pstats.Stats(path).stats.items():  # type: ignore[attr-defined]
        place = f"{file} {name}"
        times[next((part for mark, part in PARTS if mark in place), "other")] += own
    times.pop("waiting", None)
    total = sum(times.values())
    return {part: spent / total for part, spent in times.most_common()}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--generations", type=int, default=100_000)
    count = parser.parse_args().generations
    console = Console(width=120)
    with Bed() as bed:
        at = bed.source()
        servers = [("r1", "reader", at), ("r2", "reader", at), ("w1", "writer", at), ("w2", "writer", at)]
        gateway, port = bed.gateway(servers)
        bed.clients(port, **PLAN, asks=25)
        begun, rows = memory_mb(gateway), []
        for share in (0.1, 0.6, 0.3):
            before = cpu(gateway)
            seen = bed.clients(port, **PLAN, asks=int(count * share) // 40)
            rows.append(
                (
                    seen["asks"],
                    (cpu(gateway) - before) / seen["asks"] * 1e3,
                    seen["asks"] / seen["took_s"],
                    memory_mb(gateway),
                )
            )
        out = str(bed.folder / "profile")
        profiled, port = bed.gateway(servers, first=("-m", "cProfile", "-o", out))
        bed.clients(port, **PLAN, asks=50)
        end(profiled)
        parts = split(out)
    table = Table(
        title=f"One gateway process; {begun:.1f} MB after the first 1,000 generations", title_justify="left"
    )
    for column in ("generations", "CPU ms a generation", "generations a second", "resident MB"):
        table.add_column(column, justify="right")
    done = 1000
    for number, spent, rate, size in rows:
        done += number
        table.add_row(str(done), f"{spent:.3f}", f"{rate:.0f}", f"{size:.1f}")
    console.print(table)
    console.print(
        "CPU by part (under the profiler): "
        + ", ".join(f"{part} {share:.0%}" for part, share in parts.items())
    )


if __name__ == "__main__":
    main()

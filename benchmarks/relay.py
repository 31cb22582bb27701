"""Chunks through the gateway beside two bare relays, and what it adds to a first token and to a chunk.

    python -m benchmarks.relay [--rounds N]

In each round every relay gets the same load from the same source, one after the other: `paced`, where each chunk
comes alone as tokens do, and the figure is what a chunk costs the relay in CPU; and `flood`, where chunks come as
fast as they are taken, from three sources to three processes of clients, so that the relay is what is short. Medians over
the rounds.
"""

import argparse
import statistics
import subprocess

from rich.console import Console
from rich.table import Table

from benchmarks.bed import Bed, cpu, free_port

PACED = {"streams": 100, "asks": 1, "count": 300, "gap_ms": 20, "prompt": 400, "spread_ms": 0.2}
FLOOD = {"processes": 3, "streams": 12, "asks": 1, "count": 8000, "gap_ms": 0, "prompt": 400}
FIRST = {"streams": 4, "asks": 150, "count": 3, "gap_ms": 5, "prompt": 4000}
RELAYS = ("direct", "bare relay, same loop", "asyncio streams", "gateway, one leg", "gateway, two legs")


def measure(rounds: int) -> dict[str, dict[str, list[float]]]:
    found: dict[str, dict[str, list[float]]] = {name: {} for name in RELAYS}
    with Bed() as bed:
        sources = [bed.source() for _ in range(3)]
        at = [str(one) for one in sources]
        ports: dict[str, tuple[subprocess.Popen[bytes] | None, int]] = {"direct": (None, sources[0])}
        for name, word in ((RELAYS[1], "bare"), (RELAYS[2], "asyncio")):
            port = free_port()
            ports[name] = bed.start(port, "benchmarks.peers", word, str(port), *at), port
        ports[RELAYS[3]] = bed.gateway([(f"m{one}", "mixed", one) for one in sources])
        ports[RELAYS[4]] = bed.gateway(
            [("r1", "reader", bed.source()), *((f"w{one}", "writer", one) for one in sources)]
        )
        for number in range(rounds):
            names = RELAYS[number % len(RELAYS) :] + RELAYS[: number % len(RELAYS)]
            for name in names:
                process, port = ports[name]
                for load, plan in (("paced", PACED), ("flood", FLOOD), ("first", FIRST)):
                    before = cpu(process) if process else 0.0
                    seen = bed.clients(port, **plan)
                    used = cpu(process) - before if process else 0.0
                    assert not seen["refused"], (name, seen)
                    figures = {
                        f"{load} us": used / seen["chunks"] * 1e6,
                        f"{load} per s": seen["chunks"] / seen["took_s"],
                        f"{load} first50": seen["first_ms"][0],
                        f"{load} first99": seen["first_ms"][1],
                        f"{load} delay50": seen["delay_ms"][0],
                        f"{load} delay99": seen["delay_ms"][1],
                    }
                    for key, value in figures.items():
                        found[name].setdefault(key, []).append(value)
    return found


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=3)
    found = {
        name: {key: statistics.median(values) for key, values in figures.items()}
        for name, figures in measure(parser.parse_args().rounds).items()
    }
    console, direct, own = Console(width=150), found["direct"], found[RELAYS[1]]
    table = Table(title="Chunks through one process (simulated engines on one machine)", title_justify="left")
    for column in (
        "relay",
        "CPU us a chunk, paced",
        "chunks a CPU second",
        "of bare",
        "of asyncio",
        "flood, chunks a s",
        "of bare",
        "of asyncio",
        "CPU us a chunk, flood",
    ):
        table.add_column(column, justify="left" if column == "relay" else "right")
    other = found[RELAYS[2]]
    for name in RELAYS[1:]:
        one = found[name]
        table.add_row(
            name,
            f"{one['paced us']:.1f}",
            f"{1e6 / one['paced us']:.0f}",
            f"{own['paced us'] / one['paced us']:.2f}",
            f"{other['paced us'] / one['paced us']:.2f}",
            f"{one['flood per s']:.0f}",
            f"{one['flood per s'] / own['flood per s']:.2f}",
            f"{one['flood per s'] / other['flood per s']:.2f}",
            f"{one['flood us']:.1f}",
        )
    console.print(table)
    table = Table(title="Added to what the engine asked directly takes, ms", title_justify="left")
    for column in ("relay", "first token p50", "p99", "a chunk p50", "p99"):
        table.add_column(column, justify="left" if column == "relay" else "right")
    for name in RELAYS[1:]:
        one = found[name]
        table.add_row(
            name,
            *(
                f"{one[key] - direct[key]:.2f}"
                for key in ("first first50", "first first99", "paced delay50", "paced delay99")
            ),
        )
    console.print(table)


if __name__ == "__main__":
    main()

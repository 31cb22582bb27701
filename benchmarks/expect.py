"""How fast statements are tried, and how long broken configurations take to be named.

    python -m benchmarks.expect [--jobs N]

Fleets are made up: two of five servers read, the rest write, a rack for each ten servers. One process unless told
otherwise. A statement here is a mixture as in the starter sets: first turns, later turns, troubles, one share in ten.
"""

import argparse
import time

from rich.console import Console
from rich.table import Table

from stackpitch.cli.expect import Configuration, evaluate
from stackpitch.expect.book import Book
from stackpitch.expect.parse import parse
from stackpitch.settings.load import check
from stackpitch.settings.model import Fleet, Settings

KINDS = [
    "when a first turn of ask comes then exactly 2 legs are sent and it is streamed",
    "when a later turn of ask comes then it goes to the writer that served its earlier turn",
    "after its writer resets before output when a first turn of book comes then it is terminated and it is not sent again",
    "after its writer resets before output when a first turn of ask comes then it is streamed and it is sent again",
    "after its writer is full when a first turn of ask comes then it goes to another server",
    "while server w{n} drains when a first turn of ask comes then it never goes to server w{n}",
    "while half of writers are gone when a first turn of book comes then it is streamed",
    "while readers in rack 1 are cold when a first turn of book comes then no rule is broken",
    'after 2 first turns of ask, opening "p" when a first turn of book comes, opening "p" then it is streamed',
    "after its client leaves when a first turn of ask comes then what it holds is let go within 50 ms",
    "when 40 first turns of ask come then at least 20% of them are read by readers",
]


def fleet(size: int) -> Fleet:
    servers = [
        {
            "name": f"{'r' if n % 5 < 2 else 'w'}{n}",
            "host": "127.0.0.1",
            "port": 9000,
            "zone": "z",
            "kind": "reader" if n % 5 < 2 else "writer",
            "cell": 1 + n // 10,
        }
        for n in range(size)
    ]
    return check(Fleet, {"version": 1, "servers": servers}, "made")


def settings(**changed: object) -> Settings:
    product = {"slo_ms": 1000.0, "time_limit_ms": 5000.0}
    tree = {
        "roster": "made",
        "products": {
            "ask": product | {"effect": "idempotent"},
            "book": product | {"effect": "side-effecting"},
        },
        "kinds": {
            "reader": {"role": "reader", "memory_tok": 200000},
            "writer": {"role": "writer", "memory_tok": 160000},
        },
        "module": {"zone": "z", "gateways": 3, "max_legs": 5},
    }
    return check(Settings, tree | changed, "made")


def book(count: int, size: int) -> Book:
    text = "\n".join(
        f'statement "s{n}": {KINDS[n % len(KINDS)].format(n=n % size // 5 * 5 + 2)}' for n in range(count)
    )
    return Book([parse(text, "made")])


def timed(configuration: Configuration, statements: Book, jobs: int) -> tuple[float, int, int]:
    begun = time.perf_counter()
    _, verdicts = evaluate(statements, configuration, 3, (), jobs)
    return time.perf_counter() - begun, sum(one.passed for one in verdicts), len(verdicts)


def broken() -> list[tuple[str, Settings, Fleet]]:
    """Twelve ways."""
    made, servers = settings(), fleet(300)
    listed = servers.model_dump()["servers"]

    def with_servers(change: dict[str, object], names: set[str]) -> Fleet:
        changed = [one | (change if one["name"] in names else {}) for one in listed]
        return check(Fleet, {"version": 1, "servers": changed}, "made")

    def product(name: str, **change: object) -> Settings:
        tree = made.model_dump()
        tree["products"][name] |= change
        return check(Settings, tree, "made")

    def module(**change: object) -> Settings:
        return settings(module={"zone": "z", "gateways": 3, "max_legs": 5} | change)

    fewer = [one for one in listed if one["name"] != "w7"]
    only = {"name": "a", "how": "only", "where": {"servers": ["w2"]}}
    readers = {one["name"] for one in listed if one["kind"] == "reader"}
    return [
        ("book may run twice", product("book", effect="idempotent"), servers),
        ("ask may not", product("ask", effect="side-effecting"), servers),
        ("no local reads", module(local_reads=False), servers),
        ("two legs at most", module(max_legs=2), servers),
        ("one leg at most", module(max_legs=1), servers),
        ("ask has 20 ms", product("ask", time_limit_ms=20.0), servers),
        (
            "readers write",
            settings(
                kinds={
                    "reader": {"role": "writer", "memory_tok": 9},
                    "writer": {"role": "writer", "memory_tok": 9},
                }
            ),
            servers,
        ),
        ("all drain", made, with_servers({"state": "draining"}, {one["name"] for one in listed})),
        ("readers drain", made, with_servers({"state": "draining"}, readers)),
        ("w7 is left out", made, check(Fleet, {"version": 1, "servers": fewer}, "made")),
        ("a rule that sends all to one", settings(rules=[only]), servers),
        ("ask is no product", settings(products={"book": made.products["book"].model_dump()}), servers),
    ]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--jobs", type=int, default=1)
    jobs = parser.parse_args().jobs
    console = Console(width=120)
    table = Table(title=f"200 statements, {jobs} process(es)", title_justify="left")
    for column in ("servers", "held", "seconds", "statements a second"):
        table.add_column(column, justify="right")
    for size in (20, 50, 300, 2000):
        took, held, count = timed(Configuration(settings(), fleet(size)), book(200, size), jobs)
        table.add_row(f"{size:,}", f"{held} of {count}", f"{took:.2f}", f"{count / took:.0f}")
    console.print(table)
    table = Table(
        title=f"200 statements, 300 servers, broken on purpose, {jobs} process(es)", title_justify="left"
    )
    for column in ("configuration", "do not hold", "seconds"):
        table.add_column(column, justify="left" if column == "configuration" else "right")
    for name, made, servers in broken():
        took, held, count = timed(Configuration(made, servers), book(200, 300), jobs)
        table.add_row(name, str(count - held), f"{took:.2f}")
    console.print(table)


if __name__ == "__main__":
    main()

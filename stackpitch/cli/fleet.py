"""`stackpitch fleet`: checks and compares lists of servers, and calls a running gateway's admin port."""

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from stackpitch import settings as settings_package
from stackpitch.exchange import read_body
from stackpitch.expect import syntax as s
from stackpitch.expect.book import Book, Plan
from stackpitch.expect.deployment import build_deployment
from stackpitch.expect.evaluate import Evaluator, StatementRun, Variant
from stackpitch.loop import SECOND, ConnectFailed, ConnectionLost, Coro, RealWorld
from stackpitch.membership.bundle import build_entries, validate_fleet
from stackpitch.membership.entries import Change, diff, digest
from stackpitch.settings import BadSettings, Fleet, Settings
from stackpitch.wire import http

# A share of traffic (0 to 1) by table ("read by rack", "written by server" ...) and by rack or server in it.
Shares = dict[str, dict[str, float]]
DRY_RUN_GENERATIONS = 400  # of each product, from which shares of traffic are computed


class NoAnswer(Exception):
    """The admin port can't be reached, doesn't answer in time, or sends a malformed answer."""


def call(address: tuple[str, int], method: str, target: str) -> tuple[int, Any]:
    """Status and decoded JSON body of one request to an admin port, on a new connection. Raises NoAnswer."""
    world = RealWorld()

    def request() -> Coro[tuple[int, Any]]:
        stream = yield from world.connect(address, 2 * SECOND)
        try:
            stream.write(http.request(method, target, "admin", b"", [("connection", "close")]))
            parser = http.ResponseParser(1 << 16, 1 << 28)
            with world.limit(15 * SECOND):
                body = yield from read_body(stream, parser)
                if body is None:
                    raise ConnectionLost("closed")
                return parser.status, msgspec.json.decode(body)
            raise ConnectionLost("no answer in 15 s")
        finally:
            stream.close()

    try:
        return world.run(request())
    except (ConnectionLost, ConnectFailed, http.BadMessage, msgspec.DecodeError) as error:
        raise NoAnswer(f"{address[0]}:{address[1]}: {error}") from None


def read_fleet(path: Path, settings: Settings) -> Fleet:
    """Reads a fleet's file and validates it against the settings. Raises BadSettings."""
    fleet = settings_package.read(Fleet, path)
    if problems := validate_fleet(fleet, settings):
        raise BadSettings("\n".join(f"{path}: {problem}" for problem in problems))
    return fleet


def fleet_digest(fleet: Fleet) -> str:
    """The digest of a list's entries, as gateways compute it."""
    return digest(build_entries(fleet, {}, ""))


def traffic_shares(settings: Settings, fleet: Fleet) -> Shares:
    """Shares of first turns by rack and by server, for reading and for writing, in a dry run of the router."""
    world = build_deployment(settings, fleet)
    arrivals = s.Traffic(DRY_RUN_GENERATIONS, "first", (), rate=40.0)
    statement = s.Statement("shares", False, (), arrivals, ())
    judge = Evaluator(Book([]), world)
    by_table: Shares = {f"{word} by {by}": {} for by in ("rack", "server") for word in ("read", "written")}
    for product in world.products:
        play = StatementRun(judge, Plan(statement, "", ()), Variant(product, None, 0))
        play.run()
        for story in play.stories:
            part = 1 / DRY_RUN_GENERATIONS / len(world.products)
            read = next((leg.server for leg in story.gen.legs if leg.outcome == "read"), None)
            for word, server in (("read", read), ("written", story.served_by)):
                if server is not None:
                    for by, name in (("rack", str(server.cell)), ("server", server.name)):
                        table = by_table[f"{word} by {by}"]
                        table[name] = table.get(name, 0.0) + part
    return by_table


def compare(old: Fleet, new: Fleet) -> Change:
    """The entries added, removed and changed from `old` to `new`."""
    return diff(
        {entry.name: entry for entry in build_entries(old, {}, "")},
        {entry.name: entry for entry in build_entries(new, {}, "")},
    )


def show_change(console: Console, change: Change, before: Shares, after: Shares) -> None:
    """Prints the changed entries, and the shares that change by more than one percent of the traffic."""
    for word, servers in (("added", change.added), ("removed", change.removed)):
        if servers:
            omitted = f" and {len(servers) - 20} more" if len(servers) > 20 else ""
            console.print(f"{word}: {escape(', '.join(servers[:20]))}{omitted}", highlight=False)
    for name, fields in change.changed[:20]:
        console.print(f"changed: {escape(name)}: {escape(fields)}", highlight=False)
    if len(change.changed) > 20:
        console.print(f"and {len(change.changed) - 20} more changed", highlight=False)
    if not change:
        console.print("no difference")
    table = Table(
        title=f"First turns as routed in a dry run, {DRY_RUN_GENERATIONS} of each product",
        title_justify="left",
    )
    for column in ("", "", "before", "after"):
        table.add_column(column, justify="right" if column else "left")
    for share_table in before:
        names = before[share_table].keys() | after[share_table].keys()
        rows = [
            (name, before[share_table].get(name, 0.0), after[share_table].get(name, 0.0)) for name in names
        ]
        for name, old_share, new_share in sorted(rows, key=lambda row: (-abs(row[2] - row[1]), row[0]))[:6]:
            if abs(old_share - new_share) > 0.01:
                table.add_row(share_table, escape(name), f"{old_share:.1%}", f"{new_share:.1%}")
    if table.row_count:
        console.print(table)


def show_status(console: Console, status: dict[str, Any]) -> None:
    """Prints the answer of `GET /fleet`."""
    console.print(
        f"version {status['version']} in force, {status['servers']} servers, {len(status['draining'])} draining",
        highlight=False,
    )
    if status["last"]:
        console.print(f"last: {status['last']}", highlight=False)
    for reason in status["reasons"]:
        console.print(f"  {escape(reason)}", highlight=False)
    for held in status["held"]:
        console.print(
            f"held back: version {held['version']}, taken in {held['taken_in_ms'] / 1000:.1f} s, or by "
            f"stackpitch fleet confirm {held['digest'][:12]}",
            highlight=False,
        )
    for key in ("leaving", "flapping", "restart_wanted"):
        if status[key]:
            console.print(f"{key.replace('_', ' ')}: {escape(', '.join(status[key]))}", highlight=False)
    if status["store"] not in (None, "good"):
        console.print(f"[red]store[/]: {escape(status['store'])}", highlight=False)


def show_history(console: Console, history: list[dict[str, Any]]) -> None:
    """Prints the answer of `GET /fleet/history` as a table."""
    table = Table()
    for column in ("when", "version", "what", "digest", "changed", "why"):
        table.add_column(column)
    for entry in history:
        time = datetime.fromtimestamp(entry["at_unix_ms"] / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
        why = escape(entry["why"][:300])
        table.add_row(
            time, str(entry["version"]), entry["word"], entry["digest"][:12], entry.get("changed", ""), why
        )
    console.print(table)


def format_json(value: Any) -> str:
    """`value` as indented JSON."""
    return json.dumps(value, indent=2)

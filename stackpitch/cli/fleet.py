"""`stackpitch fleet`: a list checked, compared, asked about and turned back."""

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from stackpitch import settings as settings_package
from stackpitch.expect import syntax as s
from stackpitch.expect.book import Book, Plan
from stackpitch.expect.deployment import build_deployment
from stackpitch.expect.evaluate import Evaluator, StatementRun, Variant
from stackpitch.loop import SECOND, ConnectFailed, ConnectionLost, Coro, RealWorld
from stackpitch.membership.bundle import build_entries, validate_fleet
from stackpitch.membership.entries import Change, diff, digest
from stackpitch.settings import BadSettings, Fleet, Settings
from stackpitch.wire import http

Shares = dict[str, dict[str, float]]
PLAYED = 400  # generations by which shares of traffic are told


class NoAnswer(Exception):
    """The gateway's admin port does not answer."""


def call(address: tuple[str, int], method: str, target: str) -> tuple[int, Any]:
    """Status and body of one call of an admin port. Raises NoAnswer."""
    world = RealWorld()

    def ask() -> Coro[tuple[int, Any]]:
        stream = yield from world.connect(address, 2 * SECOND)
        try:
            stream.write(http.request(method, target, "admin", b"", [("connection", "close")]))
            reader, pieces = http.ResponseParser(1 << 16, 1 << 28), list[bytes]()
            with world.limit(15 * SECOND):
                while not reader.complete:
                    data = yield from stream.recv()
                    if not data:
                        raise ConnectionLost("closed")
                    reader.feed(data)
                    pieces += reader.pieces
                return reader.status, msgspec.json.decode(b"".join(pieces))
            raise ConnectionLost("no answer in 15 s")
        finally:
            stream.close()

    try:
        return world.run(ask())
    except (ConnectionLost, ConnectFailed, http.BadMessage, msgspec.DecodeError) as wrong:
        raise NoAnswer(f"{address[0]}:{address[1]}: {wrong}") from None


def checked(path: Path, settings: Settings) -> Fleet:
    """Raises BadSettings."""
    fleet = settings_package.read(Fleet, path)
    if wrong := validate_fleet(fleet, settings):
        raise BadSettings("\n".join(f"{path}: {one}" for one in wrong))
    return fleet


def told(fleet: Fleet) -> str:
    return digest(build_entries(fleet, {}, ""))


def shares(settings: Settings, fleet: Fleet) -> Shares:
    """Parts of first turns by rack and server that reads, and that writes, by the module in the dry world."""
    of = build_deployment(settings, fleet)
    asking = s.Traffic(PLAYED, "first", (), rate=40.0)
    statement = s.Statement("shares", False, (), asking, ())
    judge = Evaluator(Book([]), of)
    found: Shares = {f"{word} by {by}": {} for by in ("rack", "server") for word in ("read", "written")}
    for product in of.products:
        play = StatementRun(judge, Plan(statement, "", ()), Variant(product, None, 0))
        play.run()
        for story in play.stories:
            part = 1 / PLAYED / len(of.products)
            read = next((leg.server for leg in story.gen.legs if leg.outcome == "read"), None)
            for word, server in (("read", read), ("written", story.served_by)):
                if server is not None:
                    for by, name in (("rack", str(server.cell)), ("server", server.name)):
                        table = found[f"{word} by {by}"]
                        table[name] = table.get(name, 0.0) + part
    return found


def differ(old: Fleet, new: Fleet) -> Change:
    return diff(
        {one.name: one for one in build_entries(old, {}, "")},
        {one.name: one for one in build_entries(new, {}, "")},
    )


def show_change(console: Console, found: Change, before: Shares, after: Shares) -> None:
    for word, listed in (("added", found.added), ("removed", found.removed)):
        if listed:
            more = f" and {len(listed) - 20} more" if len(listed) > 20 else ""
            console.print(f"{word}: {escape(', '.join(listed[:20]))}{more}", highlight=False)
    for name, fields in found.changed[:20]:
        console.print(f"changed: {escape(name)}: {escape(fields)}", highlight=False)
    if len(found.changed) > 20:
        console.print(f"and {len(found.changed) - 20} more changed", highlight=False)
    if not found:
        console.print("no difference")
    table = Table(
        title=f"First turns by the module, {PLAYED} of each product in a dry world", title_justify="left"
    )
    for column in ("", "", "before", "after"):
        table.add_column(column, justify="right" if column else "left")
    for what in before:
        names = before[what].keys() | after[what].keys()
        rows = [(name, before[what].get(name, 0.0), after[what].get(name, 0.0)) for name in names]
        for name, one, other in sorted(rows, key=lambda row: (-abs(row[2] - row[1]), row[0]))[:6]:
            if abs(one - other) > 0.01:
                table.add_row(what, escape(name), f"{one:.1%}", f"{other:.1%}")
    if table.row_count:
        console.print(table)


def show_status(console: Console, status: dict[str, Any]) -> None:
    console.print(
        f"version {status['version']} in force, {status['servers']} servers, {len(status['draining'])} draining",
        highlight=False,
    )
    if status["last"]:
        console.print(f"last: {status['last']}", highlight=False)
    for reason in status["reasons"]:
        console.print(f"  {escape(reason)}", highlight=False)
    for one in status["held"]:
        console.print(
            f"held back: version {one['version']}, taken in {one['taken_in_ms'] / 1000:.1f} s, or by "
            f"stackpitch fleet confirm {one['digest'][:12]}",
            highlight=False,
        )
    for word in ("leaving", "flapping", "restart_wanted"):
        if status[word]:
            console.print(f"{word.replace('_', ' ')}: {escape(', '.join(status[word]))}", highlight=False)
    if status["store"] not in (None, "good"):
        console.print(f"[red]store[/]: {escape(status['store'])}", highlight=False)


def show_history(console: Console, history: list[dict[str, Any]]) -> None:
    table = Table()
    for column in ("when", "version", "what", "digest", "changed", "why"):
        table.add_column(column)
    for one in history:
        when = datetime.fromtimestamp(one["at_unix_ms"] / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
        why = escape(one["why"][:300])
        table.add_row(when, str(one["version"]), one["word"], one["digest"][:12], one.get("changed", ""), why)
    console.print(table)


def as_json(value: Any) -> str:
    return json.dumps(value, indent=2)

"""All files of one configuration as one set: read together, checked together, whole or not at all.

Runs in a process of its own (`stackpitch checker`), so that neither size nor malice of a file holds up the gateway.
"""

from collections.abc import Mapping
from hashlib import sha256
from pathlib import Path
from typing import BinaryIO

import msgspec

from stackpitch.expect.book import Book
from stackpitch.expect.deployment import deployment
from stackpitch.expect.evaluate import Evaluator
from stackpitch.expect.parse import BadStatement, read_statement_file
from stackpitch.membership.entries import Entry, digest
from stackpitch.settings import BadSettings, Fleet, Listed, Settings, Weights, read
from stackpitch.settings.load import check

SLICE = 400


class Bundle(msgspec.Struct):
    """What was read. With `problems` nothing else counts; `unsettled`: files changed while they were read."""

    seen: dict[str, str]  # digest of each file's bytes, "" where it can't be read
    problems: list[str] = []
    unsettled: bool = False
    settings: msgspec.Raw = msgspec.Raw(b"{}")
    version: int = 0
    digest: str = ""
    entries: tuple[Entry, ...] = ()
    guards: int = 0
    more: int = 0  # lines of entries that follow this one, between processes


def config_files(config: Path | None, settings: Settings) -> list[Path]:
    """All that are read for these settings."""
    found = [config] if config is not None else []
    found.append(Path(settings.roster))
    if settings.weights:
        found.append(Path(settings.weights))
    return found + statement_files(settings)


def statement_files(settings: Settings) -> list[Path]:
    found: list[Path] = []
    for one in settings.statements:
        path = Path(one)
        found += sorted(path.rglob("*.expect")) if path.is_dir() else [path]
    return found


def fingerprints(paths: list[Path]) -> dict[str, str]:
    found = {}
    for path in paths:
        try:
            found[str(path)] = sha256(path.read_bytes()).hexdigest()[:32]
        except OSError:
            found[str(path)] = ""
    return found


def build_entries(fleet: Fleet, weights: Mapping[str, float], path: str) -> tuple[Entry, ...]:
    """Raises BadSettings on weights of servers that are not listed."""
    names = {one.name for one in fleet.servers}
    unknown = [name for name in weights if name not in names]
    if unknown:
        raise BadSettings(f"{path}: {', '.join(unknown[:5])}: not in the fleet's file")
    return tuple(
        Entry(**(one.model_dump() | {"weight": weights.get(one.name, one.weight)})) for one in fleet.servers
    )


def validate_fleet(fleet: Fleet, settings: Settings) -> list[str]:
    """What is wrong with a list beyond its form."""
    wrong, names, addresses = [], dict[str, int](), dict[tuple[str, int], str]()
    for number, one in enumerate(fleet.servers):
        field = f"servers.{number}"
        if one.name in names:
            wrong.append(f"{field}.name: {one.name!r} stands in servers.{names[one.name]} already")
        names.setdefault(one.name, number)
        if one.kind not in settings.kinds:
            wrong.append(f"{field}.kind: found {one.kind!r}; allowed: {', '.join(settings.kinds)}")
        other = addresses.setdefault((one.host, one.port), one.name)
        if other != one.name:
            wrong.append(f"{field}: {one.host}:{one.port} is the address of {other!r} already")
    if not fleet.servers:
        wrong.append("servers: found none; at least one is wanted")
    return wrong


def read_bundle(config: Path | None, given: Mapping[str, str], known: Settings | None = None) -> Bundle:
    """Never raises for what stands in the files. Without a `config`, with the settings that are known."""
    paths, problems = [config] if config is not None else [], list[str]()
    bundle = Bundle({})
    try:
        settings = known if config is None and known is not None else read(Settings, config or Path(), given)
        paths = config_files(config, settings)
        before = fingerprints(paths)
        fleet = read(Fleet, Path(settings.roster))
        weights = read(Weights, Path(settings.weights)).root if settings.weights else {}
        problems += [f"{settings.roster}: {one}" for one in validate_fleet(fleet, settings)]
        entries = build_entries(fleet, weights, settings.weights)
        told = digest(entries)
        if fleet.digest and fleet.digest != (plain := digest(build_entries(fleet, {}, ""))):
            problems.append(
                f"{settings.roster}: digest: found {fleet.digest!r}; that of these servers is {plain!r}"
            )
        if not problems:
            wrong, bundle.guards = guards(settings, fleet, entries)
            problems += wrong
        bundle.settings = msgspec.Raw(settings.model_dump_json().encode())
        bundle.version, bundle.digest, bundle.entries = fleet.version, told, entries
        bundle.unsettled = fingerprints(paths) != before
    except (BadSettings, BadStatement) as wrong_file:
        problems += str(wrong_file).split("\n")
    bundle.seen, bundle.problems = fingerprints(paths), problems
    return bundle


def guards(settings: Settings, fleet: Fleet, entries: tuple[Entry, ...]) -> tuple[list[str], int]:
    """Statements marked as guards that do not hold, and how many there are."""
    if not settings.statements:
        return [], 0
    book = Book([read_statement_file(path) for path in statement_files(settings)])
    weighed = check(
        Fleet,
        {
            "version": fleet.version,
            "servers": [
                Listed(**{name: getattr(one, name) for name in Entry.__struct_fields__}).model_dump()
                for one in entries
            ],
        },
        "list",
    )
    judge = Evaluator(book, deployment(settings, weighed))
    names = [name for name, (_, one) in book.statements.items() if one.guard]
    return [
        f'{one.file}:{one.statement.line}: guard "{one.statement.name}" {one.label()}: {one.reason()}'
        for one in judge.evaluate_all(names)
        if not one.passed
    ], len(names)


class ReadRequest(msgspec.Struct):
    """A line that the checker is sent. Its answer is a bundle without its entries, then these in lines of SLICE each,
    so that who reads it need not take all at once."""

    config: str
    given: dict[str, str] = {}


def serve_lines(source: BinaryIO, sink: BinaryIO) -> None:
    """The checker's whole life: until its gateway closes the other end."""
    for line in source:
        asked = msgspec.json.decode(line, type=ReadRequest)
        bundle = read_bundle(Path(asked.config), asked.given)
        entries, bundle.entries = bundle.entries, ()
        slices = [entries[at : at + SLICE] for at in range(0, len(entries), SLICE)]
        bundle.more = len(slices)
        sink.write(b"".join(msgspec.json.encode(one) + b"\n" for one in (bundle, *slices)))
        sink.flush()

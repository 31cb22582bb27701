"""Reads and validates all files of one configuration together; they take effect together or not at all.

Runs in a process of its own (`stackpitch checker`), so that a large or malicious file cannot block the
gateway.
"""

from collections.abc import Mapping
from hashlib import sha256
from pathlib import Path
from typing import BinaryIO

import msgspec

from stackpitch.expect.book import Book
from stackpitch.expect.deployment import build_deployment
from stackpitch.expect.evaluate import Evaluator
from stackpitch.expect.parse import BadStatement, read_statement_file
from stackpitch.membership.entries import Entry, digest
from stackpitch.settings import BadSettings, Fleet, Listed, Settings, Weights, read
from stackpitch.settings.load import check

SLICE = 400  # entries per line of the checker's answer


class Bundle(msgspec.Struct):
    """The files' contents, invalid if there are `problems`. `unsettled`: files changed meanwhile."""

    seen: dict[str, str]  # digest of each file's bytes, "" if it cannot be read
    problems: list[str] = []
    unsettled: bool = False
    settings: msgspec.Raw = msgspec.Raw(b"{}")
    version: int = 0
    digest: str = ""
    entries: tuple[Entry, ...] = ()
    guards: int = 0
    more: int = 0  # lines with entries that follow this one in the checker's answer


def config_files(config: Path | None, settings: Settings) -> list[Path]:
    """All files that are read for these settings."""
    paths = [config] if config is not None else []
    paths.append(Path(settings.roster))
    if settings.weights:
        paths.append(Path(settings.weights))
    return paths + statement_files(settings)


def statement_files(settings: Settings) -> list[Path]:
    """The files with statements, including those in configured folders."""
    paths: list[Path] = []
    for statement in settings.statements:
        path = Path(statement)
        paths += sorted(path.rglob("*.expect")) if path.is_dir() else [path]
    return paths


def fingerprints(paths: list[Path]) -> dict[str, str]:
    """Digest of each file's bytes, "" if it cannot be read."""
    digests = {}
    for path in paths:
        try:
            digests[str(path)] = sha256(path.read_bytes()).hexdigest()[:32]
        except OSError:
            digests[str(path)] = ""
    return digests


def build_entries(fleet: Fleet, weights: Mapping[str, float], path: str) -> tuple[Entry, ...]:
    """Combines servers and the weights from `path`. Raises BadSettings on weights of unlisted servers."""
    names = {server.name for server in fleet.servers}
    unknown = [name for name in weights if name not in names]
    if unknown:
        raise BadSettings(f"{path}: {', '.join(unknown[:5])}: not in the fleet's file")
    return tuple(
        Entry(**(server.model_dump() | {"weight": weights.get(server.name, server.weight)}))
        for server in fleet.servers
    )


def validate_fleet(fleet: Fleet, settings: Settings) -> list[str]:
    """Problems of a list that its schema does not catch."""
    problems, names, addresses = [], dict[str, int](), dict[tuple[str, int], str]()
    for number, server in enumerate(fleet.servers):
        field = f"servers.{number}"
        if server.name in names:
            problems.append(f"{field}.name: {server.name!r} stands in servers.{names[server.name]} already")
        names.setdefault(server.name, number)
        if server.kind not in settings.kinds:
            problems.append(f"{field}.kind: found {server.kind!r}; allowed: {', '.join(settings.kinds)}")
        other = addresses.setdefault((server.host, server.port), server.name)
        if other != server.name:
            problems.append(f"{field}: {server.host}:{server.port} is the address of {other!r} already")
    if not fleet.servers:
        problems.append("servers: found none; at least one is wanted")
    return problems


def read_bundle(config: Path | None, given: Mapping[str, str], known: Settings | None = None) -> Bundle:
    """Reads and validates all files. Whatever they contain, it does not raise.

    Without `config` it uses the settings in `known`.
    """
    paths, problems = [config] if config is not None else [], list[str]()
    bundle = Bundle({})
    try:
        settings = known if config is None and known is not None else read(Settings, config or Path(), given)
        paths = config_files(config, settings)
        before = fingerprints(paths)
        fleet = read(Fleet, Path(settings.roster))
        weights = read(Weights, Path(settings.weights)).root if settings.weights else {}
        problems += [f"{settings.roster}: {problem}" for problem in validate_fleet(fleet, settings)]
        entries = build_entries(fleet, weights, settings.weights)
        content_digest = digest(entries)
        if fleet.digest and fleet.digest != (unweighted := digest(build_entries(fleet, {}, ""))):
            problems.append(
                f"{settings.roster}: digest: found {fleet.digest!r}; that of these servers is {unweighted!r}"
            )
        if not problems:
            failures, bundle.guards = check_guards(settings, fleet, entries)
            problems += failures
        bundle.settings = msgspec.Raw(settings.model_dump_json().encode())
        bundle.version, bundle.digest, bundle.entries = fleet.version, content_digest, entries
        bundle.unsettled = fingerprints(paths) != before
    except (BadSettings, BadStatement) as error:
        problems += str(error).split("\n")
    bundle.seen, bundle.problems = fingerprints(paths), problems
    return bundle


def check_guards(settings: Settings, fleet: Fleet, entries: tuple[Entry, ...]) -> tuple[list[str], int]:
    """Evaluates the statements marked as guards: messages on those that fail, and the number of guards."""
    if not settings.statements:
        return [], 0
    book = Book([read_statement_file(path) for path in statement_files(settings)])
    weighed = check(
        Fleet,
        {
            "version": fleet.version,
            "servers": [
                Listed(**{name: getattr(entry, name) for name in Entry.__struct_fields__}).model_dump()
                for entry in entries
            ],
        },
        "list",
    )
    judge = Evaluator(book, build_deployment(settings, weighed))
    names = [name for name, (_, statement) in book.statements.items() if statement.guard]
    return [
        f'{verdict.file}:{verdict.statement.line}: guard "{verdict.statement.name}" {verdict.label()}: {verdict.reason()}'
        for verdict in judge.evaluate_all(names)
        if not verdict.passed
    ], len(names)


class ReadRequest(msgspec.Struct):
    """A request to the checker, one line. The answer is a line with the bundle without its entries, then
    lines with SLICE entries each, so that the gateway can decode it in steps."""

    config: str
    given: dict[str, str] = {}


def serve_lines(source: BinaryIO, sink: BinaryIO) -> None:
    """The checker's main loop; ends when the gateway closes its end."""
    for line in source:
        request = msgspec.json.decode(line, type=ReadRequest)
        bundle = read_bundle(Path(request.config), request.given)
        entries, bundle.entries = bundle.entries, ()
        slices = [entries[start : start + SLICE] for start in range(0, len(entries), SLICE)]
        bundle.more = len(slices)
        sink.write(b"".join(msgspec.json.encode(part) + b"\n" for part in (bundle, *slices)))
        sink.flush()

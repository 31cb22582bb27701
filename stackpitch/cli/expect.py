"""`stackpitch expect`: evaluates statements (*.expect files) against configurations in a dry run.

Nothing listens and no request is sent.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import click
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from stackpitch import settings as settings_package
from stackpitch.expect import mutate, report, uncovered
from stackpitch.expect.book import Book
from stackpitch.expect.deployment import Deployment, build_deployment
from stackpitch.expect.evaluate import Coverage, Evaluator, Verdict
from stackpitch.expect.formatter import format_page
from stackpitch.expect.parse import BadStatement, read_statement_file
from stackpitch.loop import MS, Coro, RealWorld
from stackpitch.membership.bundle import validate_fleet
from stackpitch.settings import Fleet, Settings

# Servers whose entries `--mutations` changes, unless `--servers` sets another number.
DEFAULT_MUTATED_SERVERS = 24
# Statements times servers; below it, starting worker processes takes longer than they save.
MIN_PARALLEL_WORK = 2000
WATCH_INTERVAL = 300 * MS  # between two checks of the files with `--watch`


@dataclass(frozen=True, slots=True)
class Configuration:
    """Settings and the fleet's file, both validated."""

    settings: Settings
    fleet: Fleet

    def deployment(self) -> Deployment:
        """The fleet as statements see it."""
        return build_deployment(self.settings, self.fleet)


def read_configuration(config: Path, sets: dict[str, str], fleet: Path | None) -> Configuration:
    """Reads and validates settings and a fleet's file: `fleet`, or else the file that the settings name.

    A relative path in the settings is looked up in the working directory, then beside the settings file.
    Raises BadSettings.
    """
    settings = settings_package.read(Settings, config, sets)
    path = fleet if fleet is not None else Path(settings.roster)
    if fleet is None and not path.is_absolute() and not path.exists():
        path = config.parent / path
    servers = settings_package.read(Fleet, path)
    if problems := validate_fleet(servers, settings):
        raise settings_package.BadSettings("\n".join(f"{path}: {problem}" for problem in problems))
    return Configuration(settings, servers)


def read_book(files: tuple[Path, ...]) -> Book:
    """Parses *.expect files; a folder stands for all of them below it. Raises BadStatement."""
    paths: list[Path] = []
    for file in files:
        paths += sorted(file.rglob("*.expect")) if file.is_dir() else [file]
    if not paths:
        raise BadStatement(f"{', '.join(map(str, files))}: no *.expect file")
    return Book([read_statement_file(path) for path in paths])


def _evaluate_names(
    book: Book, configuration: Configuration, draws: int, names: list[str]
) -> tuple[list[Verdict], Coverage]:
    judge = Evaluator(book, configuration.deployment(), draws)
    return list(judge.evaluate_all(names)), judge.coverage


def evaluate(
    book: Book, configuration: Configuration, draws: int, only: tuple[str, ...], jobs: int
) -> tuple[Evaluator, list[Verdict]]:
    """The judge, and all verdicts in the book's order (or that of `only`).

    Statements are independent: those of large books are divided among `jobs` processes. Raises BadStatement.
    """
    for name in only:
        if name not in book.statements:
            raise BadStatement(
                f'no statement is named "{name}"; defined: {", ".join(list(book.statements)[:20])}'
            )
    judge, names = Evaluator(book, configuration.deployment(), draws), list(only) or list(book.statements)
    if jobs < 2 or len(names) * len(configuration.fleet.servers) < MIN_PARALLEL_WORK:
        return judge, list(judge.evaluate_all(names))
    chunks = [names[start :: jobs * 4] for start in range(min(len(names), jobs * 4))]
    verdicts_by_name: dict[str, Verdict] = {}
    with ProcessPoolExecutor(jobs) as pool:
        for verdicts, touched in pool.map(partial(_evaluate_names, book, configuration, draws), chunks):
            verdicts_by_name |= {verdict.statement.name: verdict for verdict in verdicts}
            judge.coverage.add(touched)
    return judge, [verdicts_by_name[name] for name in names]


def show(console: Console, judge: Evaluator, verdicts: list[Verdict], causes: int) -> None:
    """Prints the statements that don't hold, the causes of the first `causes` failures, and the totals."""
    colors = {"holds": "green", "fails": "red", "vacuous": "yellow", "can't apply": "magenta"}
    explained = 0
    for verdict in verdicts:
        if verdict.passed:
            continue
        guard = " (guard)" if verdict.statement.guard else ""
        console.print(
            f"[{colors[verdict.label()]}]{verdict.label()}[/]{guard}: [bold]{escape(verdict.statement.name)}[/]  "
            f"[dim]{verdict.file}:{verdict.statement.line}[/]",
            highlight=False,
        )
        console.print(f"  {escape(verdict.reason())}", highlight=False)
        if explained < causes and verdict.label() == "fails":
            explained += 1
            for line in report.describe_cause(judge, verdict.statement.name):
                console.print(f"  {escape(line)}", highlight=False)
    for name, other, text in judge.book.contradictions(judge.sets):
        both = f'"{name}" and "{other}"' if name != other else f'"{name}" and itself'
        console.print(f"[yellow]contradict each other[/]: {escape(both)}: {escape(text)}", highlight=False)
    counts = Counter(verdict.label() for verdict in verdicts)
    console.print(
        ", ".join(f"{counts[word]} {word}" for word in colors if counts[word]) or "no statement",
        highlight=False,
    )


def coverage(console: Console, book: Book, judge: Evaluator) -> None:
    """Prints the parts of the configuration that no statement touches."""
    table = Table(title="What no statement touches", title_justify="left")
    table.add_column("")
    table.add_column("")
    for subject, items in uncovered.uncovered_subjects(book, judge.deployment, judge).items():
        omitted = f" and {len(items) - 12} more" if len(items) > 12 else ""
        table.add_row(subject, escape(", ".join(items[:12])) + omitted if items else "[green]none[/]")
    console.print(table)


def _detecting_statement(
    book: Book, before: dict[str, str], order: list[str], mutation: mutate.Mutation
) -> str | None:
    return mutate.noticed_by(book, mutation, before, order)


def mutations(
    console: Console, book: Book, configuration: Configuration, max_servers: int, as_json: bool, jobs: int
) -> float:
    """Changes one setting at a time; prints the undetected changes and returns the share detected.

    Entries of at most `max_servers` servers are changed.
    """
    before = mutate.verdict_words(book, configuration.settings, configuration.fleet)
    changes = list(mutate.mutations(configuration.settings, configuration.fleet, max_servers))
    with ProcessPoolExecutor(jobs) as pool:
        detected_by = list(
            pool.map(partial(_detecting_statement, book, before, list(before)), changes, chunksize=4)
        )
    detected = sum(statement is not None for statement in detected_by)
    share = detected / max(1, len(changes))
    if as_json:
        click.echo(
            json.dumps(
                {
                    "changes": len(changes),
                    "noticed": detected,
                    "share": round(share, 4),
                    "unnoticed": [
                        change.text for change, statement in zip(changes, detected_by) if statement is None
                    ],
                },
                indent=2,
            )
        )
        return share
    table = Table(
        title=f"{detected} of {len(changes)} changes noticed ({share:.0%}); these are not",
        title_justify="left",
    )
    table.add_column("what")
    table.add_column("change")
    for change, statement in zip(changes, detected_by):
        if statement is None:
            table.add_row(change.kind, escape(change.text))
    console.print(table)
    return share


def watch(files: tuple[Path, ...], extra_paths: list[Path], once: partial[None]) -> None:
    """Calls `once` whenever one of the files has changed, until it is interrupted by Ctrl-C."""
    world = RealWorld()

    def scan() -> dict[Path, tuple[int, int]]:
        states = {}
        for file in [*files, *extra_paths]:
            for path in sorted(file.rglob("*.expect")) if file.is_dir() else [file]:
                try:
                    status = path.stat()
                except OSError:
                    continue  # the file is being replaced
                states[path] = status.st_mtime_ns, status.st_size
        return states

    def poll() -> Coro[None]:
        previous: dict[Path, tuple[int, int]] = {}
        while True:
            current = scan()
            if current != previous:
                previous = current
                click.clear()
                try:
                    once()
                except (BadStatement, settings_package.BadSettings) as error:
                    click.echo(str(error), err=True)
            yield from world.sleep(WATCH_INTERVAL)

    try:
        world.run(poll())
    except KeyboardInterrupt:
        pass


def formatted(files: tuple[Path, ...], check: bool) -> Iterator[Path]:
    """Rewrites files in the canonical layout, or only compares them (`check`); yields those that differ.

    Raises BadStatement.
    """
    for file in files:
        for path in sorted(file.rglob("*.expect")) if file.is_dir() else [file]:
            page = read_statement_file(path)
            text = format_page(page)
            if text != path.read_text(encoding="utf-8"):
                if not check:
                    path.write_text(text, encoding="utf-8")
                yield path


def once(
    files: tuple[Path, ...],
    config: Path,
    sets: dict[str, str],
    fleet: Path | None,
    draws: int,
    only: tuple[str, ...],
    against: Path | None,
    explain: tuple[str, ...],
    as_json: bool,
    junit: Path | None,
    with_coverage: bool,
    jobs: int,
) -> bool:
    """Evaluates and prints all statements; returns whether all hold and none contradict each other.

    Raises BadStatement and BadSettings.
    """
    console = Console(soft_wrap=True)
    book = read_book(files)
    judge, verdicts = evaluate(
        book, read_configuration(config, sets, fleet), draws, tuple(dict.fromkeys((*only, *explain))), jobs
    )
    clashes = book.contradictions(judge.sets)
    if junit is not None:
        junit.write_text(report.as_junit(verdicts), encoding="utf-8")
    tree = report.as_json(verdicts, clashes)
    if against is not None:
        _, before = evaluate(
            book,
            read_configuration(against, sets, None),
            draws,
            tuple(dict.fromkeys((*only, *explain))),
            jobs,
        )
        changed = report.differences(before, verdicts)
        tree["differs"] = [
            {"name": name, "what": what, "example": example} for name, what, example in changed
        ]
        if not as_json:
            for name, what, example in changed:
                console.print(f"[cyan]differs[/]: [bold]{escape(name)}[/]: {escape(what)}", highlight=False)
                console.print(f"  {escape(example)}", highlight=False)
            console.print(
                f"{len(changed)} of {len(verdicts)} statements differ from {against}", highlight=False
            )
    if with_coverage:
        tree["untouched"] = uncovered.uncovered_subjects(book, judge.deployment, judge)
    if as_json:
        click.echo(json.dumps(tree, indent=2))
    else:
        for name in explain:
            verdict = next(candidate for candidate in verdicts if candidate.statement.name == name)
            console.print(f"[bold]{escape(name)}[/]: {verdict.label()}", highlight=False)
            for _, line in verdict.statement.lines():
                console.print(f"  {escape(line)}", highlight=False)
            if verdict.reason():
                console.print(escape(verdict.reason()), highlight=False)
            for line in report.explain_run(judge, name, verdict):
                console.print(escape(line), highlight=False)
        show(console, judge, verdicts, causes=3)
        if with_coverage:
            coverage(console, book, judge)
    return all(candidate.passed for candidate in verdicts) and not clashes


def main(
    files: tuple[Path, ...],
    config: Path,
    sets: dict[str, str],
    fleet: Path | None,
    draws: int,
    only: tuple[str, ...],
    against: Path | None,
    explain: tuple[str, ...],
    as_json: bool,
    junit: Path | None,
    with_coverage: bool,
    mutation_test: bool,
    max_servers: int | None,
    watch_files: bool,
    jobs: int,
) -> int:
    """Runs the command and returns its exit code. Raises BadStatement and BadSettings."""
    if mutation_test:
        configuration = read_configuration(config, sets, fleet)
        mutations(
            Console(soft_wrap=True),
            read_book(files),
            configuration,
            DEFAULT_MUTATED_SERVERS if max_servers is None else max_servers,
            as_json,
            jobs,
        )
        return 0
    run = partial(
        once, files, config, sets, fleet, draws, only, against, explain, as_json, junit, with_coverage, jobs
    )
    if watch_files:
        watch(files, [config, *([fleet] if fleet else [])], partial(_run_and_flush, run))
        return 0
    return 0 if run() else 1


def _run_and_flush(call: "partial[bool]") -> None:
    call()
    sys.stdout.flush()

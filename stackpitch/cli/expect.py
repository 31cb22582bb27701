"""`stackpitch expect`: statements tried against configurations, without a process listening."""

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

SAMPLED = 24  # servers of which a change is tried, unless told otherwise
WORTH_SHARING = 2000  # statements times servers from which further processes are worth their start
GLANCE = 300 * MS  # how often `--watch` looks at the files


@dataclass(frozen=True, slots=True)
class Given:
    """A configuration as read."""

    settings: Settings
    fleet: Fleet

    def deployment(self) -> Deployment:
        return build_deployment(self.settings, self.fleet)


def configuration(config: Path, sets: dict[str, str], fleet: Path | None) -> Given:
    """Raises BadSettings. The fleet's file is the one that the settings name unless another is given."""
    settings = settings_package.read(Settings, config, sets)
    path = fleet if fleet is not None else Path(settings.roster)
    if fleet is None and not path.is_absolute() and not path.exists():
        path = config.parent / path
    listed = settings_package.read(Fleet, path)
    if wrong := validate_fleet(listed, settings):
        raise settings_package.BadSettings("\n".join(f"{path}: {one}" for one in wrong))
    return Given(settings, listed)


def books(files: tuple[Path, ...]) -> Book:
    """Raises BadStatement. A folder stands for all *.expect files in it."""
    paths: list[Path] = []
    for one in files:
        paths += sorted(one.rglob("*.expect")) if one.is_dir() else [one]
    if not paths:
        raise BadStatement(f"{', '.join(map(str, files))}: no *.expect file")
    return Book([read_statement_file(path) for path in paths])


def _some(book: Book, given: Given, draws: int, names: list[str]) -> tuple[list[Verdict], Coverage]:
    judge = Evaluator(book, given.deployment(), draws)
    return list(judge.evaluate_all(names)), judge.coverage


def run(
    book: Book, given: Given, draws: int, only: tuple[str, ...], jobs: int
) -> tuple[Evaluator, list[Verdict]]:
    """All verdicts in the book's order; statements are dealt out to `jobs` processes, each of them stands alone."""
    for name in only:
        if name not in book.statements:
            raise BadStatement(f'no statement "{name}"; there are: {", ".join(list(book.statements)[:20])}')
    judge, names = Evaluator(book, given.deployment(), draws), list(only) or list(book.statements)
    if jobs < 2 or len(names) * len(given.fleet.servers) < WORTH_SHARING:
        return judge, list(judge.evaluate_all(names))
    parts = [names[start :: jobs * 4] for start in range(min(len(names), jobs * 4))]
    found: dict[str, Verdict] = {}
    with ProcessPoolExecutor(jobs) as pool:
        for verdicts, touched in pool.map(partial(_some, book, given, draws), parts):
            found |= {one.statement.name: one for one in verdicts}
            judge.coverage.add(touched)
    return judge, [found[name] for name in names]


def show(console: Console, judge: Evaluator, verdicts: list[Verdict], causes: int) -> None:
    """Those that do not hold, with what the first few hang on; then one line."""
    colours = {"holds": "green", "fails": "red", "vacuous": "yellow", "can't apply": "magenta"}
    told = 0
    for one in verdicts:
        if one.passed:
            continue
        guard = " (guard)" if one.statement.guard else ""
        console.print(
            f"[{colours[one.label()]}]{one.label()}[/]{guard}: [bold]{escape(one.statement.name)}[/]  "
            f"[dim]{one.file}:{one.statement.line}[/]",
            highlight=False,
        )
        console.print(f"  {escape(one.reason())}", highlight=False)
        if told < causes and one.label() == "fails":
            told += 1
            for line in report.describe_cause(judge, one.statement.name):
                console.print(f"  {escape(line)}", highlight=False)
    for one_name, other, text in judge.book.contradictions(judge.sets):
        both = f'"{one_name}" and "{other}"' if one_name != other else f'"{one_name}" and itself'
        console.print(f"[yellow]contradict each other[/]: {escape(both)}: {escape(text)}", highlight=False)
    counts = Counter(one.label() for one in verdicts)
    console.print(
        ", ".join(f"{counts[word]} {word}" for word in colours if counts[word]) or "no statement",
        highlight=False,
    )


def coverage(console: Console, book: Book, judge: Evaluator) -> None:
    table = Table(title="What no statement touches", title_justify="left")
    table.add_column("")
    table.add_column("")
    for subject, left in uncovered.uncovered_subjects(book, judge.deployment, judge).items():
        more = f" and {len(left) - 12} more" if len(left) > 12 else ""
        table.add_row(subject, escape(", ".join(left[:12])) + more if left else "[green]none[/]")
    console.print(table)


def _noticed(book: Book, before: dict[str, str], order: list[str], mutation: mutate.Mutation) -> str | None:
    return mutate.noticed_by(book, mutation, before, order)


def mutations(console: Console, book: Book, given: Given, most: int, as_json: bool, jobs: int) -> float:
    """Shows the changes that no statement notices; gives the share that is noticed."""
    before = mutate.verdict_words(book, given.settings, given.fleet)
    changes = list(mutate.mutations(given.settings, given.fleet, most))
    with ProcessPoolExecutor(jobs) as pool:
        found = list(pool.map(partial(_noticed, book, before, list(before)), changes, chunksize=4))
    noticed = sum(one is not None for one in found)
    share = noticed / max(1, len(changes))
    if as_json:
        click.echo(
            json.dumps(
                {
                    "changes": len(changes),
                    "noticed": noticed,
                    "share": round(share, 4),
                    "unnoticed": [one.text for one, by in zip(changes, found) if by is None],
                },
                indent=2,
            )
        )
        return share
    table = Table(
        title=f"{noticed} of {len(changes)} changes noticed ({share:.0%}); these are not",
        title_justify="left",
    )
    table.add_column("what")
    table.add_column("change")
    for one, by in zip(changes, found):
        if by is None:
            table.add_row(one.kind, escape(one.text))
    console.print(table)
    return share


def watch(files: tuple[Path, ...], more: list[Path], once: partial[None]) -> None:
    """Runs again whenever one of the files has changed, until it is interrupted."""
    world = RealWorld()

    def seen() -> dict[Path, tuple[int, int]]:
        found = {}
        for one in [*files, *more]:
            for path in sorted(one.rglob("*.expect")) if one.is_dir() else [one]:
                try:
                    about = path.stat()
                except OSError:
                    continue  # being replaced
                found[path] = about.st_mtime_ns, about.st_size
        return found

    def look() -> Coro[None]:
        last: dict[Path, tuple[int, int]] = {}
        while True:
            now = seen()
            if now != last:
                last = now
                click.clear()
                try:
                    once()
                except (BadStatement, settings_package.BadSettings) as wrong:
                    click.echo(str(wrong), err=True)
            yield from world.sleep(GLANCE)

    try:
        world.run(look())
    except KeyboardInterrupt:
        pass


def formatted(files: tuple[Path, ...], check: bool) -> Iterator[Path]:
    """Writes each file in its one form (only if that changes it, and not at all with `check`); gives those changed."""
    for one in files:
        for path in sorted(one.rglob("*.expect")) if one.is_dir() else [one]:
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
    cover: bool,
    jobs: int,
) -> bool:
    """One run over all statements; whether all hold and none contradict. Raises BadStatement and BadSettings."""
    console = Console(soft_wrap=True)
    book = books(files)
    judge, verdicts = run(
        book, configuration(config, sets, fleet), draws, tuple(dict.fromkeys((*only, *explain))), jobs
    )
    clashes = book.contradictions(judge.sets)
    if junit is not None:
        junit.write_text(report.as_junit(verdicts), encoding="utf-8")
    tree = report.as_json(verdicts, clashes)
    if against is not None:
        _, before = run(
            book, configuration(against, sets, None), draws, tuple(dict.fromkeys((*only, *explain))), jobs
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
    if cover:
        tree["untouched"] = uncovered.uncovered_subjects(book, judge.deployment, judge)
    if as_json:
        click.echo(json.dumps(tree, indent=2))
    else:
        for name in explain:
            verdict = next(one for one in verdicts if one.statement.name == name)
            console.print(f"[bold]{escape(name)}[/]: {verdict.label()}", highlight=False)
            for _, line in verdict.statement.lines():
                console.print(f"  {escape(line)}", highlight=False)
            if verdict.reason():
                console.print(escape(verdict.reason()), highlight=False)
            for line in report.explain_run(judge, name, verdict):
                console.print(escape(line), highlight=False)
        show(console, judge, verdicts, causes=3)
        if cover:
            coverage(console, book, judge)
    return all(one.passed for one in verdicts) and not clashes


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
    cover: bool,
    mutate_it: bool,
    most: int | None,
    watching: bool,
    jobs: int,
) -> int:
    """Exit code. Raises BadStatement and BadSettings."""
    if mutate_it:
        given = configuration(config, sets, fleet)
        mutations(
            Console(soft_wrap=True), books(files), given, SAMPLED if most is None else most, as_json, jobs
        )
        return 0
    again = partial(
        once, files, config, sets, fleet, draws, only, against, explain, as_json, junit, cover, jobs
    )
    if watching:
        watch(files, [config, *([fleet] if fleet else [])], partial(_ignore, again))
        return 0
    return 0 if again() else 1


def _ignore(call: "partial[bool]") -> None:
    call()
    sys.stdout.flush()

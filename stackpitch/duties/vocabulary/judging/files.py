"""From the files beside the settings to what is seen there, and to verdicts. Reads files; keeps nothing."""

from collections.abc import Generator
from pathlib import Path
from typing import Any

import msgspec

from stackpitch.duties.vocabulary.catalogue import Listing, digest_of, read_listing, read_vocabulary
from stackpitch.duties.vocabulary.catalogue.reading import read_bytes
from stackpitch.duties.vocabulary.change.states import Summary
from stackpitch.duties.vocabulary.errors import VocabularyError
from stackpitch.duties.vocabulary.profiles import Profiles, read_profiles
from stackpitch.duties.vocabulary.verdicts import Judge, Pair, ProfileVerdict, Word, measured
from stackpitch.duties.vocabulary.verdicts.judge import digest

WORST = 20  # profiles named in a summary


class Files(msgspec.Struct, frozen=True):
    """Paths; names of customers and products that profiles may speak of, None: not known."""

    listing: str
    profiles: str
    customers: tuple[str, ...] | None = None
    products: tuple[str, ...] | None = None


class Looked(msgspec.Struct, frozen=True):
    """`problem` and `remedy`: why nothing else counts. Digest by name of vocabulary; by profile and by default, the names."""

    problem: str = ""
    remedy: str = ""
    vocabularies: dict[str, str] = {}
    profiles: str = ""
    written_for: dict[str, str] = {}  # vocabulary's name by profile
    customers: dict[
        str, str
    ] = {}  # by customer, by product, of the file: whom no profile or request says otherwise for
    products: dict[str, str] = {}
    default: str = ""
    paths: tuple[str, ...] = ()  # of all that was read
    parameters: dict[str, dict[str, Any]] = {}  # by profile


class Task(msgspec.Struct, frozen=True):
    """Names of vocabularies in the list; empty: only to be looked at."""

    files: Files
    old: str = ""
    new: str = ""


class Outcome(msgspec.Struct, frozen=True):
    """`verdicts`: as `Verdicts` encodes them; its digest is that of the bytes."""

    problem: str = ""
    remedy: str = ""
    summary: Summary | None = None
    verdicts: bytes = b""


def _read(files: Files) -> tuple[Listing, Profiles]:
    listing = read_listing(Path(files.listing))
    return listing, read_profiles(Path(files.profiles), listing.vocabularies, files.customers, files.products)


def looked(files: Files) -> Looked:
    """Without the library."""
    try:
        listing, profiles = _read(files)
        beside = Path(files.listing).parent
        digests = {
            name: digest_of(read_bytes(beside / one.file), str(beside / one.file), tuple(one.end))
            for name, one in sorted(listing.vocabularies.items())
        }
    except VocabularyError as wrong:
        return Looked(str(wrong), wrong.remedy)
    return Looked(
        "",
        "",
        digests,
        profiles.digest(),
        {name: profiles.written_for(name) or "" for name in profiles.profiles},
        profiles.customers,
        profiles.products,
        profiles.vocabulary or "",
        (files.listing, files.profiles, *(str(beside / one.file) for one in listing.vocabularies.values())),
        {name: one.parameters.given() for name, one in profiles.profiles.items()},
    )


def marks(paths: tuple[str, ...]) -> tuple[tuple[int, int, int], ...]:
    """What tells whether files may have changed since, without reading them: inode, size, time; zeros for what is gone."""
    found = []
    for path in paths:
        try:
            stat = Path(path).stat()
            found.append((stat.st_ino, stat.st_size, stat.st_mtime_ns))
        except OSError:
            found.append((0, 0, 0))
    return tuple(found)


def judged(task: Task) -> Generator[None, None, Outcome]:
    """A step for each file and each profile."""
    try:
        listing, profiles = _read(task.files)
        old, new = (listing.known(name, "change") for name in (task.old, task.new))
        beside = Path(task.files.listing).parent
        before = read_vocabulary(beside / old.file, task.old, tuple(old.end))
        yield
        after = read_vocabulary(beside / new.file, task.new, tuple(new.end))
        yield
        pair, ratio = Pair(before, after), measured(before, after, listing.samples)
        yield
        digests = {name: before.digest for name, one in listing.vocabularies.items() if one == old}
        judge = Judge(pair, ratio, profiles, digests)
        verdicts: list[ProfileVerdict] = []
        for one in judge.steps():
            verdicts.append(one)
            yield
    except VocabularyError as wrong:
        return Outcome(str(wrong), wrong.remedy)
    raw = judge.done(verdicts).encoded()
    counts: dict[Word, int] = {}
    for one in verdicts:
        counts[one.word] = counts.get(one.word, 0) + 1
    gone = [one.name for one in verdicts if one.lost]
    summary = Summary(
        digest(raw), len(verdicts), len(gone), judge.share(verdicts), counts, tuple(gone[:WORST])
    )
    return Outcome("", "", summary, raw)

"""Days that tests ask for: each played by the program as it is, in a process of its own, a few beside each other.

    @plays(lambda play, seed: [made_up(DAY, f"play={play}", f"seed={seed}")])
    @pytest.mark.parametrize(...)
    def test_something(play, seed, played): played[0].found["rules"], played[0].folder

What is given to `plays` says from the test's parameters which days it judges. They begin with the session, in the order in
which their tests come, and a test waits for its own. A day in made-up time has the same records whatever runs beside it.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from threading import Lock
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
LONGEST = 150  # seconds that a day may take


@dataclass(frozen=True)
class Play:
    """`words`: of the command line, after the day's file. Equal ones are played once: nobody changes what a day left."""

    words: tuple[str, ...]
    virtual: bool  # one process that is always busy; else many that mostly wait
    alone: bool = False  # with no other day beside it
    hash_seed: str = ""  # which orders the interpreter's sets


@dataclass(frozen=True)
class Played:
    printed: str
    exit: int
    folder: Path  # of its records and logs

    @property
    def found(self) -> dict[str, Any]:
        """The outcome, with `exit`."""
        return json.loads(self.printed) | {"exit": self.exit}


def made_up(day: str, *sets: str, more: Iterable[str] = (), hash_seed: str = "") -> Play:
    """A day in the virtual world."""
    return Play((day, "--virtual", *settings(sets), *more), True, hash_seed=hash_seed)


def seeds(day: str, first: int, last: int) -> Play:
    """A day in the virtual world with each of these seeds, told as text."""
    return Play((day, "--virtual", "--seeds", f"{first}..{last}"), True)


def as_processes(day: str, *sets: str, more: Iterable[str] = (), alone: bool = False) -> Play:
    return Play((day, *settings(sets), *more), False, alone)


def settings(sets: tuple[str, ...]) -> list[str]:
    return [word for one in sets for word in ("--set", one)]


def plays(which: Callable[..., list[Play]]) -> pytest.MarkDecorator:
    return pytest.mark.plays.with_args(which)  # called with a function alone, a mark would decorate that one


def asked_by(item: pytest.Item) -> list[Play]:
    """The days that a collected test judges."""
    mark = item.get_closest_marker("plays")
    if mark is None:
        return []
    callspec = getattr(item, "callspec", None)
    (which,) = mark.args
    found: list[Play] = which(
        **{name: value for name, value in (callspec.params if callspec else {}).items()}
    )
    return found


@dataclass
class Plays:
    """All days of a session. Filled once, emptied at its end."""

    folder: Path
    processors: int = field(default_factory=lambda: len(os.sched_getaffinity(0)))

    def __post_init__(self) -> None:
        # Few, so that what is tested meanwhile, and days that keep to the clock, aren't held up.
        self.virtual = ThreadPoolExecutor(max(1, min(3, self.processors // 4)))
        self.waiting = ThreadPoolExecutor(max(1, min(3, self.processors // 2)))
        self.begun: dict[Play, Future[Played]] = {}
        self.under_way: set[subprocess.Popen[bytes]] = set()
        self.lock, self.over = Lock(), False

    def begin(self, wanted: Iterable[Play]) -> None:
        for one in wanted:
            if one not in self.begun and not one.alone:
                self.begun[one] = (self.virtual if one.virtual else self.waiting).submit(self._play, one)

    def outcome(self, one: Play) -> Played:
        """Waits for it. Raises what it ended with, if it gave no outcome."""
        if one not in self.begun:
            for other in self.begun.values():
                other.exception()
            self.begun[one] = self.waiting.submit(self._play, one)
        return self.begun[one].result()

    def end(self) -> None:
        """Ends what nobody waits for any more."""
        with self.lock:
            self.over = True
            for one in self.under_way:
                one.kill()
        for pool in (self.virtual, self.waiting):
            pool.shutdown(cancel_futures=True)

    def _play(self, one: Play) -> Played:
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        command = [sys.executable, "-m", "stackpitch", "rehearse", *one.words]
        command += [] if "--seeds" in one.words else ["--json", "--keep", str(folder)]
        environment = os.environ | ({"PYTHONHASHSEED": one.hash_seed} if one.hash_seed else {})
        with self.lock:
            if self.over:
                raise RuntimeError("the session is over")
            process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, stderr=subprocess.PIPE
            )
            self.under_way.add(process)
        try:
            printed, complaints = process.communicate(timeout=LONGEST)
        finally:
            process.kill()
            process.wait()
            with self.lock:
                self.under_way.discard(process)
        assert printed, complaints.decode()[-2000:]
        return Played(printed.decode(), process.returncode, folder)

"""What mutants share: how they are described, and how they note that they have acted."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ACTED = "SOAK_ACTED"  # names the file that has one byte for each act, in the environment of a gateway process


@dataclass(frozen=True, slots=True)
class Mutant:
    """A gateway that is broken on purpose. `term`: which of the table in docs/promises.md it breaks. `apply`: changes the
    program that this process is about to run."""

    term: str
    apply: Callable[[], None]

    @property
    def what(self) -> str:
        """In one line."""
        return (self.apply.__doc__ or "").splitlines()[0]


def acted() -> None:
    """Notes one act."""
    path = os.environ.get(ACTED)
    if path is None:
        return
    file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    os.write(file, b".")
    os.close(file)


def acts(path: Path) -> int:
    """How many acts all processes of a run have noted."""
    return path.stat().st_size if path.exists() else 0


def every(number: int) -> Callable[[], bool]:
    """True at each so-manieth call."""
    calls = 0

    def due() -> bool:
        nonlocal calls
        calls += 1
        return calls % number == 0

    return due


def patch(owner: Any, name: str, by: Any) -> None:
    """Puts `by` in the place of a method or function of the program."""
    setattr(owner, name, by)

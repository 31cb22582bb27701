"""What all parts of a day share: its places, their ports, its folder, clock and chance.

Ports lie below the system's range for outgoing connections, so that none is lost to one while its engine is down.
"""

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from stackpitch.loop import Time, World
from stackpitch.rehearse.day import Day, Trouble
from stackpitch.rehearse.director.places import HOST, TRAP, Net, Post, Seat, Source
from stackpitch.rehearse.records import Recorder

if TYPE_CHECKING:  # the library is for days with vocabularies alone
    from stackpitch.rehearse.director.vocabularies import Vocabularies

FIRST_PORT, LAST_PORT = 18000, 31000


class Stage:
    """One day in one folder."""

    def __init__(
        self, world: World, day: Day, folder: Path, broken: str | None, say: Callable[[str], None]
    ) -> None:
        self.world, self.day, self.folder, self.broken, self.say = world, day, folder, broken, say
        self.random = world.rng("director")
        self.recorder = Recorder(world, folder / "director.jsonl", "director")
        self.seats: dict[str, Seat] = {}
        self.posts: dict[str, Post] = {}
        self.trap: Seat | None = None
        self.net: Net | None = None  # where gateways have duties
        self.vocabularies: Vocabularies | None = None  # where the day has two
        self.origin: Source | None = None  # where the day has weights
        self.editing = False  # lists are written by editors from now on
        self.stopping = False
        self.next_port = FIRST_PORT + os.getpid() * 211 % (LAST_PORT - FIRST_PORT)
        self.start: Time = 0

    def port(self) -> int:
        """A free one. Where the search begins differs from process to process: days may be played side by side."""
        while True:
            self.next_port = FIRST_PORT + (self.next_port + 1 - FIRST_PORT) % (LAST_PORT - FIRST_PORT)
            port = self.next_port
            try:
                self.world.listen((HOST, port), 1).close()
            except OSError:
                continue
            return port

    def lay_out(self) -> None:
        counts: dict[str, int] = {}
        for group in self.day.fleet:
            made_of = self.day.kinds[group.kind]
            letter = made_of.role[0]
            for number in range(group.count):
                counts[letter] = counts.get(letter, 0) + 1
                name = f"{letter}{counts[letter]}"
                self.seats[name] = Seat(
                    name,
                    group.kind,
                    made_of,
                    group.cells[number % len(group.cells)],
                    group.zone,
                    self.port(),
                    self.port(),
                    group.born_cold,
                )
        if any(one.kind == "edits" for one in self.day.troubles):
            kind = next(name for name, one in self.day.kinds.items() if one.role == "writer")
            self.trap = Seat(TRAP, kind, self.day.kinds[kind], 1, "", self.port(), self.port(), False)
        if self.day.vocabulary is not None:
            from stackpitch.rehearse.director import vocabularies

            self.vocabularies = vocabularies.Vocabularies(
                self.day, self.world.rng("vocabularies"), self.folder
            )
            self.vocabularies.lay_out()
        for number in range(self.day.gateways):
            self.posts[f"g{number}"] = Post(
                f"g{number}", number, self.port(), self.port(), votes=str(self.folder / f"g{number}.votes")
            )
        if self.day.weights is not None:
            self.origin = Source(self.port(), self.port())
        if self.day.duties.voters:
            numbers = range(self.day.gateways)
            self.net = Net(
                self.port(),
                {(one, other): self.port() for one in numbers for other in numbers if one != other},
            )

    def command(self, *words: str) -> list[str]:
        return [sys.executable, "-m", "stackpitch", *words]

    def kill(self, seat: Seat | Post, number: int = signal.SIGKILL) -> None:
        if seat.child is not None:
            self.recorder.note("killed", name=seat.name, signal=number)
            seat.child.signal(number)

    def struck(self, trouble: Trouble) -> list[Seat]:
        if trouble.names:
            return [self.seats[name] for name in trouble.names]
        able = [
            one
            for one in self.seats.values()
            if trouble.role in ("any", one.made_of.role) and trouble.cell in (None, one.cell)
        ]
        if trouble.cell is not None and trouble.part >= 1:
            return able
        return self.random.sample(able, max(1, min(len(able), round(trouble.part * len(able)))))

    def last_line(self, name: str) -> str:
        """Of a process's log."""
        try:
            lines = (self.folder / f"{name}.log").read_text().strip().splitlines()
        except OSError:
            lines = []
        return lines[-1][:300] if lines else "it logged nothing"

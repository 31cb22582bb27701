"""What stand-ins saw, a JSON line each, with the machine's monotonic time in tenths of a millisecond."""

import json
import os
from pathlib import Path
from typing import Any

from stackpitch.loop import World

Record = dict[str, Any]


class Recorder:
    """Appends lines to one file of one process; each is handed to the system at once, so a kill loses none."""

    def __init__(self, world: World, path: Path, who: str) -> None:
        self.world, self.who = world, who
        self.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def note(self, what: str, **facts: Any) -> None:
        if self.world.closing:
            return
        line = json.dumps({"at": self.world.now(), "who": self.who, "what": what, **facts}) + "\n"
        os.write(self.descriptor, line.encode())


def read_all(folder: Path) -> list[Record]:
    """All records of a folder by time; a line cut short by a kill is left out."""
    found: list[Record] = []
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
    found.sort(key=lambda one: one["at"])
    return found

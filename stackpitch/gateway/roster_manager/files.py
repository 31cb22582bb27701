"""The files that a gateway reads its lists and settings from: where they lie, and whether they have changed."""

import os
from pathlib import Path
from typing import Any

from stackpitch.loop import Coro, Watch, World
from stackpitch.membership.bundle import config_files
from stackpitch.settings import Settings
from stackpitch.settings.convert import ticks

Prints = dict[str, Any]  # by file, what tells, without reading, that it is another one or was written


def folders(config: Path | None, settings: Settings) -> list[str]:
    """The folders of all files and of all links on the way to them."""
    found: dict[str, None] = {}
    for path in config_files(config, settings):
        for _ in range(20):
            found[os.path.dirname(os.path.abspath(path))] = None
            try:
                link = os.readlink(path)
            except OSError:
                break
            path = path.parent / link
        found[os.path.dirname(os.path.realpath(path))] = None
    for one in settings.statements:
        if os.path.isdir(one):
            found[os.path.abspath(one)] = None
    return list(found)


def prints(config: Path | None, settings: Settings) -> Prints:
    found: Prints = {}
    for path in config_files(config, settings):
        try:
            about = os.stat(path)
            found[str(path)] = about.st_dev, about.st_ino, about.st_size, about.st_mtime_ns, about.st_mode
        except OSError as wrong:
            found[str(path)] = wrong.errno
    return found


def quiet(world: World, config: Path | None, settings: Settings, seen: Prints) -> Coro[bool]:
    """Until the files have not changed for `settle_ms`; False if they did not come to rest."""
    membership = settings.membership
    end = world.now() + ticks(membership.settle_most_ms)
    while world.now() < end:
        yield from world.sleep(ticks(membership.settle_ms))
        now = prints(config, settings)
        if now == seen:
            return True
        seen = now
    return False


def happened(world: World, watch: Watch | None, limit: int) -> Coro[None]:
    """Until the watch tells of a change, or `limit` is over."""
    with world.limit(limit):
        if watch is not None:
            yield from watch.wait()
        else:
            yield from world.sleep(limit)

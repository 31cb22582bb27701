"""The files that a gateway reads: where they are, and whether they have changed."""

import os
from pathlib import Path
from typing import Any

from stackpitch.loop import Coro, Watch, World
from stackpitch.membership.bundle import config_files
from stackpitch.settings import Settings
from stackpitch.settings.convert import ticks

# By file, what tells without reading it that it was written or replaced; the error number if it can't be
# examined.
FileStats = dict[str, Any]


def folders(config: Path | None, settings: Settings) -> list[str]:
    """The folders of all files, and of all symbolic links on the way to them."""
    paths: dict[str, None] = {}
    for path in config_files(config, settings):
        for _ in range(20):
            paths[os.path.dirname(os.path.abspath(path))] = None
            try:
                link = os.readlink(path)
            except OSError:
                break
            path = path.parent / link
        paths[os.path.dirname(os.path.realpath(path))] = None
    for folder in settings.statements:
        if os.path.isdir(folder):
            paths[os.path.abspath(folder)] = None
    return list(paths)


def file_stats(config: Path | None, settings: Settings) -> FileStats:
    """The current state of all files."""
    stats: FileStats = {}
    for path in config_files(config, settings):
        try:
            stat = os.stat(path)
            stats[str(path)] = stat.st_dev, stat.st_ino, stat.st_size, stat.st_mtime_ns, stat.st_mode
        except OSError as error:
            stats[str(path)] = error.errno
    return stats


def settled(world: World, config: Path | None, settings: Settings, stats: FileStats) -> Coro[bool]:
    """Waits until the files have not changed for `settle_ms`; False if they still change after
    `settle_most_ms`."""
    membership = settings.membership
    end = world.now() + ticks(membership.settle_most_ms)
    while world.now() < end:
        yield from world.sleep(ticks(membership.settle_ms))
        current = file_stats(config, settings)
        if current == stats:
            return True
        stats = current
    return False


def wait_for_change(world: World, watch: Watch | None, limit: int) -> Coro[None]:
    """Returns when the watch reports a change, or after `limit`."""
    with world.limit(limit):
        if watch is not None:
            yield from watch.wait()
        else:
            yield from world.sleep(limit)

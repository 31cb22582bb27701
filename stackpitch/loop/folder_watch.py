"""Folder watches of the real world, on inotify."""

import select
from collections.abc import Sequence
from typing import TYPE_CHECKING

from inotify_simple import INotify, flags

from stackpitch.loop.real.interest import Interest
from stackpitch.loop.task import Coro, Task

if TYPE_CHECKING:
    from stackpitch.loop.real import RealWorld

WATCHED = (
    flags.CREATE
    | flags.DELETE
    | flags.MOVED_FROM
    | flags.MOVED_TO
    | flags.CLOSE_WRITE
    | flags.MODIFY
    | flags.ATTRIB
    | flags.DELETE_SELF
    | flags.MOVE_SELF
)


class RealWatch:
    """An inotify descriptor registered with the world's epoll."""

    def __init__(self, world: "RealWorld", inotify: INotify) -> None:
        self.world, self.inotify, self.hint = world, inotify, False
        self.waiter: Task | None = None
        self.watches: dict[str, int] = {}  # watch descriptor by folder; at most those of `set_folders`
        self.interest = Interest(world, inotify.fileno(), select.EPOLLIN, self.on_event)

    def set_folders(self, folders: Sequence[str]) -> None:
        for folder in [watched for watched in self.watches if watched not in folders]:
            self._drop(folder)
        for folder in folders:
            # Added each time: a folder replaced under the same name is a different inode, and adding a watch
            # that exists already has no effect.
            try:
                self.watches[folder] = self.inotify.add_watch(folder, WATCHED)
            except OSError:
                self.watches.pop(folder, None)

    def _drop(self, folder: str) -> None:
        try:
            self.inotify.rm_watch(self.watches.pop(folder))
        except OSError:
            pass  # removed together with its folder

    def on_event(self, events: int) -> None:
        try:
            self.inotify.read(timeout=0)  # the events are only hints: callers look at the files themselves
        except OSError:
            pass
        self.hint = True
        if self.waiter is not None:
            self.waiter.wake()

    def wait(self) -> Coro[None]:
        while not self.hint:
            self.waiter = self.world.current
            try:
                yield
            finally:
                self.waiter = None
        self.hint = False

    def close(self) -> None:
        self.interest.end()
        self.inotify.close()


def open_watch(world: "RealWorld") -> RealWatch | None:
    """None if inotify is unavailable or its limits are reached."""
    try:
        return RealWatch(world, INotify(nonblocking=True))
    except OSError:
        return None

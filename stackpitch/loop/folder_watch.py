"""Folders of the real world watched for changes."""

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
    """An inotify descriptor on this world's epoll."""

    def __init__(self, world: "RealWorld", inotify: INotify) -> None:
        self.world, self.inotify, self.hint = world, inotify, False
        self.waiter: Task | None = None
        self.watches: dict[str, int] = {}  # as many as folders are aimed at
        self.interest = Interest(world, inotify.fileno(), select.EPOLLIN, self.on_event)

    def set_folders(self, folders: Sequence[str]) -> None:
        for folder in [one for one in self.watches if one not in folders]:
            self._drop(folder)
        for folder in folders:
            # Added anew each time: a folder that was replaced under its name is another one, and adding one that is
            # watched already changes nothing.
            try:
                self.watches[folder] = self.inotify.add_watch(folder, WATCHED)
            except OSError:
                self.watches.pop(folder, None)

    def _drop(self, folder: str) -> None:
        try:
            self.inotify.rm_watch(self.watches.pop(folder))
        except OSError:
            pass  # it went with its folder

    def on_event(self, events: int) -> None:
        try:
            self.inotify.read(timeout=0)  # what it says matters little: whoever waits looks at the files
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


def watching(world: "RealWorld") -> RealWatch | None:
    try:
        return RealWatch(world, INotify(nonblocking=True))
    except OSError:
        return None

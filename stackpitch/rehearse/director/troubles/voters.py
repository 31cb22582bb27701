"""Troubles on voters' files, each with a restart: gone, an older copy, another voter's while that runs."""

import os

from stackpitch.loop import Coro, Files, Group, Time
from stackpitch.rehearse.day import Trouble
from stackpitch.rehearse.director.places import Post
from stackpitch.rehearse.director.stage import Stage
from stackpitch.rehearse.director.troubles.gateways import Gateways
from stackpitch.rehearse.director.troubles.struck import gateways

COPY_TRIES = 20


class Voters:
    """Brings one trouble. Files are the world's: on this machine's disk or in memory."""

    def __init__(self, stage: Stage, processes: Gateways) -> None:
        self.stage, self.processes = stage, processes

    def bring(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        posts = yield from gateways(self.stage, trouble)
        self.stage.say(f"{trouble.kind} of {', '.join(one.name for one in posts)}")
        if trouble.kind == "voter-twin":
            yield from self.twin(group, posts[0], posts[1], lasts)
        else:
            for post in posts:
                if trouble.kind == "voter-older":
                    copy(self.stage.world.files(), post.votes, f"{post.votes}.older")
            if trouble.kind == "voter-older":
                yield from self.stage.world.sleep(lasts // 2)  # in which it promises more
                lasts -= lasts // 2
            yield from self.changed(group, posts, lasts, trouble.kind == "voter-older")
        self.stage.say(f"{trouble.kind} over")

    def changed(self, group: Group, posts: list[Post], lasts: Time, older: bool) -> Coro[None]:
        turns = [(post, self.processes.kill(post)) for post in posts]
        for post in posts:
            if post.child is not None:
                yield from post.child.wait()
            self.stage.recorder.note("file", name=post.name, older=older)
            files = self.stage.world.files()
            if older:
                files.rename(f"{post.votes}.older", post.votes)
            else:
                files.rename(post.votes, f"{post.votes}.gone")
            files.sync_folder(os.path.dirname(post.votes))
        yield from self.stage.world.sleep(lasts)
        for post, turn in turns:
            yield from self.processes.back(group, post, turn)
            self.stage.recorder.note("file-over", name=post.name)

    def twin(self, group: Group, one: Post, other: Post, lasts: Time) -> Coro[None]:
        """The other is started with the one's file."""
        own = other.votes
        for votes, what, wait in ((one.votes, "file", lasts), (own, "file-over", 0)):
            turn = self.processes.kill(other)
            if what == "file":
                self.stage.recorder.note(what, name=other.name, twin=one.name)
            other.votes = votes
            yield from self.processes.back(group, other, turn)
            if what == "file-over":
                self.stage.recorder.note(what, name=other.name)
            yield from self.stage.world.sleep(wait)


def copy(files: Files, path: str, beside: str) -> None:
    """Guards the day against faults of the disk that are meant for the voters: a copy that fails is made again. Raises
    OSError where none succeeds."""
    for left in reversed(range(COPY_TRIES)):
        try:
            _copy_once(files, path, beside)
            return
        except OSError:
            if not left:
                raise


def _copy_once(files: Files, path: str, beside: str) -> None:
    source = files.open(path, create=True)
    try:
        data = files.read(source, 0, files.size(source))
    finally:
        files.close(source)
    sink = files.open(beside, create=True, empty=True)
    try:
        while data:
            data = data[files.write(sink, data) :]
        files.sync(sink)
    finally:
        files.close(sink)
    files.sync_folder(os.path.dirname(beside))

"""Troubles on gateways' processes: kills, ends and stops, and what comes after."""

import signal

from stackpitch.loop import Coro, Group, Time
from stackpitch.rehearse.day import Trouble
from stackpitch.rehearse.director.lists import Lists
from stackpitch.rehearse.director.places import Post
from stackpitch.rehearse.director.processes import Processes
from stackpitch.rehearse.director.stage import Stage
from stackpitch.rehearse.director.troubles.struck import gateways


class Gateways:
    """Brings one trouble, and takes it away after `lasts`."""

    def __init__(self, stage: Stage, lists: Lists, processes: Processes) -> None:
        self.stage, self.lists, self.processes = stage, lists, processes

    def bring(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """A roll takes them one after another."""
        posts = yield from gateways(self.stage, trouble)
        self.stage.say(f"{trouble.kind} of {', '.join(one.name for one in posts)}")
        turns: list[tuple[Post, int]]
        together = [[one] for one in posts] if trouble.kind == "gateway-roll" else [posts]
        for some in together:
            if trouble.kind == "gateway-stop":
                yield from self.stop(some, lasts)
                continue
            turns = []
            for post in some:
                if trouble.kind == "gateway-term":
                    turns.append((post, (yield from self.end(post))))
                else:
                    turns.append((post, self.kill(post)))
            yield from self.stage.world.sleep(lasts // len(together))
            for post, turn in turns:
                yield from self.back(group, post, turn)
        self.stage.say(f"{trouble.kind} over")

    def stop(self, posts: list[Post], lasts: Time) -> Coro[None]:
        """SIGSTOP, and SIGCONT unless it was killed meanwhile."""
        children = [(post, post.child) for post in posts if post.child is not None]
        for post, child in children:
            self.stage.recorder.note("stopped", name=post.name)
            child.signal(signal.SIGSTOP)
        yield from self.stage.world.sleep(lasts)
        for post, child in children:
            if child is post.child and child.code() is None:
                self.stage.recorder.note("continued", name=post.name)
                child.signal(signal.SIGCONT)

    def kill(self, post: Post) -> int:
        """Gives whose turn it is to bring it back: if another trouble strikes meanwhile, the other's."""
        post.ends += 1
        self.stage.kill(post)
        return post.ends

    def end(self, post: Post) -> Coro[int]:
        """SIGTERM: it finishes what it holds."""
        post.ends += 1
        turn = post.ends
        if post.child is not None:
            self.stage.recorder.note("ended", name=post.name)
            post.child.signal(signal.SIGTERM)
            yield from post.child.wait()
            self.stage.recorder.note("killed", name=post.name, signal=signal.SIGTERM)
        return turn

    def back(self, group: Group, post: Post, turn: int) -> Coro[None]:
        """A restart with the last list only."""
        if post.child is not None:
            yield from post.child.wait()
        if not self.stage.stopping and post.ends == turn:
            self.processes.start_gateway(post)
            try:
                yield from self.processes.up(post)
            except RuntimeError:
                if post.ends != turn:
                    return  # ended once more before it listened
                raise
            self.lists.note_told(post)  # by its last list
            if not self.stage.editing:
                group.spawn(self.lists.tell_one(post), f"tell {post.name}")

"""Troubles on gateways: kills and restarts."""

from stackpitch.loop import Coro, Group, Time
from stackpitch.rehearse.day import Trouble
from stackpitch.rehearse.director.calls import reachable
from stackpitch.rehearse.director.lists import Lists
from stackpitch.rehearse.director.processes import Processes
from stackpitch.rehearse.director.stage import Stage


class Gateways:
    """Brings one trouble, and takes it away after `lasts`."""

    def __init__(self, stage: Stage, lists: Lists, processes: Processes) -> None:
        self.stage, self.lists, self.processes = stage, lists, processes

    def bring(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """SIGKILL and a restart with the last list only; a roll takes them one after another."""
        count = max(1, min(len(self.stage.posts), round(trouble.part * len(self.stage.posts))))
        posts = self.stage.random.sample(list(self.stage.posts.values()), count)
        self.stage.say(f"{trouble.kind} of {', '.join(one.name for one in posts)}")
        together = [posts] if trouble.kind == "gateway-kill" else [[one] for one in posts]
        for some in together:
            for post in some:
                self.stage.kill(post)
            yield from self.stage.world.sleep(lasts // len(together))
            for post in some:
                if post.child is not None:
                    yield from post.child.wait()
                if not self.stage.stopping:
                    self.processes.start_gateway(post)
                    yield from reachable(self.stage, post)
                    self.lists.note_told(post)  # by its last list
                    if not self.stage.editing:
                        group.spawn(self.lists.tell_one(post), f"tell {post.name}")
        self.stage.say(f"{trouble.kind} over")

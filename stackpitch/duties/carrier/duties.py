"""A gateway's duties put together: desk, voter if it is one, an owning for each duty, the works."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from stackpitch.duties.calls import MAX_MESSAGE_BYTES, Answer
from stackpitch.duties.carrier.desk import Desk
from stackpitch.duties.carrier.figures import Figures
from stackpitch.duties.carrier.learning import learn
from stackpitch.duties.carrier.owning import Owning
from stackpitch.duties.carrier.posts import Posts
from stackpitch.duties.carrier.voting import Voting
from stackpitch.duties.ownership.fence import Fence
from stackpitch.duties.work import Work
from stackpitch.loop import MS, Coro, Group, World


class Duties:
    """Also the works' `DutyHost`. `works`: those that this gateway has, by name; a duty without one is owned all the same,
    and keeps an empty record."""

    LARGEST = MAX_MESSAGE_BYTES

    def __init__(self, world: World, log: Any, figures: Figures, works: Iterable[Work] = ()) -> None:
        self.world, self.log, self.figures = world, log, figures
        self.number, self.gateways = figures.number, figures.gateways
        self.fence = Fence()
        self.works = {work.name: work for work in works}
        self.desk = Desk(log, figures, self.fence, self.works)
        self.posts = Posts(world, figures, self.desk.heard)

    def add(self, work: Work) -> None:
        """Before it runs."""
        self.works[work.name] = work

    def run(self) -> Coro[None]:
        """Runs as long as the gateway does. A fault here ends the duties, never the gateway."""
        try:
            yield from self.world.group(self._body)
        except Exception as wrong:
            self.log.exception(
                "duties_broke", why=str(wrong), meaning="it serves on without duties until restarted"
            )

    def _body(self, group: Group) -> Coro[None]:
        yield from ()
        figures, start = self.figures, self.world.unique_id()
        for duty in figures.names:
            self.desk.ownings[duty] = Owning(
                self.world,
                group,
                self.log,
                figures,
                duty,
                start,
                self.posts,
                self.fence,
                self.works.get(duty),
            )
        if figures.number in figures.voters:
            self.desk.voting = Voting(self.world, group, self.log, figures, self.posts)
            group.spawn(self.desk.voting.run(), "voter")
        group.spawn(learn(self.world, figures, self.posts, self.desk), "learn")
        for name, work in self.works.items():
            group.spawn(work.serve(), name)

    def leave(self) -> Coro[None]:
        """Hands over what is owned; returns once the voters know, or the call's limit has passed."""
        owned = [one for one in self.desk.ownings.values() if one.candidate.stage != "idle"]
        for one in self.desk.ownings.values():
            one.leave()
        if owned:
            with self.world.limit(self.figures.call):
                while self.posts.turns.in_use or any(one.scope is not None for one in owned):
                    yield from self.world.sleep(5 * MS)

    def take(self, body: bytes) -> Coro[tuple[int, bytes]]:
        return (yield from self.desk.take(body))

    def counts(self) -> Counter[tuple[str, str]]:
        """Calls by kind and what became of them; dropped ones by why."""
        return self.posts.counts + Counter(
            {("dropped", why): count for why, count in self.desk.dropped.items()}
        )

    # For works.

    def owner(self, duty: str) -> int | None:
        return self.desk.owners.get(duty)

    def ask(self, number: int, duty: str, kind: str, body: Any) -> Coro[Answer | None]:
        return (yield from self.posts.send(number, duty, kind, body=body))

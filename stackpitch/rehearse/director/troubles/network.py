"""Troubles on the network between gateways, told to its stand-in."""

from itertools import count

import msgspec

from stackpitch.loop import Coro, Time
from stackpitch.rehearse.day import Trouble
from stackpitch.rehearse.director.calls import call
from stackpitch.rehearse.director.places import HOST, Post
from stackpitch.rehearse.director.stage import Stage
from stackpitch.rehearse.director.troubles.struck import gateways
from stackpitch.rehearse.network.settings import Fault, Kind

KINDS: dict[str, Kind] = {
    "net-cut": "cut",
    "net-one-way": "cut",
    "net-slow": "slow",
    "net-hold": "hold",
    "net-repeat": "repeat",
    "net-reorder": "reorder",
    "net-half-close": "half-close",
}


class Network:
    """Brings one trouble, and takes it away after `lasts`."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.numbers = stage, count(1)

    def bring(self, trouble: Trouble, lasts: Time) -> Coro[None]:
        posts = [] if trouble.pairs else (yield from gateways(self.stage, trouble))
        paths = [
            (self.stage.posts[one].number, self.stage.posts[other].number) for one, other in trouble.pairs
        ]
        paths = paths or self.paths(posts, trouble)
        name = f"{trouble.kind} {next(self.numbers)}"
        fault = Fault(name, True, KINDS[trouble.kind], paths, trouble.strength, trouble.share)
        whom = ", ".join(one.name for one in posts) or " ".join(">".join(pair) for pair in trouble.pairs)
        self.stage.say(f"{trouble.kind} x{trouble.strength:g} at {whom}")
        yield from self.tell(fault)
        yield from self.stage.world.sleep(lasts)
        yield from self.tell(Fault(name, False))
        self.stage.say(f"{trouble.kind} over")

    def paths(self, posts: list[Post], trouble: Trouble) -> list[tuple[int, int]]:
        """Between those named and all others. One way is into them unless told otherwise: they can send and not hear."""
        way = "in" if trouble.kind == "net-one-way" and trouble.way == "both" else trouble.way
        ours = [one.number for one in posts]
        others = [one.number for one in self.stage.posts.values() if one.number not in ours]
        found = [(one, other) for one in ours for other in others]
        return (found if way != "in" else []) + (
            [(other, one) for one, other in found] if way != "out" else []
        )

    def tell(self, fault: Fault) -> Coro[None]:
        """Raises RuntimeError if the network does not take it."""
        assert self.stage.net is not None
        answer = yield from call(
            self.stage.world, (HOST, self.stage.net.port), "/fault", msgspec.json.encode(fault)
        )
        if answer is None or answer.status != 200:
            raise RuntimeError(
                f"the network did not take {fault.name}: {'no answer' if answer is None else answer.status}"
            )

"""What a gateway that starts has to know before it takes effects: the newest terms that were in service.

Guards against an owner that was stopped before this gateway's restart and is woken after it: the fence alone would have
forgotten who came later. A record is written only under a term that was won, so the voters' records tell.
"""

import msgspec

from stackpitch.duties.calls import Answer
from stackpitch.duties.carrier.desk import Desk
from stackpitch.duties.carrier.figures import Figures
from stackpitch.duties.carrier.posts import Posts
from stackpitch.duties.ownership.joining import State
from stackpitch.duties.ownership.pacing import LEARN, learn_again
from stackpitch.duties.ownership.rounds import majority
from stackpitch.duties.ownership.terms import owner_of
from stackpitch.loop import Coro, Group, World

STATE = msgspec.json.Decoder(State)


def learn(world: World, figures: Figures, posts: Posts, desk: Desk) -> Coro[None]:
    pause = LEARN
    while True:
        heard: dict[int, State] = {}
        yield from world.group(lambda group, heard=heard: _round(group, figures, posts, heard))  # type: ignore[misc]
        for state in heard.values():
            for duty, promise in state.promises.items():
                stamp = promise.kept.stamp
                if (
                    duty in figures.names
                    and stamp.term > desk.fence.known(duty).term
                    and desk.fence.admits(duty, stamp)
                ):
                    desk.owners[duty] = owner_of(stamp.term)
                    desk.ownings[duty].outdone(stamp)
        if len(heard) >= majority(len(figures.voters)):
            desk.learned = True
            return
        yield from world.sleep(pause)
        pause = learn_again(pause)


def _round(group: Group, figures: Figures, posts: Posts, heard: dict[int, State]) -> Coro[None]:
    def one(number: int) -> Coro[None]:
        answer: Answer | None = yield from posts.send(number, "", "state")
        if answer is not None and answer.yes:
            try:
                heard[number] = STATE.decode(answer.body)
            except msgspec.DecodeError:
                pass  # as if none had come

    yield from ()
    for number in figures.voters:
        group.spawn(one(number), f"learn {number}")

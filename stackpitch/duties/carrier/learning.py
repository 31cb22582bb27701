"""What a gateway that starts has to know before it takes effects: the newest terms that were in service.

Guards against an owner that was stopped before this gateway's restart and is woken after it: the fence alone would have
forgotten who came later. A record is written only under a term that was won, so the voters' records tell.
"""

import msgspec

from stackpitch.duties.calls import Answer
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.peer_calls import PeerCalls
from stackpitch.duties.carrier.receiver import CallReceiver
from stackpitch.duties.ownership.joining import State
from stackpitch.duties.ownership.pacing import LEARN_INTERVAL, next_learn_interval
from stackpitch.duties.ownership.rounds import majority
from stackpitch.duties.ownership.terms import owner_of
from stackpitch.loop import Coro, Group, World

STATE = msgspec.json.Decoder(State)


def learn(world: World, config: DutiesConfig, peer_calls: PeerCalls, receiver: CallReceiver) -> Coro[None]:
    pause = LEARN_INTERVAL
    while True:
        heard: dict[int, State] = {}
        yield from world.group(lambda group, heard=heard: _round(group, config, peer_calls, heard))  # type: ignore[misc]
        for state in heard.values():
            for duty, promise in state.promises.items():
                stamp = promise.kept.stamp
                if (
                    duty in config.names
                    and stamp.term > receiver.fence.highest_stamp(duty).term
                    and receiver.fence.admits(duty, stamp)
                ):
                    receiver.owners[duty] = owner_of(stamp.term)
                    receiver.lease_managers[duty].outdone(stamp)
        if len(heard) >= majority(len(config.voters)):
            receiver.learned = True
            return
        yield from world.sleep(pause)
        pause = next_learn_interval(pause)


def _round(group: Group, config: DutiesConfig, peer_calls: PeerCalls, heard: dict[int, State]) -> Coro[None]:
    def one(number: int) -> Coro[None]:
        answer: Answer | None = yield from peer_calls.send(number, "", "state")
        if answer is not None and answer.yes:
            try:
                heard[number] = STATE.decode(answer.body)
            except msgspec.DecodeError:
                pass  # as if none had come

    yield from ()
    for number in config.voters:
        group.spawn(one(number), f"learn {number}")

"""A gateway that starts learns the newest terms in service before it accepts effects.

Guards against an owner whose process was paused before this gateway's restart and resumes after it: the
fence, which is in memory, no longer knows the later owner. A record is written only under a term that was
granted, so the voting replicas' records show the terms.
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
    """Asks the voting replicas until a majority has answered; then `receiver.learned` is set."""
    pause = LEARN_INTERVAL
    while True:
        states: dict[int, State] = {}
        yield from world.group(lambda group, states=states: _ask_voters(group, config, peer_calls, states))  # type: ignore[misc]
        for state in states.values():
            for duty, promise in state.promises.items():
                stamp = promise.kept.stamp
                if (
                    duty in config.names
                    and stamp.term > receiver.fence.highest_stamp(duty).term
                    and receiver.fence.admits(duty, stamp)
                ):
                    receiver.owners[duty] = owner_of(stamp.term)
                    receiver.lease_managers[duty].observe_stamp(stamp)
        if len(states) >= majority(len(config.voters)):
            receiver.learned = True
            return
        yield from world.sleep(pause)
        pause = next_learn_interval(pause)


def _ask_voters(
    group: Group, config: DutiesConfig, peer_calls: PeerCalls, states: dict[int, State]
) -> Coro[None]:
    def ask(number: int) -> Coro[None]:
        answer: Answer | None = yield from peer_calls.send(number, "", "state")
        if answer is not None and answer.yes:
            try:
                states[number] = STATE.decode(answer.body)
            except msgspec.DecodeError:
                pass  # treated as no answer

    yield from ()
    for number in config.voters:
        group.spawn(ask(number), f"learn {number}")

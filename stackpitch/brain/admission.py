"""Throttles early what would likely come late, whatever the cause; few slow legs may pass for a jam."""

from stackpitch.brain.dispatcher import Dispatcher
from stackpitch.interface import MS, Generation, Time


class Admission:
    START, SPAN, LATE = 0.2, 0.3, 0.35  # of the SLO time: from there some go, then all; what may be waited
    HELD_SHARE, HELD_SAY = 0.72, 2.0  # of the writers' memory; more counts so many times as a wait does

    def __init__(self, guard: Dispatcher) -> None:
        self.dispatcher, self.fleet, self.shedding = guard, guard.fleet, False

    def sheds(self, now: Time, gen: Generation, cost: float) -> bool:
        """Whether this one has been throttled. `cost`: tokens read before it and for it, if known."""
        left, late = gen.deadline - now, self.fleet.expected_first_token(now, gen)
        readers, writers = (self.fleet.healthy(role, now) for role in ("reader", "writer"))
        wait = self.fleet.queue_wait("reader", readers, now) + self.fleet.queue_wait("writer", writers, now)
        wait = max(wait, cost * self.fleet.usual["reader"] / max(1.0, self.fleet.ahead))
        part = wait / max(1, min(gen.slo(), left))
        others = self.fleet.peer_held_share("writer", now)
        held = sum(self.fleet.held_share(one, now, others) for one in writers) / max(1, len(writers))
        first = self.LATE if not gen.repeat else 0 if self.fleet.peers else -self.START  # tells of a loss
        aim = gen.slo() if self.fleet.peers else min(gen.slo(), left)  # where no one tells of queues
        part = max(part, late / max(1, aim) - first, self.HELD_SAY * (held - self.HELD_SHARE))
        vain = left < late and 2 * left < late * (1 + self.fleet.chance())  # its client will leave
        shed = vain or part - self.START > self.SPAN * self.fleet.chance()
        if shed != self.shedding and (shed or part < self.START / 2):
            self.shedding = shed
            self.fleet.gateway.log(
                f"throttling {'begins' if shed else 'ends'} "
                f"wait={wait / MS:.0f}ms late={late / MS:.0f}ms held={held:.2f}"
            )
        if shed:
            self.dispatcher.refuse(gen, "overload")
        return shed

"""Admission control: throttles requests early that would likely be late, whatever the cause.

The estimates come from this gateway's own legs, so a few slow legs can look like an overload.
"""

from stackpitch.brain.dispatcher import Dispatcher
from stackpitch.interface import MS, Generation, Time


class Admission:
    """Sheds load by the expected wait and by the memory that the writers hold."""

    # Shares of the SLO time: the excess from which a part of the requests is throttled; the further excess at
    # which all are; and the wait for a first token that is allowed.
    SHED_FROM, SHED_SPAN, ALLOWED_WAIT = 0.2, 0.3, 0.35
    # Share of the writers' memory that may be held; what is above counts as this many times as much wait.
    ALLOWED_HELD, HELD_WEIGHT = 0.72, 2.0

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher, self.fleet, self.shedding = dispatcher, dispatcher.fleet, False

    def sheds(self, now: Time, gen: Generation, cost: float) -> bool:
        """Throttles the generation if it would likely be late, and returns whether it did. `cost`: tokens
        to be read for it and before it, if known."""
        left, expected = gen.deadline - now, self.fleet.expected_first_token(now, gen)
        readers, writers = (self.fleet.healthy(role, now) for role in ("reader", "writer"))
        wait = self.fleet.queue_wait("reader", readers, now) + self.fleet.queue_wait("writer", writers, now)
        wait = max(wait, cost * self.fleet.mean_wait["reader"] / max(1.0, self.fleet.mean_queued_tok))
        excess = wait / max(1, min(gen.slo(), left))
        mean_share = self.fleet.peer_held_share("writer", now)
        held = sum(self.fleet.held_share(writer, now, mean_share) for writer in writers) / max(
            1, len(writers)
        )
        # A client's retry is evidence that a request was lost, hence less wait is allowed.
        allowed = self.ALLOWED_WAIT if not gen.repeat else 0 if self.fleet.peers else -self.SHED_FROM
        # Without gossip the queues of other gateways are unknown, hence the time that is left counts as well.
        target = gen.slo() if self.fleet.peers else min(gen.slo(), left)
        excess = max(
            excess,
            expected / max(1, target) - allowed,
            self.HELD_WEIGHT * (held - self.ALLOWED_HELD),
        )
        # The client will likely leave before the first token.
        futile = left < expected and 2 * left < expected * (1 + self.fleet.random_unit())
        shed = futile or excess - self.SHED_FROM > self.SHED_SPAN * self.fleet.random_unit()
        if shed != self.shedding and (shed or excess < self.SHED_FROM / 2):
            self.shedding = shed
            self.fleet.gateway.log(
                f"throttling {'begins' if shed else 'ends'} "
                f"wait={wait / MS:.0f}ms late={expected / MS:.0f}ms held={held:.2f}"
            )
        if shed:
            self.dispatcher.refuse(gen, "overload")
        return shed

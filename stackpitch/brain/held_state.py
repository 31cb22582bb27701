"""Releases in time what requests may hold at workers while no attempt is known to use it.

A state waits at its prefill worker until a decode worker takes it. An attempt that was sent there is no
sign that it has been: it may lie unread in a socket of a worker that has hung or was cut off, and then
stops no clock. Only an answer on the attempt's own connection shows that it arrived: what its worker does
on others, such as a stream that goes on, says nothing of it. Until then the state's time runs, and it is
released as late as is safe: a release also tears it from an attempt that waits in its worker's queue,
which has to read the whole prompt again then.
"""

from stackpitch.interface import ANSWERED, NEVER_RAN, Gateway, Generation, Leg, Time


class HeldState:
    # Of the time allowed, then a release is sent: the rest, and what the page grants, is for its way.
    RELEASE_PART = 0.95
    VAIN_PART = 0.6  # of it, after which no further connection is tried in vain

    def __init__(self, gateway: Gateway, allowed: Time) -> None:
        self.gateway, self.allowed = gateway, allowed
        # Since when a state is held, or is again; emptied by a stream's start, by a worker that finds no
        # state, and by the request's end.
        self.held_since: dict[Generation, Time] = {}

    def ended(self, now: Time, leg: Leg, no_state: bool) -> None:
        """An attempt's outcome starts the time anew if its worker answered it."""
        gen = leg.gen
        if no_state:
            self.held_since.pop(gen, None)
        elif leg.outcome == "read" or gen in self.held_since and leg.outcome in ANSWERED:
            self.held_since[gen] = now
            self.gateway.call_later(int(self.allowed * self.RELEASE_PART), lambda _: self._due(gen, now))
        elif leg.server.role == "reader" and leg.outcome not in NEVER_RAN:
            # It may have ended well unseen; the prompt is read again in any case.
            self.gateway.release(gen, "read-in-doubt")

    def _due(self, gen: Generation, since: Time) -> None:
        if self.held_since.get(gen) == since:
            self.gateway.release(gen, "attempt-unread")

    def overdue(self, now: Time, leg: Leg) -> bool:
        """Whether one more connection in vain would come after the release."""
        held = now - self.held_since.get(leg.gen, now) if leg.outcome in ("unreachable", "not-sent") else 0
        return held > self.allowed * self.VAIN_PART

    def stream_started(self, gen: Generation) -> None:
        """A stream lets go of all else by itself."""
        self.held_since.pop(gen, None)

    def release(self, gen: Generation) -> None:
        """The request is over, with no attempt out."""
        if self.held_since.pop(gen, None) is not None:
            self.gateway.release(gen, "request-over")

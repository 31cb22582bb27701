"""Releases in time the KV state that requests hold at workers while no attempt is known to use it.

KV state waits at its prefill worker until a decode worker fetches it. An attempt that was sent to a decode
worker is no sign that this has happened: it may lie unread in a socket of a worker that hangs or was cut off,
and does not stop the time limit. Only an answer on the attempt's own connection shows that it arrived; other
connections of the same worker, such as a stream that continues, show nothing about it. Until then the limit
runs, and the state is released as late as is safe: a release also takes it from an attempt that waits in its
worker's queue, which then has to read the whole prompt again.
"""

from stackpitch.interface import ANSWERED, NEVER_RAN, Gateway, Generation, Leg, Time


class HeldState:
    """The KV state held for generations, and the timers that release it."""

    # Share of the time allowed after which a release is sent. The rest, and what the platform grants beyond,
    # is for its delivery.
    RELEASE_AT = 0.95
    # Share of the time allowed after which no further connection is tried if the last one failed.
    RECONNECT_UNTIL = 0.6

    def __init__(self, gateway: Gateway, allowed: Time) -> None:
        self.gateway, self.allowed = gateway, allowed
        # Since when KV state is held, or held again; emptied when a stream starts, when a worker finds no
        # state, and when the request is over.
        self.held_since: dict[Generation, Time] = {}

    def leg_ended(self, now: Time, leg: Leg, no_state: bool) -> None:
        """Starts the time limit, or restarts it after an outcome that the worker reported itself."""
        gen = leg.gen
        if no_state:
            self.held_since.pop(gen, None)
        elif leg.outcome == "read" or gen in self.held_since and leg.outcome in ANSWERED:
            self.held_since[gen] = now
            self.gateway.call_later(int(self.allowed * self.RELEASE_AT), lambda _: self._due(gen, now))
        elif leg.server.role == "reader" and leg.outcome not in NEVER_RAN:
            # The read may have completed without its answer arriving; the prompt is read again in any case.
            self.gateway.release(gen, "read-in-doubt")

    def _due(self, gen: Generation, since: Time) -> None:
        if self.held_since.get(gen) == since:
            self.gateway.release(gen, "attempt-unread")

    def too_late_to_reconnect(self, now: Time, leg: Leg) -> bool:
        """Whether another failed connection, after this leg's, would end only after the release."""
        held = now - self.held_since.get(leg.gen, now) if leg.outcome in ("unreachable", "not-sent") else 0
        return held > self.allowed * self.RECONNECT_UNTIL

    def stream_started(self, gen: Generation) -> None:
        """Forgets the generation's state: the start of a stream frees all that is held, without a release."""
        self.held_since.pop(gen, None)

    def release(self, gen: Generation) -> None:
        """Releases what is held for a request that is over and has no attempt in flight."""
        if self.held_since.pop(gen, None) is not None:
            self.gateway.release(gen, "request-over")

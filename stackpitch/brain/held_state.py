"""Releases in time the KV state that requests hold at workers while no attempt is known to use it.

KV state waits at its prefill worker until a decode worker fetches it. The time limit runs while no attempt is out
and starts again in full when one ends. Two things are not known here:

- whether an attempt in progress has arrived. It may lie unread in a socket of a worker that hangs or was cut off,
  and does not stop the time limit then. Only an answer on the attempt's own connection shows that it arrived;
- whether a release had an effect. It has none on state that an attempt waits for which has arrived, and that
  state is still held when the attempt fails or its worker vanishes.

So state is released again and again until it is used, and once more before the prompt is read anew. Each release
is as late as is safe: it also takes the state from an attempt that is still on its way, whose worker then has to
read the whole prompt again.
"""

from stackpitch.interface import ANSWERED, NEVER_RAN, Gateway, Generation, Leg, ReleaseReason, Time


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
        """Starts or restarts the time limit, or releases what a read may have left."""
        gen, held = leg.gen, leg.gen in self.held_since
        if no_state:
            self.held_since.pop(gen, None)
        elif leg.outcome == "read" or held and leg.outcome in ANSWERED:
            self._start_limit(now, gen)
        elif leg.outcome in NEVER_RAN:
            return
        elif leg.server.role == "reader":
            # The read may have completed without its answer arriving; the prompt is read again in any case.
            self.gateway.release(gen, "read-in-doubt")
        elif held and now - self.held_since[gen] >= self._release_after():
            # If the leg had not arrived, the state has been released by now; otherwise its time starts again.
            self._start_limit(now, gen)

    def _release_after(self) -> Time:
        return int(self.allowed * self.RELEASE_AT)

    def _start_limit(self, now: Time, gen: Generation) -> None:
        self.held_since[gen] = now
        self._release_later(gen, now)

    def _release_later(self, gen: Generation, since: Time) -> None:
        self.gateway.call_later(self._release_after(), lambda _: self._due(gen, since))

    def _due(self, gen: Generation, since: Time) -> None:
        """Releases state that is still unused, and does so again until it is used or the request is over."""
        if self.held_since.get(gen) == since:
            self.gateway.release(gen, "attempt-unread")
            self._release_later(gen, since)

    def too_late_to_reconnect(self, now: Time, leg: Leg) -> bool:
        """Whether another failed connection, after this leg's, would end only after the release."""
        held = now - self.held_since.get(leg.gen, now) if leg.outcome in ("unreachable", "not-sent") else 0
        return held > self.allowed * self.RECONNECT_UNTIL

    def stream_started(self, gen: Generation) -> None:
        """Forgets the generation's state: the start of a stream frees all that is held, without a release."""
        self.held_since.pop(gen, None)

    def read_again(self, gen: Generation) -> None:
        """Releases what earlier reads left; called before the prompt is read again, with no attempt in flight."""
        self._release_now(gen, "attempt-failed")

    def release(self, gen: Generation) -> None:
        """Releases what is held for a request that is over and has no attempt in flight."""
        self._release_now(gen, "request-over")

    def _release_now(self, gen: Generation, reason: ReleaseReason) -> None:
        if self.held_since.pop(gen, None) is not None:
            self.gateway.release(gen, reason)

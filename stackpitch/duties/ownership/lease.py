"""The duration of a lease at its holder and at a voting replica. Each duration is measured on one clock.

The holder counts from before its request, a voting replica from its answer, so the holder's lease expires
first if both clocks run at the same rate. A clock may gain or lose `drift` (0.01 is 1%) against true time:
the voting replica waits longer to cover the drift of both.
"""

from stackpitch.loop import Time


def voter_lease_duration(lease: Time, drift: float) -> Time:
    """Ticks for which a voting replica honours a holder's `lease`, with a margin for rounding."""
    return int(lease * (1 + drift) / (1 - drift)) + 3

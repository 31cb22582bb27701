"""How long a lease counts on either side. Only durations are compared, each on one clock.

The owner counts from before it asked, a voter from its answer, so the owner's ends first if both clocks run alike. A clock
may gain or lose `drift` (0.01 is 1%) against true time: the voter waits longer by both.
"""

from stackpitch.loop import Time


def voter_lease_duration(lease: Time, drift: float) -> Time:
    """How long a voter keeps a lease of an owner that counts `lease`; a tick more on each side for rounding."""
    return int(lease * (1 + drift) / (1 - drift)) + 3

"""Until when a repeat may still be handed over. Pure.

The module decides to send while the window is open; a connection in the making, a full pool or a slow server can take
the last byte beyond it, and a group that has forgotten the first attempt would run the second. So whoever writes asks
again.
"""

from stackpitch.brain.dispatcher import remembered_until
from stackpitch.interface import Leg, Time


def resend_deadline(leg: Leg) -> Time | None:
    """The time by which a leg's last byte must have been handed over; None: any. Its other legs are asked, and the window is
    the one by which the module decides to send."""
    product = leg.gen.product
    others = [one.sent for one in leg.gen.may_have_run() if one is not leg]
    return remembered_until(min(others), product) if others and product.effect == "deduplicated" else None

"""Until when a retry of deduplicated work may still be written. Pure.

The decision module sends a retry while the servers still remember the first attempt. Until the last byte
is written, a connection that is being opened, a full pool or a slow server may take longer than that, and
servers that have forgotten the first attempt would run the second. So the code that writes checks again.
"""

from stackpitch.brain.dispatcher import remembered_until
from stackpitch.interface import Leg, Time


def resend_deadline(leg: Leg) -> Time | None:
    """The time by which the last byte of a leg's request must have been written; None: no such limit.

    It follows from the generation's other legs, and is the one by which the decision module decides to send.
    """
    product = leg.gen.product
    others = [one.sent for one in leg.gen.may_have_run() if one is not leg]
    return remembered_until(min(others), product) if others and product.effect == "deduplicated" else None

"""Gateways broken on purpose, at least one for each rule, to show that the checker catches the breach in a real run.

Used by `stackpitch rehearse DAY --broken NAME` and by the tests; nothing else imports this.
"""

from collections.abc import Callable

from stackpitch.rehearse.broken import gateways, owners, vocabulary, weights

BREAKS: dict[str, Callable[[], None]] = {
    "answered": gateways.answered,
    "effects": gateways.effects,
    "drains": gateways.drains,
    "cold": gateways.cold,
    "pinned": gateways.pinned,
    "fenceless": owners.fenceless,
    "leaseless": owners.leaseless,
    "forgetful": owners.forgetful,
    "hasty": owners.hasty,
    "restless": owners.restless,
    "unsynced": owners.unsynced,
    "ownerless": owners.ownerless,
    "unpaced": weights.unpaced,
    "classless": weights.classless,
    "unchecked": weights.unchecked,
    "hurried": weights.hurried,
    "babel": vocabulary.babel,
    "across": vocabulary.across,
    "willful": vocabulary.willful,
}

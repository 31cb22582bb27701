"""What has been granted and may still run: the sum on each link. Pure.

In a lane a newer grant takes the older one's place at the receiver, so the lane counts for the largest of those that may
still run, not for their sum. An answer to a grant says that the older ones have stopped. Without one they count until
they have run out.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from stackpitch.duties.weights.grants.grant import Grant, Lane, latest_end
from stackpitch.duties.weights.links import Key
from stackpitch.loop import Time


@dataclass(slots=True)
class SentGrant:
    grant: Grant
    until: Time  # on the owner's clock
    path: tuple[Key, ...]
    planned: Time
    lost: bool = False  # no answer came: it may run or not


class OutstandingGrants:
    """`sent` is emptied by time: each grant goes when it has run out."""

    def __init__(self) -> None:
        self.sent: dict[Lane, list[SentGrant]] = {}

    def add(self, now: Time, grant: Grant, path: tuple[Key, ...]) -> None:
        self.sent.setdefault(grant.lane, []).append(SentGrant(grant, latest_end(now, grant), path, now))

    def accepted(self, grant: Grant) -> None:
        """The receiver has it."""
        left = [one for one in self.sent.get(grant.lane, ()) if one.grant.serial >= grant.serial]
        self._keep(grant.lane, left)

    def mark_lost(self, grant: Grant) -> None:
        """No answer: it goes on counting, and is sent anew."""
        for one in self.sent.get(grant.lane, ()):
            one.lost = one.lost or one.grant.serial == grant.serial

    def finished(self, lane: Lane, serial: int) -> None:
        """The receiver has done with it and all before."""
        self._keep(lane, [one for one in self.sent.get(lane, ()) if one.grant.serial > serial])

    def _keep(self, lane: Lane, left: list[SentGrant]) -> None:
        if left:
            self.sent[lane] = left
        else:
            self.sent.pop(lane, None)

    def expire(self, now: Time) -> None:
        for lane, sent in list(self.sent.items()):
            if any(one.until <= now for one in sent):
                self._keep(lane, [one for one in sent if one.until > now])

    def newest(self, lane: Lane) -> SentGrant | None:
        sent = self.sent.get(lane)
        return sent[-1] if sent else None

    def counts(self, lane: Lane) -> dict[Key, int]:
        """What the lane alone may run on each link."""
        return dict(_largest(self.sent.get(lane, ())))

    def load(self) -> dict[Key, int]:
        """Bytes a second that may run on each link now."""
        found: dict[Key, int] = {}
        for sent in self.sent.values():
            for key, rate in _largest(sent):
                found[key] = found.get(key, 0) + rate
        return found

    def next_expiry(self) -> Time | None:
        """When the first runs out."""
        return min((one.until for sent in self.sent.values() for one in sent), default=None)


def _largest(sent: Iterable[SentGrant]) -> Iterable[tuple[Key, int]]:
    """By link, as a lane's older grants may go by paths from before an edit of the links."""
    found: dict[Key, int] = {}
    for one in sent:
        for key in one.path:
            found[key] = max(found.get(key, 0), one.grant.rate)
    return found.items()

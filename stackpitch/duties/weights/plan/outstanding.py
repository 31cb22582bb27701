"""The grants that may still run, and their summed rate on each link. Pure.

At the receiver a newer grant replaces the older one of its lane, so a lane counts with the largest rate of the grants
that may still run, not with their sum. An answer to a grant shows that the older ones have stopped. Without an answer
they count until they have expired.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from stackpitch.duties.weights.grants.grant import Grant, Lane, latest_end
from stackpitch.duties.weights.links import Key
from stackpitch.loop import Time


@dataclass(slots=True)
class SentGrant:
    """A grant that was sent, and the links that it loads."""

    grant: Grant
    until: Time  # on the owner's clock
    path: tuple[Key, ...]
    planned: Time
    lost: bool = False  # no answer came, so the grant may or may not run


class OutstandingGrants:
    """The sent grants of each lane, oldest first. `sent` is emptied by time: each grant goes when it has expired."""

    def __init__(self) -> None:
        self.sent: dict[Lane, list[SentGrant]] = {}

    def add(self, now: Time, grant: Grant, path: tuple[Key, ...]) -> None:
        self.sent.setdefault(grant.lane, []).append(SentGrant(grant, latest_end(now, grant), path, now))

    def accepted(self, grant: Grant) -> None:
        """The receiver has accepted the grant, so the older ones of its lane have stopped."""
        remaining = [entry for entry in self.sent.get(grant.lane, ()) if entry.grant.serial >= grant.serial]
        self._replace(grant.lane, remaining)

    def mark_lost(self, grant: Grant) -> None:
        """No answer came: the grant still counts, and the planner sends another."""
        for entry in self.sent.get(grant.lane, ()):
            entry.lost = entry.lost or entry.grant.serial == grant.serial

    def finished(self, lane: Lane, serial: int) -> None:
        """The receiver has finished this grant and all earlier ones of the lane."""
        self._replace(lane, [entry for entry in self.sent.get(lane, ()) if entry.grant.serial > serial])

    def _replace(self, lane: Lane, remaining: list[SentGrant]) -> None:
        if remaining:
            self.sent[lane] = remaining
        else:
            self.sent.pop(lane, None)

    def expire(self, now: Time) -> None:
        for lane, sent in list(self.sent.items()):
            if any(entry.until <= now for entry in sent):
                self._replace(lane, [entry for entry in sent if entry.until > now])

    def newest(self, lane: Lane) -> SentGrant | None:
        sent = self.sent.get(lane)
        return sent[-1] if sent else None

    def counts(self, lane: Lane) -> dict[Key, int]:
        """Bytes a second that the lane alone may run on each link."""
        return dict(_max_rates(self.sent.get(lane, ())))

    def load(self) -> dict[Key, int]:
        """Bytes a second that all lanes may run on each link now."""
        rates: dict[Key, int] = {}
        for sent in self.sent.values():
            for key, rate in _max_rates(sent):
                rates[key] = rates.get(key, 0) + rate
        return rates

    def next_expiry(self) -> Time | None:
        """When the first grant expires."""
        return min((entry.until for sent in self.sent.values() for entry in sent), default=None)


def _max_rates(sent: Iterable[SentGrant]) -> Iterable[tuple[Key, int]]:
    """The largest rate for each link; a lane's older grants may use paths from before an edit of the links."""
    rates: dict[Key, int] = {}
    for entry in sent:
        for key in entry.path:
            rates[key] = max(rates.get(key, 0), entry.grant.rate)
    return rates.items()

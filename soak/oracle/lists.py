"""Rule 3: nothing new to a worker after the grace once it is known to drain or be gone."""

from collections import defaultdict
from collections.abc import Iterator

from soak.oracle.seen import Seen
from soak.records import Attempt, Change

COUNTS_AFTER = (
    6.0  # seconds after discovery had a change and could be reached: it counts as told, arrived or not
)
AFTER_WAIT = 2.0  # seconds after a long poll's wait, if that is later


def breaks(seen: Seen) -> Iterator[str]:
    """Of each attempt by when its gateway knew of its worker."""
    grace = float(seen.settings["guarantees"]["drainGraceMs"]) / 1000
    known = Known(seen)
    for attempt in seen.record.attempts:
        at = known.gone_since(attempt)
        if at is None:
            continue
        if attempt.began > seen.due(attempt.gateway, at, grace):
            yield (
                f"rule 3: {attempt.request} of {attempt.gateway} began at {attempt.worker} "
                f"{attempt.began - at:.2f} s after that was told to drain or be gone"
            )


class Known:
    """What gateways knew of workers, by what was handed over and by what counts as told."""

    def __init__(self, seen: Seen) -> None:
        self.seen = seen
        self.told: dict[tuple[str, str], list[float]] = defaultdict(list)
        self.ups: dict[tuple[str, str], list[float]] = defaultdict(list)
        for one in seen.record.told:
            self.told[one.gateway, one.worker].append(one.at)
        for one in seen.record.told_up:
            self.ups[one.gateway, one.worker].append(one.at)
        self.changes: dict[str, list[Change]] = defaultdict(list)
        for change in seen.record.changes:
            self.changes[change.worker].append(change)

    def gone_since(self, attempt: Attempt) -> float | None:
        """When its gateway first knew that its worker drains or is gone; None: it did not."""
        found = [one for one in (self._handed_over(attempt), self._counted(attempt)) if one is not None]
        return min(found, default=None)

    def _handed_over(self, attempt: Attempt) -> float | None:
        key = attempt.gateway, attempt.worker
        known = [
            at
            for at in self.told[key]
            if at < attempt.began and not self.seen.replaced(attempt.gateway, at, attempt.began)
        ]
        again = max((up for up in self.ups[key] if up <= attempt.began), default=0.0)
        return min((at for at in known if at > again), default=None)

    def _counted(self, attempt: Attempt) -> float | None:
        """When the worker's last change counted as told, if that was its going."""
        before = [one for one in self.changes[attempt.worker] if one.at <= attempt.began]
        if not before or before[-1].up or self.seen.replaced(attempt.gateway, before[-1].at, attempt.began):
            return None
        going = before[-1]
        for one in reversed(before[:-1]):  # the first of those that said so
            if one.up:
                break
            going = one
        at = self._counts_at(attempt.gateway, going.at)
        return at if at < attempt.began else None

    def _counts_at(self, gateway: str, changed: float) -> float:
        begin, at = changed, changed + COUNTS_AFTER
        for outage in sorted(self.seen.record.outages, key=lambda one: one.begin):
            if outage.begin <= at and outage.end > begin:
                begin, at = outage.end, outage.end + COUNTS_AFTER
        waits = [
            watch.began + watch.wait + AFTER_WAIT
            for watch in self.seen.record.watches
            if watch.gateway == gateway and watch.began <= begin <= watch.began + watch.wait
        ]
        return self.seen.due(gateway, changed, max([at, *waits]) - changed)

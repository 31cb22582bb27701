"""A run's record with the indexes that the rules share."""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Mapping
from math import inf
from typing import Any, cast

from soak.oracle.excuses import Excuse
from soak.records import Attempt, Record, Request

SLACK = 0.12  # seconds on each bound: 50 ms of the page, and what this harness needs
KILL_NEAR = 0.1  # seconds around a kill


class Seen:
    """`slack`: on each bound, or the time in which this harness itself did not run if that was longer. `excused`: how often
    each excuse was used."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.slack = max(SLACK, 2 * record.lag)
        self.settings = cast(Any, record.settings)
        self.classes: dict[str, Mapping[str, Any]] = {one["name"]: one for one in self.settings["classes"]}
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        self.again: list[Attempt] = []  # of requests whose clients came again with the same id
        for attempt in sorted(record.attempts, key=lambda one: one.began):
            if attempt.again:
                self.again.append(attempt)
            else:
                self.attempts[attempt.request].append(attempt)
        self.by_name = {one.name: one for one in record.attempts if one.name}
        self.requests = {one.name: one for one in record.requests}
        self.end = max((one.sent or 0.0 for one in record.requests), default=0.0)
        self.excused: Counter[Excuse] = Counter()
        taken = [(one.taken, one.worker) for one in record.attempts if one.taken is not None]
        self.takes = sorted([*taken, *((one.at, one.worker) for one in record.releases)])
        # When a gateway was told that a worker is up.
        self.listed: dict[tuple[str, str], list[float]] = defaultdict(list)
        for told in record.told_up:
            self.listed[told.gateway, told.worker].append(told.at)

    def first_take(self, gateway: str, since: float) -> float:
        """When any worker that the gateway had been told of took anything from any gateway; never, as a time."""
        for at, worker in self.takes[bisect_left(self.takes, (since, "")) :]:
            if worker not in self.record.joined or self._knows(gateway, worker, at):
                return at
        return inf

    def _knows(self, gateway: str, worker: str, at: float) -> bool:
        """Whether the process that the gateway was then had been told of the worker."""
        began = max(
            (
                one.begin
                for one in self.record.pauses
                if one.gateway == gateway and one.replaced and one.begin <= at
            ),
            default=0.0,
        )
        return any(began <= told <= at for told in self.listed[gateway, worker])

    def attempts_of(self, request: Request) -> list[Attempt]:
        """In the order in which they began."""
        return self.attempts.get(request.name, [])

    def serving(self, request: Request) -> Attempt | None:
        """The attempt whose events its client got."""
        return self.by_name.get(request.served_by)

    def paused(self, gateway: str, begin: float, end: float) -> float:
        """For how long it did not run then."""
        return sum(
            max(0.0, min(end, one.end) - max(begin, one.begin))
            for one in self.record.pauses
            if one.gateway == gateway
        )

    def due(self, gateway: str, begin: float, allowed: float) -> float:
        """When `allowed` seconds from `begin` are over for a gateway that may not have run for some of them."""
        due = begin + allowed + self.slack
        for one in sorted(self.record.pauses, key=lambda one: one.begin):
            if one.gateway == gateway and one.begin < due:
                due += max(0.0, one.end - max(begin, one.begin))
        return due

    def killed(self, gateway: str, begin: float, end: float) -> bool:
        """Whether its process was killed between."""
        return any(
            one.gateway == gateway and one.killed and begin - KILL_NEAR <= one.begin <= end + KILL_NEAR
            for one in self.record.pauses
        )

    def replaced(self, gateway: str, begin: float, end: float) -> bool:
        """Whether another process took its place between."""
        return any(
            one.gateway == gateway and one.replaced and one.begin <= end and one.end >= begin
            for one in self.record.pauses
        )

    def broke(self, gateway: str, begin: float, end: float) -> bool:
        """Whether its connections were made to break between."""
        return any(
            one.gateway == gateway and one.begin <= end + self.slack and one.end >= begin - self.slack
            for one in self.record.broken_io
        )

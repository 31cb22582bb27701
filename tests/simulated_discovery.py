"""A simulated discovery against the pure schedule of calls: delays, silences, a queue that is worked off one call
at a time, and answers that show the list as of the begin or the end of the work on them."""

import heapq
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from stackpitch.loop import MS, SECOND, Time
from stackpitch.platform.call_schedule import Call, CallSchedule
from stackpitch.platform.watching import MAX_STALENESS, WatchTimes

NETWORK = 1 * MS  # one way


class Silence(Enum):
    """What becomes of calls that are made while discovery can't be reached."""

    UNCONNECTED = "their connections never come up"
    RESET = "they are reset as it returns"
    SWALLOWED = "they are never answered"
    REFUSED = "they are refused"


@dataclass(frozen=True)
class Phase:
    """From `begin` on: calls are answered `delay` after they came, or discovery is silent.

    `mutes`: calls under way at its beginning are never answered.
    """

    begin: Time
    delay: Time = 0
    silence: Silence | None = None
    mutes: bool = False


class SimulatedDiscovery:
    """`serial`: the delay is work, done for one call after the other, those given up on too.

    `early`: an answer shows the list as it was before the delay, not after it. `sent_at`: when calls came.
    """

    def __init__(
        self,
        times: WatchTimes,
        phases: Sequence[Phase],
        changes: Sequence[Time],
        *,
        serial: bool = False,
        early: bool = False,
    ) -> None:
        self.times, self.phases, self.changes, self.serial, self.early = times, phases, changes, serial, early
        self.schedule = CallSchedule(times, 0)
        self.now = self.free_at = 0
        self.events: list[tuple[Time, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.watches: dict[Call, Phase] = {}  # that wait for news
        self.sent_at: list[Time] = []
        self.told_at: list[Time] = []  # of the changes, in their order

    def play(self, end: Time) -> "SimulatedDiscovery":
        for phase in self.phases[1:]:
            self.at(phase.begin, self.change_phase)
        for change in self.changes:
            self.at(change, self.wake_watches)
        while self.now < end:
            self.schedule.check_silence(self.now)
            if (due := self.schedule.next_start()) <= self.now:
                self.start_call()
            elif not self.events or due < self.events[0][0]:
                self.now = due
            else:
                self.now, _, act = heapq.heappop(self.events)
                act()
        return self

    def lateness(self) -> list[Time]:
        """Of each change that was told or should have been: how long after it counted as told; may be negative."""
        told = self.told_at + [self.now] * (len(self.changes) - len(self.told_at))
        return [at - self.counts_at(change) for change, at in zip(self.changes, told)]

    def counts_at(self, changed: Time) -> Time:
        """6 s after discovery had it and could be reached."""
        reachable = changed
        for phase, after in itertools.pairwise([*self.phases, Phase(1 << 60)]):
            if (
                phase.silence is not None
                and phase.begin <= reachable + MAX_STALENESS
                and after.begin > reachable
            ):
                reachable = after.begin
        return reachable + MAX_STALENESS

    def at(self, when: Time, act: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), act))

    def phase(self) -> Phase:
        return [one for one in self.phases if one.begin <= self.now][-1]

    def revision(self, when: Time) -> int:
        return sum(change <= when for change in self.changes)

    def is_muted(self, received: Phase) -> bool:
        """Whether what came in that phase is not answered any more."""
        return received.silence is not None or any(
            one.mutes or one.silence is not None
            for one in self.phases
            if received.begin < one.begin <= self.now
        )

    def change_phase(self) -> None:
        ended = [one for one in self.phases if one.begin < self.now][-1]
        if ended.silence is Silence.RESET or self.phase().silence is Silence.REFUSED:
            for call in list(self.schedule.calls):
                self.schedule.failed(call, self.now, connection_ended=True)

    def start_call(self) -> None:
        if (unanswered := self.schedule.to_give_up(self.now)) is not None:
            self.schedule.given_up(unanswered)
        since = None if self.schedule.recovering else len(self.told_at)
        call, silence = self.schedule.start(self.now, since), self.phase().silence
        if silence is Silence.REFUSED:
            self.at(
                self.now + 2 * NETWORK, lambda: self.schedule.failed(call, self.now, connection_ended=True)
            )
        elif silence is not Silence.UNCONNECTED:
            self.at(self.now + 2 * NETWORK, lambda: self.receive(call))

    def receive(self, call: Call) -> None:
        if call.ended:
            return
        for other in self.schedule.sent(call):
            self.schedule.given_up(other)
        self.sent_at.append(self.now)
        phase = self.phase()
        if call.since is None or call.since < self.revision(self.now):
            self.work(call, phase)
        else:
            self.watches[call] = phase
            self.at(self.now + self.times.wait, lambda: self.end_wait(call))

    def wake_watches(self) -> None:
        for call in list(self.watches):
            self.end_wait(call)

    def end_wait(self, call: Call) -> None:
        if (phase := self.watches.pop(call, None)) is not None:
            self.work(call, phase)

    def work(self, call: Call, received: Phase) -> None:
        if self.is_muted(received):
            return
        begin = max(self.now, self.free_at) if self.serial else self.now
        done = begin + self.phase().delay
        self.free_at = done
        self.at(done + NETWORK, lambda: self.answer(call, received, begin if self.early else done))

    def answer(self, call: Call, received: Phase, shows: Time) -> None:
        if call.ended or self.is_muted(received):
            return
        news = self.revision(shows) != call.since
        while len(self.told_at) < self.revision(shows):
            self.told_at.append(self.now)
        for other in self.schedule.answered(call, self.now, self.now, news):
            self.schedule.given_up(other)


def seconds(value: float) -> Time:
    return round(value * SECOND)

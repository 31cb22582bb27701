"""Decides when discovery is called and which calls are given up on. Pure: times and events come in.

A call that is slow is not repeated for being slow: a given-up call still costs discovery its work, and an answer
that takes longer than the time it is given would never be received. So no call has a time limit of its own.
While discovery answers, a call is given up on only if a later one was answered first. While it does not answer, new calls
are made as well, since those that a silence has caught may never be answered; they share `MAX_CONNECTIONS`
places, and the oldest call keeps its place.

A call whose connection has not been established costs discovery nothing and shows no slowness, so it is
followed by the next one sooner.
"""

from dataclasses import dataclass

from stackpitch.interface import Time
from stackpitch.loop import SECOND
from stackpitch.platform.watching import MAX_CONNECTIONS, MAX_STALENESS, WatchTimes

# For the oldest call while all places are needed; doubled each time that it was in vain.
MIN_PATIENCE, MAX_PATIENCE = 2 * MAX_STALENESS, 10 * MAX_STALENESS
# Between the starts of the calls that are kept beside the oldest one while discovery does not answer.
KEPT_SPACING = MAX_STALENESS * 3 // 4
# Of the latency of earlier answers: from when on a discovery that was slow is taken for silent.
LATENCY_MARGIN = 5, 4
LATENCY_DECAY = 7, 10  # per answer that was faster
# Calls started within the time that an answer takes. Bounds the work of a discovery that does one call after another.
MAX_OVERLAPPING = 2


@dataclass(eq=False, slots=True)
class Call:
    """One call to discovery. `since`: a watch for changes after that revision; None: the complete list."""

    started: Time
    since: int | None
    sent: bool = False  # its connection was established
    doubtful: bool = False  # sent before connections did not come up for a while
    ended: bool = False  # answered, failed or given up on


class CallSchedule:
    """The calls of one gateway to discovery.

    `calls`: those under way by their start, at most `MAX_CONNECTIONS`; emptied as they end.
    `recovering`: discovery has failed or does not answer, and the complete list is wanted.
    """

    def __init__(self, times: WatchTimes, now: Time) -> None:
        self.times = times
        self.calls: list[Call] = []
        self.last: Call | None = None  # the one started last
        self.last_failed = False
        self.recovering = True
        self.attempts = 0  # started since the recovery began
        self.not_before = now  # the next start
        self.answered_at = now
        self.latency: Time = 0  # recent maximum of how long an answer took beyond the wait of its watch
        self.patience = MIN_PATIENCE
        self.hurried = False  # the next call doesn't wait for its gap, as a connection ended
        self.hurried_at: Time | None = None  # when that was last so

    def reset(self, now: Time) -> None:
        """Forgets all calls: discovery has another address."""
        self.calls.clear()
        self.latency, self.answered_at = 0, now
        self._recover(now)

    def check_silence(self, now: Time) -> bool:
        """Begins a recovery if discovery has become silent. Returns whether it has."""
        if self.recovering or now < self._silent_at():
            return False
        self._recover(now)
        return True

    def next_start(self) -> Time:
        """When the next call has to be started if nothing happens before; a time that is over: at once."""
        if self.recovering:
            return max(self.not_before, self._after_last(self._gap()))
        if not any(call.since is not None or call.started >= self.answered_at for call in self.calls):
            return self.not_before  # at most requests for the complete list that others have made needless
        if self.latency < self.times.grace or len(self.calls) == MAX_CONNECTIONS:
            return self._silent_at()
        overlap = max(self.times.overlap, self.latency // MAX_OVERLAPPING)
        return min(max(self.not_before, self._after_last(overlap)), self._silent_at())

    def start(self, now: Time, since: int | None) -> Call:
        """A call is started; while recovering it has to ask for the complete list."""
        self.last = Call(now, since)
        self.last_failed = self.hurried = False
        self.calls.append(self.last)
        self.attempts += 1
        return self.last

    def sent(self, call: Call) -> list[Call]:
        """The connection was established. Returns what to give up on: older ones that were not.

        If there are any then connections did not come up for a while, and what had been sent before may have been
        caught in the same silence.
        """
        call.sent = True
        older = [other for other in self.calls if other.started < call.started]
        unconnected = [other for other in older if not other.sent]
        for other in older:
            other.doubtful = other.doubtful or bool(unconnected)
        return unconnected

    def answered(self, call: Call, now: Time, arrived: Time, news: bool) -> list[Call]:
        """A usable answer arrived at `arrived`. Returns what to give up on: older calls that are overdue."""
        self._end(call)
        self._measure(call, arrived, news)
        self.answered_at = self.not_before = now
        self.recovering, self.patience = False, MIN_PATIENCE
        if call.since is not None and not news and now - call.started < self.times.rest:
            # Keeps a discovery that always answers at once from being polled in a tight loop.
            self.not_before += self.times.rest
        return [other for other in self.calls if other.started < call.started and now > self._due(other)]

    def failed(self, call: Call, now: Time, *, connection_ended: bool) -> None:
        """The call failed. `connection_ended`: it, not the answer, was the cause."""
        if call.ended:
            return
        waited = now - call.started
        self._end(call)
        self.last_failed = self.last_failed or call is self.last
        if not self.recovering:
            self._recover(now)
        if connection_ended and waited >= self.times.gaps[-1]:
            self._hurry(now)

    def given_up(self, call: Call) -> None:
        """The call was cancelled."""
        self._end(call)

    def to_give_up(self, now: Time) -> Call | None:
        """The call that has to make place for the next one, if one has to.

        The oldest call is kept for as long as a slow discovery could take to answer, the newest because
        discovery may have returned, and one between them, at some distance from the oldest.
        """
        if len(self.calls) < MAX_CONNECTIONS:
            return None
        oldest, kept, middle = self.calls[:3]
        if oldest.doubtful:
            return oldest
        if now - oldest.started > self.patience:
            self.patience = min(2 * self.patience, MAX_PATIENCE)
            return oldest
        return kept if middle.started - kept.started >= KEPT_SPACING else middle

    def _recover(self, now: Time) -> None:
        self.recovering, self.attempts = True, 0
        self.not_before = now + self.times.pause

    def _hurry(self, now: Time) -> None:
        """The end of a connection on which nothing had come for long shows that discovery is back."""
        if self.hurried_at is None or now - self.hurried_at >= self.times.gaps[-1]:
            self.hurried, self.hurried_at, self.not_before = True, now, now + self.times.pause

    def _gap(self) -> Time:
        """From the last start to the next one while recovering."""
        gap = self.times.gap(max(0, self.attempts - 1))
        if self.hurried:
            return self.times.rest
        if self.last is None:
            return 0
        if not self.last.sent:
            return min(gap, self.times.connecting_gap)
        if self.attempts == 0 or self.last_failed or self.latency < self.times.grace:
            return gap
        # It is known to be slow, so calls that were sent may wait in its queue: their rate falls as they get older,
        # but only so far that the answer to a call made after a silence is still in time, if one can be.
        oldest = min((call.started for call in self.calls if call.sent), default=self.last.started)
        older = self.last.started - oldest
        if (left := MAX_STALENESS - SECOND - self.latency) > 0:
            older = min(older, left)
        return max(gap, self.latency // MAX_OVERLAPPING, older)

    def _after_last(self, gap: Time) -> Time:
        return self.last.started + gap if self.last is not None else self.not_before

    def _silent_at(self) -> Time:
        """When discovery counts as silent if nothing is answered before."""
        return self.answered_at + self.times.overlap + self._allowance()

    def _due(self, call: Call) -> Time:
        """When the answer is overdue."""
        wait = self.times.wait if call.since is not None else 0
        return call.started + wait + self.times.grace + self._allowance()

    def _allowance(self) -> Time:
        times, divisor = LATENCY_MARGIN
        return self.latency * times // divisor

    def _measure(self, call: Call, arrived: Time, news: bool) -> None:
        age = max(0, arrived - call.started)
        beyond_wait = age if call.since is None else max(0, age - self.times.wait)
        if call.since is not None and news:  # it is not known when the watch had its news
            self.latency = min(max(self.latency, beyond_wait), age)
        else:
            times, divisor = LATENCY_DECAY
            self.latency = max(beyond_wait, self.latency * times // divisor)
        self.latency = min(self.latency, MAX_PATIENCE)

    def _end(self, call: Call) -> None:
        call.ended = True
        if call in self.calls:
            self.calls.remove(call)

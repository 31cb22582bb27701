"""Mutants of rules 3 and 4: lists that are not heeded in time, and cold workers that get too much."""

from collections.abc import Callable
from typing import Any

import msgspec

from soak.mutants.acting import Mutant, acted, patch
from stackpitch.brain.slow_start import SlowStart
from stackpitch.gateway.host import Host
from stackpitch.gateway.roster import Roster
from stackpitch.gateway.start_times import StartTimes
from stackpitch.loop import MS, SECOND, ConnectionLost, Coro
from stackpitch.platform.call_schedule import CallSchedule
from stackpitch.platform.discovery import Discovery
from stackpitch.platform.reloading import Reloader

LATE_LIST = 1200 * MS
NEVER = 600 * SECOND
COLD_PART = 4  # a worker is taken for warm after a part of the time; or gets so many times too much


def drained_server() -> None:
    """Lists take nobody off, and nobody drains."""
    apply = Roster.apply

    def deaf(self: Any, version: int, entries: Any, current: bool = True) -> Any:
        if not self.lists_applied:
            return apply(self, version, entries, current)
        acted()
        return []

    patch(Roster, "apply", deaf)


def drained_late() -> None:
    """Each list counts 1.2 s after it came."""
    take = Host.apply_roster

    def later(self: Any, version: int, entries: Any, current: bool = True) -> None:
        if not self.roster.lists_applied:
            take(self, version, entries, current)
            return
        acted()
        self.world.at(self.world.now() + LATE_LIST, lambda: take(self, version, entries, current))

    patch(Host, "apply_roster", later)


def draining_unheeded() -> None:
    """Workers that drain are taken for ready until they are off the list."""
    apply = Roster.apply

    def heedless(self: Any, version: int, entries: Any, current: bool = True) -> Any:
        ready = [msgspec.structs.replace(one, state="ready") for one in entries]
        if ready != list(entries):
            acted()
        return apply(self, version, ready, current)

    patch(Roster, "apply", heedless)


def deaf_to_silence() -> None:
    """A watch that has fallen silent is waited for, and nothing is asked beside it."""
    next_start, request = CallSchedule.next_start, Discovery._request

    def never(self: Any) -> int:
        return int(self.answered_at + NEVER)

    def only_after_answers(self: Any) -> int:
        if self.recovering or not self.calls:
            return int(next_start(self))
        return never(self)

    def note(self: Any, stream: Any, call: Any) -> Any:
        begun = self.world.now()
        try:
            return (yield from request(self, stream, call))
        finally:
            if self.world.now() - begun > self.schedule.times.overlap:
                acted()

    patch(CallSchedule, "_silent_at", never)
    patch(CallSchedule, "next_start", only_after_answers)
    patch(Discovery, "_request", note)


def impatient_with_discovery() -> None:
    """A call to discovery is given up after 2.4 s and made again, however slow discovery is."""
    request = Discovery._request

    def limited(self: Any, stream: Any, call: Any) -> Any:
        with self.world.limit(self.schedule.times.overlap):
            return (yield from request(self, stream, call))
        acted()
        raise ConnectionLost("given up")

    patch(Discovery, "_request", limited)


def deaf_after_reload() -> None:
    """Lists are not taken any more once a configuration was read anew."""
    reload, take = Reloader.reload, Host.apply_roster
    reloaded: set[Host] = set()

    def note(self: Any) -> None:
        reload(self)
        reloaded.add(self.host)

    def deaf(self: Any, *given: Any, **named: Any) -> None:
        if self in reloaded:
            acted()
        else:
            take(self, *given, **named)

    patch(Reloader, "reload", note)
    patch(Host, "apply_roster", deaf)


def deaf_to_reload() -> None:
    """SIGHUP changes nothing."""

    def nothing(self: Any) -> Coro[None]:
        acted()
        yield from ()

    patch(Reloader, "reload_patiently", nothing)


def overloaded_cold() -> None:
    """Every worker is taken for warm."""

    def warm(self: Any, name: str, claimed: Any) -> None:
        if claimed is not None:
            acted()

    patch(StartTimes, "record", warm)


def _cold(changed: Callable[[Any, Any, Any], bool]) -> None:
    patch(SlowStart, "is_cold", changed)


def cold_too_short() -> None:
    """A worker is taken for warm after a quarter of the time."""
    cold = SlowStart.is_cold

    def shorter(self: Any, seat: Any, now: Any) -> bool:
        if not cold(self, seat, now):
            return False
        short = bool(now - self.effective_start(seat.server) < self.warm_up // COLD_PART)
        if not short:
            acted()
        return short

    _cold(shorter)


def cold_too_much() -> None:
    """A cold worker gets four times its part."""
    draw = SlowStart.admit_cold

    def more(self: Any, seat: Any, now: Any, gen: Any) -> bool:
        found = False
        for _ in range(COLD_PART):
            found = draw(self, seat, now, gen) or found
        if found:
            acted()
        return found

    patch(SlowStart, "admit_cold", more)


MUTANTS = {
    "drained-server": Mutant("drain", drained_server),
    "drained-late": Mutant("drain", drained_late),
    "draining-unheeded": Mutant("drain", draining_unheeded),
    "deaf-to-silence": Mutant("told", deaf_to_silence),
    "impatient-with-discovery": Mutant("told", impatient_with_discovery),
    "deaf-after-reload": Mutant("told", deaf_after_reload),
    "deaf-to-reload": Mutant("told", deaf_to_reload),
    "overloaded-cold": Mutant("cold", overloaded_cold),
    "cold-too-short": Mutant("cold", cold_too_short),
    "cold-too-much": Mutant("cold", cold_too_much),
}

"""Mutants of rule 5: what workers hold is released late, seldom or never."""

from collections.abc import Callable
from typing import Any

from soak.mutants.acting import Mutant, acted, every, patch
from stackpitch.brain.held_state import HeldState
from stackpitch.gateway.client_request import DEPARTED
from stackpitch.gateway.leg import LegRunner
from stackpitch.interface import ANSWERED, NEVER_RAN
from stackpitch.loop import MS, Coro
from stackpitch.platform import releasing
from stackpitch.platform.releasing import Release
from stackpitch.platform.server_client import PlatformServerClient

LATE, WAY = 900 * MS, 100 * MS


def _forget(forgotten: Callable[[Any], bool]) -> None:
    """`forgotten`: asked of each request that may hold something."""
    release = PlatformServerClient._release

    def forget(self: Any, ask: Any) -> None:
        if (ask.may_hold_state or ask.end_unseen) and forgotten(ask):
            acted()
        else:
            release(self, ask)

    patch(PlatformServerClient, "_release", forget)


def forgotten_release() -> None:
    """Nothing is released."""
    _forget(lambda ask: True)


def forgotten_release_in_three() -> None:
    """One release in three is forgotten."""
    due = every(3)
    _forget(lambda ask: due())


def forgotten_after_leaving() -> None:
    """Nothing is released for a client that has left."""
    _forget(lambda ask: ask.end == DEPARTED)


def forgotten_doubt() -> None:
    """What a read may have left unseen is not released."""
    _forget(lambda ask: not ask.may_hold_state)


def late_release() -> None:
    """Each release begins 0.9 s late."""
    release = PlatformServerClient._release

    def later(self: Any, ask: Any) -> None:
        if not (ask.may_hold_state or ask.end_unseen):
            return
        acted()
        held, doubt = ask.may_hold_state, ask.end_unseen

        def now() -> None:
            ask.may_hold_state, ask.end_unseen = held, doubt
            release(self, ask)

        self.host.world.at(self.host.world.now() + LATE, now)

    patch(PlatformServerClient, "_release", later)


def single_try() -> None:
    """A release that fails is not tried again."""
    run = Release.run

    def never(self: Any, group: Any, number: int) -> Coro[None]:
        yield from ()

    def once(self: Any) -> Coro[None]:
        yield from run(self)
        if self.done_by is None:
            acted()

    patch(Release, "_try_later", never)
    patch(Release, "run", once)


def _rest(rests: Callable[[Any], bool]) -> None:
    """`rests`: asked of each attempt that is out as a state's time is over; the state is not released then."""
    due = HeldState._due

    def look(self: Any, request: Any, since: int) -> None:
        out = [one for one in request.legs if one.outcome is None]
        if self.held_since.get(request) == since and any(map(rests, out)):
            acted()
        else:
            due(self, request, since)

    patch(HeldState, "_due", look)


def unarrived_send() -> None:
    """An attempt counts as arrived once it is written here."""
    _rest(lambda attempt: True)


def heard_elsewhere() -> None:
    """An attempt counts as arrived if anything came from its worker afterwards, on whatever connection."""
    heard: dict[str, int] = {}
    more = LegRunner._read_more

    def noted(self: Any, stream: Any, most: int = 65536) -> Coro[bytes]:
        data = yield from more(self, stream, most)
        heard[self.leg.server.name] = stream.arrived_at
        return data

    patch(LegRunner, "_read_more", noted)
    _rest(lambda attempt: heard.get(attempt.server.name, -1) >= attempt.sent + WAY)


def failed_attempt_holds() -> None:
    """What an attempt waited for that ended without an answer is released with the request alone."""
    ended = HeldState.leg_ended

    def look(self: Any, now: int, leg: Any, no_state: bool) -> None:
        if leg.server.role == "reader" or leg.outcome in ANSWERED | NEVER_RAN:
            ended(self, now, leg, no_state)
        elif leg.gen in self.held_since:
            acted()

    patch(HeldState, "leg_ended", look)
    patch(HeldState, "read_again", lambda *_: None)
    _release_once(lambda: None)


def single_release() -> None:
    """A state that is unused in time is released once, whether or not that has an effect."""
    _release_once(acted)


def _release_once(noted: Callable[[], None]) -> None:
    """`noted`: called for each release that may have been without effect."""

    def due(self: Any, request: Any, since: int) -> None:
        if self.held_since.get(request) == since:
            noted()
            self.gateway.release(request, "attempt-unread")

    patch(HeldState, "_due", due)


def idle_release() -> None:
    """Late steps of a release wait while any attempt is in progress."""
    uses = releasing.uses_newer_state

    def any_attempt(request: Any, reads_before: int) -> bool:
        waits = request.in_flight() and not request.stream_started()
        if waits and not uses(request, reads_before):
            acted()
        return bool(waits)

    patch(releasing, "uses_newer_state", any_attempt)


MUTANTS = {
    "forgotten-release": Mutant("held", forgotten_release),
    "forgotten-release-in-three": Mutant("held", forgotten_release_in_three),
    "forgotten-after-leaving": Mutant("held", forgotten_after_leaving),
    "forgotten-doubt": Mutant("held", forgotten_doubt),
    "failed-attempt-holds": Mutant("held", failed_attempt_holds),
    "single-release": Mutant("held-time", single_release),
    "idle-release": Mutant("held-time", idle_release),
    "late-release": Mutant("held-time", late_release),
    "single-try": Mutant("held-time", single_try),
    "unarrived-send": Mutant("arrival", unarrived_send),
    "heard-elsewhere": Mutant("arrival", heard_elsewhere),
}

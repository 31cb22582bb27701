"""Mutants of a process's own life: its start, its end, its limits, and the signals it gets."""

import os
from pathlib import Path
from typing import Any

from soak.mutants.acting import Mutant, acted, patch
from stackpitch.loop import MS, SECOND, Coro
from stackpitch.platform import serve as serving
from stackpitch.platform.listener import PlatformListener
from stackpitch.platform.reloading import Reloader
from stackpitch.platform.request import PlatformRequest

EARLY_END = 900 * MS  # after SIGTERM
SLOW_READY = 11 * SECOND
KEPT_BYTES = 2_000_000  # of each answered request
LAST_RELOAD = 3


def late_requests() -> None:
    """A gateway that stops takes requests for as long as a connection is open."""
    accepts_until = PlatformListener._accepts_until

    def always(self: Any) -> None:
        if accepts_until(self) is not None:
            acted()

    patch(PlatformListener, "_accepts_until", always)


def late_requests_after_reload() -> None:
    """The same, but only where a configuration was read anew before."""
    reload, accepts_until = Reloader.reload, PlatformListener._accepts_until
    reloaded: set[PlatformListener] = set()

    def note(self: Any) -> None:
        reload(self)
        reloaded.add(self.door)

    def until(self: Any) -> Any:
        found = accepts_until(self)
        if found is None or self not in reloaded:
            return found
        acted()
        return None

    patch(Reloader, "reload", note)
    patch(PlatformListener, "_accepts_until", until)


def early_end() -> None:
    """The process ends itself 0.9 s after SIGTERM, whatever it has taken."""
    close_idle = PlatformListener.close_idle

    def end(door: Any) -> None:
        if door.host.requests:
            acted()
        os._exit(0)

    def close(self: Any) -> None:
        if not self.stopping:
            self.world.at(self.world.now() + EARLY_END, lambda: end(self))
        close_idle(self)

    patch(PlatformListener, "close_idle", close)


def slow_ready() -> None:
    """A gateway that is started again is ready after eleven seconds."""
    folder, ready = Path(os.environ["RELAY_CONFIG"]).parent, serving._ready
    started = folder / "started"
    again = started.exists()
    started.touch()

    def slow(world: Any, *others: Any) -> Coro[None]:
        if again:
            acted()
            yield from world.sleep(SLOW_READY)
        yield from ready(world, *others)

    patch(serving, "_ready", slow)


def crash_at_third_reload() -> None:
    """The process ends at its third SIGHUP."""
    reload = Reloader.reload
    reloads = 0

    def end(self: Any) -> None:
        nonlocal reloads
        reloads += 1
        if reloads == LAST_RELOAD:
            acted()
            os._exit(1)
        reload(self)

    patch(Reloader, "reload", end)


def leaked_descriptor() -> None:
    """A descriptor stays open after each refusal."""
    refuse = PlatformRequest.refuse

    def leak(self: Any, *args: Any, **fields: Any) -> None:
        if not self.answered:
            acted()
            os.dup(2)
        refuse(self, *args, **fields)

    patch(PlatformRequest, "refuse", leak)


def kept_memory() -> None:
    """Two megabytes stay with each answered request."""
    finish = PlatformRequest.finish
    kept: list[bytes] = []

    def keep(self: Any) -> None:
        acted()
        kept.append(os.urandom(1) * KEPT_BYTES)
        finish(self)

    patch(PlatformRequest, "finish", keep)


def raised() -> None:
    """Each twentieth request meets an error that nobody thought of."""
    answer = PlatformListener._parse_request
    asked = 0

    def fail(self: Any, *args: Any) -> Any:
        nonlocal asked
        asked += 1
        if asked % 20 == 0:
            acted()
            raise KeyError("unthought of")
        return answer(self, *args)

    patch(PlatformListener, "_parse_request", fail)


MUTANTS = {
    "late-requests": Mutant("late-requests", late_requests),
    "late-requests-after-reload": Mutant("late-requests", late_requests_after_reload),
    "early-end": Mutant("taken-at-stop", early_end),
    "slow-ready": Mutant("ready", slow_ready),
    "crash-at-third-reload": Mutant("crash", crash_at_third_reload),
    "leaked-descriptor": Mutant("limits", leaked_descriptor),
    "kept-memory": Mutant("limits", kept_memory),
    "raised": Mutant("crash", raised),
}

"""Mutants of rule 1: a stream that is not, event by event, what one worker wrote for this request."""

import re
from collections.abc import Callable, Sequence
from typing import Any

from soak.mutants.acting import Mutant, acted, every, patch
from stackpitch.platform.request import PlatformRequest

RARE = 9  # one piece in so many
LAST_OF_CONTENT = re.compile(rb'("content": ?"[^"]+)[^"]"')
OWN_EVENT = b'data: {"choices":[]}\n\n'

PassOn = Callable[[Any, Sequence[bytes]], bool]


def _pass_on(changed: Callable[[Any, Sequence[bytes]], Sequence[bytes] | None]) -> None:
    """`changed`: what is passed on in place of a piece, None for the piece itself."""
    forward: PassOn = PlatformRequest.forward

    def other(self: Any, pieces: Sequence[bytes]) -> bool:
        instead = changed(self, pieces)
        if instead is None:
            return forward(self, pieces)
        acted()
        return forward(self, instead) if instead else True

    patch(PlatformRequest, "forward", other)


def lost_events() -> None:
    """One piece in nine of the streams is not passed on."""
    due = every(RARE)
    _pass_on(lambda ask, pieces: [] if due() else None)


def doubled_events() -> None:
    """One piece in nine is passed on twice."""
    due = every(RARE)
    _pass_on(lambda ask, pieces: [*pieces, *pieces] if due() else None)


def crossed_events() -> None:
    """One piece in nine is that of another request."""
    due = every(RARE)
    last: dict[str, Sequence[bytes]] = {}  # of one request at most

    def other(ask: Any, pieces: Sequence[bytes]) -> Sequence[bytes] | None:
        name = ask.gen.name
        if not due() or not last or name in last:
            last.clear()
            last[name] = pieces
            return None
        return next(iter(last.values()))

    _pass_on(other)


def spoilt_events() -> None:
    """One byte of the text of one piece in nine is another one."""
    due = every(RARE)

    def spoil(ask: Any, pieces: Sequence[bytes]) -> Sequence[bytes] | None:
        spoilt = [LAST_OF_CONTENT.sub(rb'\1#"', one, count=1) for one in pieces]
        return spoilt if spoilt != list(pieces) and due() else None

    _pass_on(spoil)


def swapped_events() -> None:
    """One piece in nine is passed on behind the next."""
    due = every(RARE)

    def swap(ask: Any, pieces: Sequence[bytes]) -> Sequence[bytes] | None:
        held: Sequence[bytes] | None = ask.__dict__.pop("held_piece", None)
        if held is not None:
            return [*pieces, *held]
        if due():
            ask.held_piece = pieces
            return []
        return None

    _pass_on(swap)


def own_event() -> None:
    """An event that no worker has written ends one stream in nine."""
    finish, due = PlatformRequest.finish, every(RARE)

    def more(self: Any) -> None:
        if not self.answered and due():
            acted()
            self.forward([OWN_EVENT])
        finish(self)

    patch(PlatformRequest, "finish", more)


MUTANTS = {
    "lost-events": Mutant("content", lost_events),
    "doubled-events": Mutant("content", doubled_events),
    "crossed-events": Mutant("content", crossed_events),
    "spoilt-events": Mutant("content", spoilt_events),
    "swapped-events": Mutant("content", swapped_events),
    "own-event": Mutant("content", own_event),
}

"""How hard a run presses: load against what workers bear, windows, scopes, effects and limits. Drawn from the seed."""

from dataclasses import dataclass
from random import Random

USUAL_SLOTS = 8  # attempts at once that count as a busy worker where none are declined


@dataclass(frozen=True, slots=True)
class Capacity:
    """What one worker bears: attempts at once, and such that wait; more are declined."""

    slots: int
    queue: int


UNBOUNDED = Capacity(1 << 20, 0)


@dataclass(frozen=True, slots=True)
class Pressure:
    """`pause`: mean seconds between two requests of a client. Times in ms where a name says so."""

    name: str
    pause: float
    prefill: Capacity
    decode: Capacity
    sockets: int  # descriptors of a gateway
    window_ms: int  # in which repeats of keyed work are dropped
    scope: str  # by which workers: all, zone or cell
    chat_effect: str
    tenants: tuple[float, ...]  # shares; none: the settings name no tenants
    retry_after: bool
    max_attempts: int
    new_session: float  # part of the requests that begin a conversation


# By name: mean pause, capacities; what decode workers bear is about five answers a second and slot.
LEVELS = {
    "mild": (0.4, UNBOUNDED, UNBOUNDED),
    "full": (0.3, Capacity(4, 8), Capacity(3, 4)),
    "overload": (0.3, Capacity(3, 6), Capacity(2, 3)),
}
SOCKETS = (256, 256, 160)


def pressed(seed: int) -> Pressure:
    """The same for the same seed."""
    random = Random(f"{seed} pressure")
    name = random.choice(tuple(LEVELS))
    pause, prefill, decode = LEVELS[name]
    return Pressure(
        name,
        pause,
        prefill,
        decode,
        sockets=random.choice(SOCKETS),
        window_ms=random.choice((300, 800, 2000)),
        scope=random.choice(("all", "zone", "cell")),
        chat_effect=random.choice(("free", "free", "guarded", "single_shot")),
        tenants=random.choice(((), (0.7, 0.3))),
        retry_after=random.random() < 0.7,
        max_attempts=random.choice((3, 4, 4, 6)),
        new_session=random.choice((0.05, 0.3)),
    )

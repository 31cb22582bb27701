"""An owner tells every gateway that it is there: where reports go, and what shuts out whoever owned the duty before."""

from stackpitch.duties.carrier.figures import Figures
from stackpitch.duties.carrier.tenure import OwnTenure
from stackpitch.loop import MS, Coro, Group, Time, World

AT_ONCE = 8  # calls under way
AGAIN: Time = 500 * MS  # before those that were not reached are told once more; doubles up to the figure `announce`


def announce(world: World, figures: Figures, tenure: OwnTenure) -> Coro[None]:
    """Voters first. Then for as long as it owns: those that were not reached soon again, all once in `announce`."""
    rest = [number for number in range(figures.gateways) if number not in figures.voters]
    everybody, pause = [*figures.voters, *rest], AGAIN
    wanted, due = list(everybody), world.now() + figures.announce
    while True:
        wanted = yield from _round(world, tenure, wanted)
        if wanted:
            yield from world.sleep(min(pause, figures.announce))
            pause = min(2 * pause, figures.announce)
        else:
            yield from world.sleep(max(AGAIN, due - world.now()))
        if world.now() >= due:
            wanted, pause, due = list(everybody), AGAIN, world.now() + figures.announce


def _round(world: World, tenure: OwnTenure, numbers: list[int]) -> Coro[list[int]]:
    """Who was not reached."""
    left, missed = list(reversed(numbers)), list[int]()

    def some() -> Coro[None]:
        while left:
            number = left.pop()
            answer = yield from tenure.effect(number, "owner", None)
            if answer is None or not answer.yes:
                missed.append(number)

    def body(group: Group) -> Coro[None]:
        yield from ()
        for _ in range(min(AT_ONCE, len(numbers))):
            group.spawn(some(), "announce")

    yield from world.group(body)
    return sorted(missed)

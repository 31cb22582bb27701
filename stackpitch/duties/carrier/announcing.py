"""An owner tells every gateway that it is there: where reports go, and what shuts out whoever owned the duty before."""

import msgspec

from stackpitch.duties.calls import Answer
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.tenure import LeaseTenure
from stackpitch.duties.ownership.pacing import MAX_CONCURRENT_ANNOUNCEMENTS, AnnouncementSchedule
from stackpitch.duties.work import Work
from stackpitch.loop import Coro, Group, World


def announce(world: World, config: DutiesConfig, tenure: LeaseTenure, work: Work | None) -> Coro[None]:
    """Voters first. Then for as long as it owns: those that were not reached soon again, all once in `announce`. `work`:
    told what came with each yes."""
    rest = [number for number in range(config.gateways) if number not in config.voters]
    schedule = AnnouncementSchedule(
        [*config.voters, *rest], config.announce_period, world.now() + config.announce_period
    )
    while True:
        missed = yield from _round(world, tenure, work, schedule.next_targets(world.now()))
        yield from world.sleep(schedule.record_round(world.now(), missed))


def _round(world: World, tenure: LeaseTenure, work: Work | None, numbers: list[int]) -> Coro[list[int]]:
    """Who was not reached."""
    left, missed = list(reversed(numbers)), list[int]()

    def some() -> Coro[None]:
        while left:
            number = left.pop()
            answer = yield from tenure.effect(number, "owner", None)
            if answer is None or not answer.yes:
                missed.append(number)
            if work is not None:
                _pass_on(work, number, answer)

    def body(group: Group) -> Coro[None]:
        yield from ()
        for _ in range(min(MAX_CONCURRENT_ANNOUNCEMENTS, len(numbers))):
            group.spawn(some(), "announce")

    yield from world.group(body)
    return sorted(missed)


def _pass_on(work: Work, number: int, answer: Answer | None) -> None:
    try:
        work.announced(number, answer.body if answer is not None and answer.yes else None)
    except msgspec.DecodeError:
        work.announced(number, None)

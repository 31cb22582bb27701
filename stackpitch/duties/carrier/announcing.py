"""An owner announces itself to every gateway, which directs reports to it and fences off earlier owners."""

import msgspec

from stackpitch.duties.calls import Answer
from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.tenure import LeaseTenure
from stackpitch.duties.ownership.pacing import MAX_CONCURRENT_ANNOUNCEMENTS, AnnouncementSchedule
from stackpitch.duties.work import Work
from stackpitch.loop import Coro, Group, World


def announce(world: World, config: DutiesConfig, tenure: LeaseTenure, work: Work | None) -> Coro[None]:
    """Announces the owner for as long as the tenure lasts: voting replicas first, then the other gateways.

    Unreached gateways are retried with back-off, all are notified once per announcement period. `work`
    receives what each gateway's answer carried.
    """
    rest = [number for number in range(config.gateways) if number not in config.voters]
    schedule = AnnouncementSchedule(
        [*config.voters, *rest], config.announce_period, world.now() + config.announce_period
    )
    while True:
        missed = yield from _announce_to(world, tenure, work, schedule.next_targets(world.now()))
        yield from world.sleep(schedule.record_round(world.now(), missed))


def _announce_to(world: World, tenure: LeaseTenure, work: Work | None, numbers: list[int]) -> Coro[list[int]]:
    """Returns the gateways that were not reached."""
    pending, missed = list(reversed(numbers)), list[int]()

    def worker() -> Coro[None]:
        while pending:
            number = pending.pop()
            answer = yield from tenure.effect(number, "owner", None)
            if answer is None or not answer.yes:
                missed.append(number)
            if work is not None:
                _deliver_answer(work, number, answer)

    def body(group: Group) -> Coro[None]:
        yield from ()
        for _ in range(min(MAX_CONCURRENT_ANNOUNCEMENTS, len(numbers))):
            group.spawn(worker(), "announce")

    yield from world.group(body)
    return sorted(missed)


def _deliver_answer(work: Work, number: int, answer: Answer | None) -> None:
    try:
        work.announced(number, answer.body if answer is not None and answer.yes else None)
    except msgspec.DecodeError:
        work.announced(number, None)

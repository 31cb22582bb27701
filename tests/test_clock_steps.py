"""Slow start under steps of the wall clock, of this machine or of a server's.

A wrong wall clock would make a new server look warm, or stay cold for hours. Its warmth must follow from when
this process was first notified of it.
"""

import itertools

from benchmarks.slow_start import fleet_of
from stackpitch.brain import Fleet
from stackpitch.gateway.roster import Roster
from stackpitch.loop import SECOND, Time
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.membership.entries import Entry

WARM_UP, COLD_FROM = 13 * SECOND, 0.3
KINDS = {"m": ("writer", 1000)}
ALLOWED = 1.5  # times what its age allows; the module sends a cold server 0.6 of what it may be sent
STEPS = [-3_600_000, -30_000, -1_000, 0, 1_000, 30_000, 3_600_000]  # milliseconds


class SteppedWorld(VirtualWorld):
    """Its clocks are set by the test."""

    wall_step = 0  # milliseconds by which the wall clock is ahead

    def true_wall_ms(self) -> int:
        return super().wall_ms()

    def wall_ms(self) -> int:
        return self.true_wall_ms() + self.wall_step

    def later(self, delay: Time) -> None:
        self.time += delay


def entry(name: str, started_unix_ms: int | None) -> Entry:
    return Entry(name=name, host="127.0.0.1", port=1, kind="m", started_unix_ms=started_unix_ms)


class Stage:
    """A gateway's roster and the warmth that it assumes of each server."""

    def __init__(self, wall_step: int) -> None:
        self.world = SteppedWorld()
        self.world.wall_step = wall_step
        self.roster = Roster(self.world, KINDS)  # type: ignore[arg-type]
        self.fleet: Fleet = fleet_of(0, 1, COLD_FROM, WARM_UP, 3.0)
        self.version = 0
        self.entries: dict[str, Entry] = {}

    def tell(self, *entries: Entry) -> None:
        self.version += 1
        self.entries |= {item.name: item for item in entries}
        servers = self.roster.apply(self.version, list(self.entries.values()))
        self.fleet.update(self.world.now(), servers, False)

    def warmth(self, name: str) -> float:
        return self.fleet.capacity_share(
            self.fleet.server_states[self.roster.servers[name]], self.world.now()
        )


def expected(age: Time) -> float:
    return COLD_FROM + (1 - COLD_FROM) * (age / WARM_UP) ** 2


def too_warm_or_cold(step: int, restarted: bool, whose: str) -> list[str]:
    """What is wrong with the warmth of a server that started, or restarted, 0.1 s before the roster was
    notified."""
    stage, problems = Stage(step if whose == "the gateway's, before the start" else 0), list[str]()
    stage.tell(entry("old", None), *([entry("one", 1_600_000_000_000)] if restarted else []))
    stage.world.later(20 * SECOND)
    stage.tell()
    if stage.warmth("old") < 1:
        problems.append("an old server is cold")
    start, claimed = stage.world.now(), stage.world.true_wall_ms() + (step if whose == "the server's" else 0)
    stage.world.wall_step = step if whose.startswith("the gateway's") else 0
    stage.world.later(SECOND // 10)
    stage.tell(entry("one", claimed))
    for seconds in (1, 4, 8):
        stage.world.later(start + seconds * SECOND - stage.world.now())
        if not COLD_FROM <= stage.warmth("one") <= ALLOWED * expected(seconds * SECOND):
            problems.append(f"{stage.warmth('one'):.2f} of its share {seconds} s after its start")
    stage.world.later(WARM_UP)
    if stage.warmth("one") < 1:
        problems.append("it is still cold after its warm-up time")
    return problems


def test_a_worker_that_has_just_started_is_cold_and_warms_up_in_time() -> None:
    cases = itertools.product(
        STEPS,
        (False, True),
        ("the server's", "the gateway's, before the start", "the gateway's, after the start"),
    )
    problems = {case: found for case in cases if (found := too_warm_or_cold(*case))}
    assert not problems, "\n".join(f"{case}: {found}" for case, found in problems.items())


def test_a_member_that_comes_back_unchanged_has_not_restarted() -> None:
    """For a minute it is remembered; later it counts as new."""
    for away, least, most in ((30, 1.0, 1.0), (200, COLD_FROM, ALLOWED * COLD_FROM)):
        stage = Stage(0)
        stage.tell(entry("old", None), entry("one", 1_600_000_000_000))
        stage.world.later(20 * SECOND)
        assert stage.warmth("one") == 1.0
        one = stage.entries.pop("one")
        stage.tell()
        stage.roster.forget(stage.roster.servers["one"])
        stage.world.later(away * SECOND)
        stage.tell()  # applying any list forgets servers that left long ago
        stage.tell(one)
        assert least <= stage.warmth("one") <= most
        assert len(stage.roster.starts.by_name) == 1

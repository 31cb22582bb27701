"""Slow start over the fleet: what all gateways together send to a cold server, against what it bears.

    python -m benchmarks.slow_start [--seeds 200] [--gateways 2 20 30 230] [--cases restarted all-cold] [--window 1000]

Each gateway is a real `Fleet` that decides with `usable` and `admit_cold`; arrivals (Poisson, uneven shares) and servers (one
queue each) are simulated. A server's warm capacity is what the whole fleet carries, over its servers, at the load that the case
states; it warms linearly from `cold_from`. N is `fall_multiple` times the requests of mean work that it can do in a window, by
its warmth at the window's start. A ratio is (sent - N) / (bound - N): over 1 it passes the bound. The operators' bound is
`operators_bound`; N + 2 sqrt(N) + 2 for every N, which is stricter where N is under 30, is shown beside it. Servers keep their
pace where the window is longer, so N grows with it. Throttling is not played: it sends less.
"""

import argparse
from collections import deque
from dataclasses import dataclass, field, fields, replace
from heapq import heappop, heappush
from math import sqrt
from random import Random
from statistics import fmean, variance

from stackpitch.brain import Fleet, ServerState
from stackpitch.interface import Generation, Leg, ModuleSettings, Product, Role, Server, Time

MS, SECOND = 10, 10_000
PRODUCT = Product("chat", "idempotent", "all", 20_000, 10_000, 400, 600, 40_000, 1.0, 0.1)
FEW_CALLS = 30  # the operators' bound is wider for an N under this
TRIES, PATIENCE, PATH = 3, 2 * SECOND, 5 * MS  # legs of a request; until one is given up; there and back


def operators_bound(calls: float) -> float:
    """What all gateways together may send to a cold server in a window in which its settings allow so many calls."""
    factor = 3 if calls < FEW_CALLS else 2
    return calls + factor * sqrt(calls) + factor


def stricter_bound(calls: float) -> float:
    """As `operators_bound`, but for few calls no wider than for many."""
    return calls + 2 * sqrt(calls) + 2


def over_bound(sent: int, calls: float, bound: float) -> float:
    """How far what was sent goes from the calls allowed (0) to the bound (1), or past it."""
    return (sent - calls) / (bound - calls)


@dataclass(frozen=True)
class Case:
    """Cold servers come at 0; what else happens then."""

    name: str
    bears: float = 5.0  # requests of mean work that a warm server can do in a second
    servers: int = 12
    cold: int = 1
    leave: int = 0  # warm ones that go as the cold ones come
    dark: Time = 0  # for how long before that they can't be reached
    quiet: float = 1.0  # part of the arrivals that stays once they have gone
    restarted: float = 0.0  # part of the gateways that start anew as they hear
    told_over: Time = 100 * MS
    load: float = 0.6
    mixed: int = 0  # of the cold ones; if negative, so many of the others
    multiple: float = 3.0
    cold_from: float = 0.3
    warm_up: Time = 13 * SECOND
    before: Time = 5 * SECOND
    after: Time = 8 * SECOND


CASES = [
    Case("one"),
    Case("restarted", restarted=1 / 3),
    Case("all-restarted", restarted=1.0),
    Case("late-lists", told_over=4 * SECOND, restarted=1 / 3),
    Case("small-N", bears=1.5, cold=4, warm_up=30 * SECOND, after=15 * SECOND, restarted=1 / 3),
    Case("large-N", bears=80.0, servers=4, after=4 * SECOND, restarted=1 / 3),
    Case("several", cold=6, restarted=1 / 3),
    Case("all-cold", cold=12, leave=12, restarted=1 / 3),
    Case("few-left", cold=2, leave=12, restarted=1 / 3),
    Case("few-left-late", cold=2, leave=12, restarted=1 / 3, told_over=2 * SECOND),
    Case(
        "few-of-many",
        bears=3.0,
        servers=40,
        cold=4,
        leave=40,
        restarted=1 / 3,
        warm_up=20 * SECOND,
        after=14 * SECOND,
    ),
    Case(
        "few-of-many-steady", bears=3.0, servers=40, cold=4, leave=40, warm_up=20 * SECOND, after=14 * SECOND
    ),
    Case("few-of-many-long", bears=3.0, servers=40, cold=4, leave=40, warm_up=60 * SECOND, after=30 * SECOND),
    Case("few-left-long", cold=2, leave=12, warm_up=60 * SECOND, after=30 * SECOND),
    Case(
        "few-of-many-all-restarted",
        bears=3.0,
        servers=40,
        cold=4,
        leave=40,
        restarted=1.0,
        warm_up=20 * SECOND,
        after=14 * SECOND,
    ),
    Case(
        "few-of-many-long-restarted",
        bears=3.0,
        servers=40,
        cold=4,
        leave=40,
        restarted=1 / 3,
        warm_up=60 * SECOND,
        after=30 * SECOND,
    ),
    Case("few-of-many-rare", bears=1.0, servers=40, cold=4, leave=40, warm_up=60 * SECOND, after=30 * SECOND),
    Case(
        "few-of-many-full",
        bears=3.0,
        servers=40,
        cold=4,
        leave=40,
        load=1.0,
        warm_up=60 * SECOND,
        after=30 * SECOND,
    ),
    Case("one-of-many", bears=3.0, servers=40, cold=1, leave=40, warm_up=60 * SECOND, after=30 * SECOND),
    Case(
        "few-mixed-of-many",
        bears=3.0,
        servers=40,
        cold=4,
        leave=40,
        mixed=4,
        warm_up=60 * SECOND,
        after=30 * SECOND,
    ),
    Case(
        "half-mixed-of-many",
        bears=3.0,
        servers=40,
        cold=4,
        leave=40,
        mixed=2,
        warm_up=60 * SECOND,
        after=30 * SECOND,
    ),
    Case(
        "few-of-many-quiet",
        bears=3.0,
        servers=40,
        cold=4,
        leave=40,
        quiet=0.1,
        warm_up=60 * SECOND,
        after=30 * SECOND,
    ),
    Case("all-cold-after-dark", cold=12, leave=12, dark=30 * SECOND, before=35 * SECOND),
    Case("mixed", mixed=1, restarted=1 / 3),
    Case("mixed-all-restarted", mixed=1, restarted=1.0),
    Case("mixed-of-many", bears=3.0, servers=40, mixed=1, restarted=1 / 3),
    Case("reader-among-mixed", bears=3.0, servers=40, mixed=-39, restarted=1 / 3),
    Case("overload", load=1.5, restarted=1 / 3),
    Case("multiple-2", multiple=2.0, cold_from=0.1, restarted=1 / 3),
]


class Silent:
    """A gateway that only its `Fleet`'s log lines reach."""

    def log(self, text: str) -> None:
        pass


def fleet_of(number: int, gateways: int, cold_from: float, warm_up: Time, multiple: float) -> Fleet:
    """What the gateway of that number knows of the servers, before its first list."""
    settings = ModuleSettings(
        number=number,
        gateways=gateways,
        zone="a",
        max_legs=TRIES,
        max_retry_after=0,
        fall_multiple=multiple,
        must_ask=False,
        cold_from=cold_from,
        warm_up=warm_up,
        local_reads=True,
    )
    return Fleet(Silent(), number, settings)  # type: ignore[arg-type]


@dataclass
class Found:
    """Of one play or several. Windows are those that end with a leg to a cold server."""

    worst: float = -9.0  # against the stricter bound, as the two fields of what is over
    operators_worst: float = -9.0
    windows: int = 0
    windows_over: int = 0
    operators_windows_over: int = 0
    servers: int = 0
    servers_over: int = 0
    operators_servers_over: int = 0
    sent: int = 0
    read: int = 0  # of those, the ones that a cold server did in time
    allowed: float = 0.0
    first: list[int] = field(default_factory=list)  # legs in the window after all have heard

    def add(self, other: "Found") -> None:
        for one in fields(self):
            here, there = getattr(self, one.name), getattr(other, one.name)
            setattr(
                self, one.name, max(here, there) if one.name in ("worst", "operators_worst") else here + there
            )


class Cluster:
    """One play of a case."""

    def __init__(self, case: Case, gateways: int, seed: int, window: Time, one_clock: bool = False) -> None:
        self.case, self.count, self.window, self.random = (
            case,
            gateways,
            window,
            Random(f"{case.name} {gateways} {seed}"),
        )
        self.start = case.before
        self.events: list[tuple[Time, int, str, tuple]] = []
        self.ticket = 0
        self.old = [
            Server(f"s{seed}-{number}", "a", "k", 1, "mixed" if number < -case.mixed else "reader", 100_000)
            for number in range(case.servers - (0 if case.leave else case.cold))
        ]
        self.new = [
            Server(
                f"c{seed}-{number}",
                "a",
                "k",
                1,
                "mixed" if number < case.mixed else "reader",
                100_000,
                started=self.start,
            )
            for number in range(case.cold)
        ]
        self.free: dict[str, Time] = {}
        self.read = 0
        self.sent: dict[str, list[Time]] = {one.name: [] for one in self.new}
        self.rosters = [list(self.old) for _ in range(gateways)]
        # Each process states a start by its own clock, and no two agree to a tenth of a ms.
        self.skew = [0 if one_clock else self.random.randrange(-20, 21) for _ in range(gateways)]
        self.fleets = [self.fleet(number, 0) for number in range(gateways)]
        self.own = [{one.name: replace(one) for one in self.old} for _ in range(gateways)]
        for number, fleet in enumerate(self.fleets):
            fleet.update(0, list(self.own[number].values()), True)

    def fleet(self, number: int, now: Time) -> Fleet:
        case = self.case
        made = fleet_of(number, self.count, case.cold_from, case.warm_up, case.multiple)
        made.created_at = now
        return made

    def at(self, when: Time, what: str, *of: object) -> None:
        self.ticket += 1
        heappush(self.events, (when, self.ticket, what, of))

    def warmth(self, age: Time) -> float:
        return min(1.0, self.case.cold_from + (1 - self.case.cold_from) * max(0, age) / self.case.warm_up)

    def play(self) -> Found:
        case, random = self.case, self.random
        rate = case.load * case.servers * case.bears / SECOND
        weights = [
            random.choice((4.0, 0.3)) if random.random() < 0.2 else random.uniform(0.5, 1.5)
            for _ in range(self.count)
        ]
        when, end = 0.0, self.start + case.after
        while (when := when + random.expovariate(rate * (case.quiet if when > self.start else 1))) < end:
            self.at(int(when), "arrive", random.choices(range(self.count), weights)[0])
        restart = set(random.sample(range(self.count), round(case.restarted * self.count)))
        for number in range(self.count):
            self.at(self.start + random.randrange(case.told_over), "hear", number, number in restart)
        while self.events:
            now, _, what, of = heappop(self.events)
            if now >= end:
                break
            getattr(self, what)(now, *of)
        return self.found(self.window)

    def hear(self, now: Time, number: int, restarted: bool) -> None:
        gone = {one.name for one in self.old[: self.case.leave]}
        if restarted:
            self.fleets[number] = self.fleet(number, now)
            self.own[number] = {one.name: replace(one) for one in self.old}
        own = self.own[number] = {name: one for name, one in self.own[number].items() if name not in gone}
        own |= {one.name: replace(one, started=self.start + self.skew[number]) for one in self.new}
        self.fleets[number].update(now, list(own.values()), True)

    def arrive(self, now: Time, number: int) -> None:
        gen = Generation(
            f"{now} {self.ticket}",
            PRODUCT,
            None,
            None,
            None,
            0,
            1000,
            100,
            None,
            now,
            now + 40_000,
            False,
            False,
        )
        self.send(now, number, gen)

    def send(self, now: Time, number: int, gen: Generation) -> None:
        """As `Dispatcher.candidates` and `Reader.pick` choose, with the hash's order by chance."""
        fleet = self.fleets[number]
        tried = {leg.server for leg in gen.legs}
        roles: tuple[Role, ...] = ("reader", "mixed")
        seats = [one for role in roles for one in fleet.usable(role, now, gen) if one.server not in tried]
        seats = [one for one in seats if one.admitted_gen is gen] or [
            one for one in seats if not fleet.is_cold(one, now)
        ]
        if not seats or len(gen.legs) >= TRIES:
            return
        seat = self.random.choice(seats)
        leg = Leg(gen, len(gen.legs), seat.server, now)
        gen.legs.append(leg)
        seat.waiting[leg] = now
        name = seat.server.name
        if now >= self.start - self.case.dark and name in {one.name for one in self.old[: self.case.leave]}:
            self.at(now + MS, "back", number, fleet, seat, leg, "unreachable")
            return
        if name in self.sent and now - self.start < self.case.warm_up:
            self.sent[name].append(now)
        pace = self.case.bears * (self.warmth(now - self.start) if name in self.sent else 1) / SECOND
        self.free[name] = int(max(now, self.free.get(name, 0)) + self.random.expovariate(1) / pace) + 1
        done = self.free[name] + PATH
        self.at(
            min(done, now + PATIENCE),
            "back",
            number,
            fleet,
            seat,
            leg,
            "read" if done <= now + PATIENCE else "time-out",
        )

    def back(self, now: Time, number: int, fleet: Fleet, seat: ServerState, leg: Leg, outcome: str) -> None:
        seat.waiting.pop(leg, None)
        leg.outcome = outcome  # type: ignore[assignment]
        if self.fleets[number] is not fleet:
            return  # its gateway is no more
        if seat.server not in fleet.server_states:
            fleet.server_states[seat.server] = seat  # kept in use by its leg
        if outcome == "read":
            self.read += seat.server.name in self.sent
            fleet.record_success(seat, now, leg)
        else:
            fleet.record_failure(seat, now, leg)
            if outcome == "unreachable":
                self.send(now, number, leg.gen)

    def found(self, window: Time) -> Found:
        """What came of a play, in windows of this length."""
        case, all_of = self.case, Found()
        whole = case.multiple * case.bears * window / SECOND
        for times in self.sent.values():
            of = Found(windows=len(times), servers=1, sent=len(times))
            recent = deque[Time]()
            for now in times:
                recent.append(now)
                while now - recent[0] >= window:
                    recent.popleft()
                calls = whole * self.warmth(now - window - self.start)
                stricter = over_bound(len(recent), calls, stricter_bound(calls))
                operators = over_bound(len(recent), calls, operators_bound(calls))
                of.worst, of.operators_worst = max(of.worst, stricter), max(of.operators_worst, operators)
                of.windows_over += stricter > 1
                of.operators_windows_over += operators > 1
            of.servers_over, of.operators_servers_over = int(of.worst > 1), int(of.operators_worst > 1)
            of.allowed = sum(whole * self.warmth(age) for age in range(0, case.after, window))
            of.first = [sum(case.told_over <= now - self.start < case.told_over + window for now in times)]
            all_of.add(of)
        all_of.read = self.read
        return all_of


def rows(cases: list[Case], gateways: list[int], seeds: int, window: Time, one_clock: bool) -> None:
    print(
        "| case | gateways | worst ratio | windows over | servers over | worst, stricter | servers over, stricter "
        "| variance/mean | budget used | read in time |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for case in cases:
        for count in gateways:
            found = Found()
            for seed in range(seeds):
                found.add(Cluster(case, count, seed, window, one_clock).play())
            spread = variance(found.first) / max(1e-9, fmean(found.first))
            print(
                f"| {case.name} | {count} | {found.operators_worst:.2f} "
                f"| {found.operators_windows_over} of {found.windows} "
                f"| {found.operators_servers_over} of {found.servers} "
                f"| {found.worst:.2f} | {found.servers_over} of {found.servers} "
                f"| {spread:.2f} | {found.sent / found.allowed:.2f} | {found.read / found.allowed:.2f} |",
                flush=True,
            )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--gateways", type=int, nargs="+", default=[1, 2, 5, 20, 30, 230])
    parser.add_argument("--cases", nargs="+", default=[one.name for one in CASES])
    parser.add_argument("--window", type=int, default=1000, help="fall_ms: 1000, 2000, 3000")
    parser.add_argument(
        "--one-clock", action="store_true", help="all state a start alike, to the tenth of a ms"
    )
    given = parser.parse_args()
    rows(
        [one for one in CASES if one.name in given.cases],
        given.gateways,
        given.seeds,
        given.window * MS,
        given.one_clock,
    )


if __name__ == "__main__":
    main()

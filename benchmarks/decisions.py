"""What the module decides, line by line, and what a decision costs by the number of servers.

    python -m benchmarks.decisions record FILE [--seeds N] [--seconds S]
    python -m benchmarks.decisions cost [--servers 20 100 300 1000] [--rounds N]

Gateways with a real `Brain` each share made-up servers; all chance is from the seed, so two programs that decide alike
write the same FILE, to the byte. Each line is something that a `Brain` asked for, with its time and gateway: legs with their
limits, answers, words to peers, log lines. Legs come back with every outcome; servers hang, refuse, slow down, restart cold and
leave, lists come late and in part, words are lost and spoilt, clients leave.

Cost is the processor time inside `Brain` for each generation, from arrival to its last leg's end. As many requests go to fleets
of each size in turn; the ratio is to the first size of the same round, and the median over the rounds is told.
"""

import argparse
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from random import Random
from statistics import median
from time import process_time
from typing import Any, TextIO

from stackpitch.brain import Brain
from stackpitch.interface import (
    MS,
    NEVER_RAN,
    SECOND,
    Generation,
    Leg,
    Outcome,
    Product,
    ReleaseReason,
    Report,
    Role,
    Server,
    Time,
)

PRODUCTS = [
    Product(name, effect, scope, 2 * SECOND, SECOND, 400, 600, 4 * SECOND, 1.0, 0.1)
    for name, effect, scope in (
        ("chat", "idempotent", "all"),
        ("order", "side-effecting", "all"),
        ("book", "deduplicated", "cell"),
        ("note", "deduplicated", "zone"),
        ("memo", "deduplicated", "all"),
    )
]
MEMORY = 100_000


@dataclass(frozen=True)
class Case:
    name: str
    readers: int = 12
    writers: int = 8
    mixed: int = 0
    zones: str = "a"
    gateways: int = 3
    told: int = 3  # how many the module is told there are
    peers: bool = False
    probes: bool = False
    local_reads: bool = True
    reports: bool = True
    rate: float = 60.0  # generations a second, over all gateways
    troubles: float = 2.0  # a second


CASES = [
    Case("reports"),
    Case("plain", reports=False, probes=True, told=200, gateways=2, rate=40),
    Case("peers", peers=True),
    Case("peers-zones", peers=True, reports=False, zones="ab", readers=20, writers=14, told=12),
    Case("mixed", readers=6, writers=6, mixed=8, local_reads=False),
    Case("all-mixed", readers=0, writers=0, mixed=16, peers=True),
    Case("zones-mixed", readers=10, writers=8, mixed=6, zones="abc", told=30, probes=True, reports=False),
    Case("overload", readers=3, writers=3, rate=150.0),
    Case("stormy", readers=30, writers=20, zones="ab", troubles=12.0),
    Case("no-readers", readers=0, writers=10),
    Case("wide", readers=160, writers=100, zones="ab", peers=True, troubles=8.0),
    Case(
        "wide-alone",
        readers=160,
        writers=100,
        mixed=20,
        gateways=1,
        told=200,
        rate=50.0,
        reports=False,
        troubles=8.0,
    ),
]


class Door:
    """One gateway as its module sees it."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number = world, number
        self.servers: dict[str, Server] = {}
        case = world.case
        self.brain = Brain(
            self,
            world.seed * 100 + number,
            number=number,
            gateways=case.told,
            zone=case.zones[number % len(case.zones)],
            max_legs=4,
            max_retry_after=SECOND,
            fall_multiple=2.5,
            must_ask=True,
            cold_from=0.3,
            warm_up=6 * SECOND,
            local_reads=case.local_reads,
            peers=case.peers,
            probes=case.probes,
            cancels=True,
        )

    def note(self, text: str) -> None:
        self.world.note(f"{self.world.now} {self.number} {text}")

    def call(self, what: Callable[..., Any], *of: object) -> None:
        begun = process_time()
        what(self.world.now, *of)
        self.world.spent += process_time() - begun

    # What the module asks for.

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        leg = Leg(gen, len(gen.legs), server, self.world.now)
        gen.legs.append(leg)
        self.note(f"send {gen.name} {server.name} {limit}")
        self.world.leg(self, leg, limit)
        return leg

    def hold(self, gen: Generation, server: Server) -> None:
        self.note(f"hold {gen.name} {server.name}")

    def release(self, gen: Generation, why: ReleaseReason) -> None:
        self.note(f"release {gen.name}")

    def throttle(self, gen: Generation, retry_after: Time) -> None:
        gen.over = True
        self.note(f"throttle {gen.name} {retry_after}")
        self.world.after(retry_after, self.world.arrive, self, gen)

    def terminate(self, gen: Generation) -> None:
        gen.over = True
        self.note(f"terminate {gen.name}")

    def cancel(self, leg: Leg) -> None:
        self.note(f"cancel {leg.gen.name} {leg.number}")
        self.world.after(1, self.world.end, self, leg, "cancelled")

    def probe(self, server: Server) -> None:
        self.note(f"probe {server.name}")
        self.world.after(3 * MS, self.world.probed, self, server)

    def move(self, gen: Generation) -> None:
        self.note(f"move {gen.name}")

    def call_later(self, delay: Time, call: Callable[[Time], None]) -> None:
        self.note(f"wake {delay}")
        self.world.after(delay, self.call, call)

    def send_to_peer(self, peer: int, octets: bytes) -> None:
        self.note(f"tell {peer} {octets.hex()}")
        self.world.tell(self, peer, octets)

    def subscribe(self) -> None:
        self.note("subscribe")
        self.world.after(5 * MS, self.world.listed, self)

    def log(self, text: str) -> None:
        self.note(f"log {text}")


class World:
    def __init__(self, case: Case, seed: int, note: Callable[[str], None]) -> None:
        self.case, self.seed, self.note = case, seed, note
        self.random, self.now, self.spent, self.arrivals = Random(f"{case.name} {seed}"), 0, 0.0, 0
        self.events: list[tuple[Time, int, Callable[..., None], tuple[Any, ...]]] = []
        self.ticket, self.names = count(), count()
        self.servers: dict[str, Server] = {}
        self.trouble: dict[str, tuple[str, Time]] = {}  # what ails a server, and until when
        self.load: dict[str, int] = {}
        roles: list[tuple[Role, int]] = [
            ("reader", case.readers),
            ("writer", case.writers),
            ("mixed", case.mixed),
        ]
        for role, many in roles:
            for _ in range(many):
                self.add(role)
        self.doors = [Door(self, number) for number in range(case.gateways)]

    def add(self, role: Role) -> Server:
        number = next(self.names)
        zone = self.case.zones[number % len(self.case.zones)]
        cell = self.case.zones.index(zone) * 10 + (0 if self.random.random() < 0.7 else 1)
        made = Server(
            f"{role[0]}{number}", zone, role, cell, role, MEMORY, started=None if self.now == 0 else self.now
        )
        self.load[made.name] = 0
        self.servers[made.name] = made
        return made

    def after(self, delay: Time, call: Callable[..., None], *of: object) -> None:
        heappush(self.events, (self.now + max(0, int(delay)), next(self.ticket), call, of))

    def play(self, seconds: float) -> None:
        for door in self.doors:
            self.after(0, lambda one: one.call(one.brain.begin), door)
        self.after(50 * MS, self.traffic)
        self.after(SECOND, self.befall)
        while self.events and self.events[0][0] < seconds * SECOND:
            self.now, _, call, of = heappop(self.events)
            call(*of)

    # Lists.

    def listed(self, door: Door, some: list[Server] | None = None) -> None:
        changed = []
        if self.random.random() < 0.05 and self.now > 0:
            door.call(door.brain.roster_failed)
        for one in self.servers.values() if some is None else some:
            own = door.servers.get(one.name)
            if own is None:
                own = door.servers[one.name] = Server(
                    one.name, one.zone, one.kind, one.cell, one.role, one.memory_tok
                )
            own.state, own.started = one.state, one.started
            if one.state != "gone" or some is not None:
                changed.append(own)
        door.call(door.brain.roster, changed, some is None)

    def befall(self) -> None:
        self.after(self.random.expovariate(max(0.001, self.case.troubles)) * SECOND, self.befall)
        if not self.case.troubles:
            return
        one, what = self.random.choice(list(self.servers.values())), self.random.random()
        some: list[Server] | None = [one]
        if what < 0.6:
            ill = self.random.choice(
                ("hung", "slow", "unreachable", "reset", "error", "full", "not-sent", "no-state")
            )
            for each in self.random.sample(
                list(self.servers.values()), 1 if what < 0.55 else len(self.servers) // 3
            ):
                self.trouble[each.name] = ill, self.now + self.random.randrange(SECOND // 2, 3 * SECOND)
            return
        if what < 0.7:
            one.state = "draining" if one.state == "ready" else "ready"
        elif what < 0.75:
            one.state = "gone"
        elif what < 0.85:
            one.state, one.started = "ready", self.now - self.random.randrange(SECOND)
        elif what < 0.92:
            some = [self.add(one.role)]
        else:
            some = None
        for door in self.doors:
            self.after(self.random.randrange(SECOND // 2), self.listed, door, some)

    # Traffic.

    def traffic(self) -> None:
        self.after(self.random.expovariate(self.case.rate) * SECOND, self.traffic)
        self.arrive(self.random.choice(self.doors))

    def arrive(self, door: Door, again: Generation | None = None) -> None:
        random, number = self.random, self.arrivals
        if again is not None:
            if again.repeat or random.random() < 0.5:
                return
            gives_up = self.now + random.randrange(SECOND // 2, 4 * SECOND)
            gen = replace(
                again,
                name=f"{again.name}'",
                arrived=self.now,
                deadline=gives_up,
                repeat=True,
                over=False,
                legs=[],
            )
        else:
            self.arrivals += 1
            session = f"s{random.randrange(200)}" if random.random() < 0.8 else None
            shared = f"t{int(random.paretovariate(0.8))}" if random.random() < 0.7 else None
            prompt = int(random.lognormvariate(7.2, 0.8))
            gen = Generation(
                f"g{number}",
                random.choices(PRODUCTS, (6, 1, 1, 1, 1))[0],
                None,
                session,
                shared,
                min(prompt, 800) if shared else 0,
                prompt,
                random.randrange(20, 800),
                random.randrange(SECOND) if random.random() < 0.3 else None,
                self.now,
                self.now + random.randrange(SECOND // 4, 4 * SECOND),
                False,
                False,
            )
        door.call(door.brain.arrived, gen)
        if random.random() < 0.02:
            self.after(random.randrange(SECOND), self.leave, door, gen)

    def leave(self, door: Door, gen: Generation) -> None:
        if not gen.over:
            gen.over = True
            for leg in gen.legs:
                if leg.outcome is None:
                    self.after(1, self.end, door, leg, "cancelled")
            door.call(door.brain.departed, gen)

    # Legs.

    def leg(self, door: Door, leg: Leg, limit: Time) -> None:
        random, name, gen = self.random, leg.server.name, leg.gen
        self.load[name] += 1
        ill, until = self.trouble.get(name, ("", 0))
        ill = ill if self.now < until else ""
        age = MS * self.load[name] * (20 if ill == "slow" else 1)
        if random.random() < 0.01:
            ill = random.choice(("error", "full", "reset"))
        if self.servers[name].state == "gone" or ill == "unreachable":
            self.after(random.randrange(1, 250 * MS), self.end, door, leg, "unreachable")
        elif ill == "hung":
            self.after(limit, self.end, door, leg, "time-out")
        elif ill in ("reset", "error", "full", "not-sent"):
            self.after(random.randrange(1, 60 * MS), self.end, door, leg, ill)
        elif ill == "no-state" and leg.server.role == "writer":
            self.after(random.randrange(1, 10 * MS), self.end, door, leg, "full", True)
        else:
            pace = 0.05 if leg.server.role == "writer" else 1.0
            took = int(age * 4 + random.expovariate(1 / (20 * MS)) + gen.prompt_tok * pace)
            if took >= limit or random.random() < 0.02:  # some answers are lost
                self.after(limit, self.end, door, leg, "time-out")
            elif leg.server.role == "reader":
                self.after(took, self.end, door, leg, "read")
            else:
                self.after(took, self.start, door, leg)

    def start(self, door: Door, leg: Leg) -> None:
        if leg.outcome is None and not leg.gen.over:
            leg.streaming = True
            door.call(door.brain.stream_started, leg)
            how = "reset" if self.random.random() < 0.01 else "streamed"
            self.after(self.random.randrange(SECOND), self.end, door, leg, how)

    def end(self, door: Door, leg: Leg, outcome: Outcome, no_state: bool = False) -> None:
        if leg.outcome is not None:
            return
        leg.outcome, gen = outcome, leg.gen
        self.load[leg.server.name] -= 1
        gen.over = gen.over or outcome == "streamed" or leg.streaming
        kept = int(gen.prompt_tok * self.random.choice((0, 0.3, 0.9))) if outcome == "streamed" else 0
        told = (
            self.case.reports and self.random.random() < 0.7 and outcome not in (NEVER_RAN - {"read", "full"})
        )
        report = (
            Report(min(1.0, self.load[leg.server.name] * 0.04 + self.random.random() * 0.1)) if told else None
        )
        door.call(door.brain.ended, leg, kept, no_state, report)

    # Words.

    def probed(self, door: Door, server: Server) -> None:
        well = self.random.random() < 0.9
        report = Report(self.random.random()) if well and self.random.random() < 0.3 else None
        door.call(door.brain.probe_answered, server, well, report)

    def tell(self, door: Door, peer: int, octets: bytes) -> None:
        chance = self.random.random()
        if peer < len(self.doors) and chance < 0.95:
            octets = octets[: self.random.randrange(len(octets))] if chance < 0.02 else octets
            self.after(self.random.randrange(1, 5 * MS), self.heard, self.doors[peer], door.number, octets)

    def heard(self, door: Door, peer: int, octets: bytes) -> None:
        door.call(door.brain.peer_message, peer, octets)


def record(sink: TextIO, seeds: int, seconds: float) -> None:
    for case in CASES:
        for seed in range(seeds):
            digest, lines = hashlib.sha256(), 0

            def note(text: str) -> None:
                nonlocal lines
                lines += 1
                digest.update(text.encode())  # noqa: B023
                sink.write(f"{case.name} {seed} {text}\n")  # noqa: B023

            World(case, seed, note).play(seconds)
            print(f"{case.name} {seed} {lines} {digest.hexdigest()[:16]}", flush=True)


def cost(sizes: list[int], rounds: int, seconds: float) -> None:
    kinds: list[tuple[str, dict[str, Any]]] = [
        ("reports", {}),
        ("peers", {"peers": True, "reports": False}),
        ("told nothing", {"reports": False, "told": 200}),
    ]
    print("| case | servers | ms a generation | of the first |\n| --- | ---: | ---: | ---: |")
    for name, given in kinds:
        found: dict[int, list[float]] = {size: [] for size in sizes}
        for turn in range(rounds):
            for size in sizes:
                case = Case(
                    name, readers=size // 2, writers=size - size // 2, troubles=0.0, rate=40.0, **given
                )
                world = World(case, turn, lambda _: None)
                world.play(seconds)
                found[size].append(world.spent / world.arrivals * 1e3)
        for size in sizes:
            ratio = median(one / first for one, first in zip(found[size], found[sizes[0]]))
            print(f"| {name} | {size:,} | {median(found[size]):.2f} | {ratio:.2f} |", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("record", "cost"))
    parser.add_argument("file", nargs="?", type=Path)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--servers", type=int, nargs="+", default=[20, 100, 300, 1000])
    parser.add_argument("--rounds", type=int, default=5)
    given = parser.parse_args()
    if given.what == "cost":
        cost(given.servers, given.rounds, given.seconds)
    else:
        with given.file.open("w") as sink:
            record(sink, given.seeds, given.seconds)


if __name__ == "__main__":
    main()

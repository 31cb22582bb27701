"""What happens in a run, drawn from its seed: troubles that overlap by two and three, some after a long quiet time."""

from dataclasses import dataclass
from itertools import combinations
from random import Random

from soak.pressure import Pressure, pressed

WORKER_MODES = ("hang", "hang-midway", "fail", "decline", "break", "slow", "stray", "forget", "late-reset")
WORKER_NETWORK = (
    "silent",
    "delay",
    "pieces",
    "cut",
    "half-close",
    "garbage",
    "reset",
    "close-idle",
    "late-connect",
)
# What streams are like, beside the modes that are drawn: no event any more but comments, or long pauses with comments.
STREAM_MODES = ("comments", "pauses")
# How messages are formed: streams that depart from their form at any point, rare forms that are sound, and answers of any
# kind that can't be used from their first byte on or state too much.
FORM_MODES = ("departs", "forms", "unsound")
# Nothing new is taken, on all connections or on those that rest, while all else goes on.
WORKER_DEAF = ("deaf", "mute-idle")
WORKER_LIFE = ("die", "drain", "join")
LASTING = ("drain-long",)  # to the run's end
GATEWAY_SIGNALS = ("stop-short", "stop-long", "kill", "roll", "hup", "hup-settings")
GATEWAY_SYSTEM = ("short-io", "local", "clock", "broken-io")
DISCOVERY = (
    "discovery-down",
    "discovery-silent",
    "discovery-late",
    "discovery-reset",
    "discovery-pieces",
    "discovery-mute",
)
SLOW_DISCOVERY = "discovery-slow"
# In three runs of four, for some seconds before workers begin to drain for good; longer than a change may take to count.
SLOW_DISCOVERY_PART, SLOW_DISCOVERY_LENGTH = 0.75, 12.0
AFTER_SLOW_DISCOVERY = 4.0  # seconds of the run that are left then
DISCOVERY_FORMS = "discovery-unsound"  # beside the others, so that earlier seeds keep theirs
CLIENTS = ("burst", "crowd")
CLIENT_FORMS = "unsound-requests"
GROUPS = (WORKER_MODES, WORKER_NETWORK, WORKER_LIFE, GATEWAY_SIGNALS, GATEWAY_SYSTEM, DISCOVERY, CLIENTS)
QUIET, LONG_QUIET = 1.5, 13.0  # seconds; the latter is over the time for which resting connections are kept
LONG_QUIET_PART = 0.15
DEADLINE_PARTS = (1.0, 1.0, 0.4, 0.15)
CROWDED_PART = 0.3  # of the runs
SURE_ROLLS = 3  # in each run, beside those that are drawn
THROUGH_A_ROLL = ("hang", "silent", "slow")  # what workers do then
ROLL = 4.0  # seconds that a gateway may have from SIGTERM to SIGKILL, and some
# Seconds in each run in which no decode worker takes anything, and then four in five of all: states wait for releases.
SURE_SILENCE = 2.5
SURE = ("break", "late-reset", "hang-midway", "fail", "join", "hup", "hup-settings", "drain", "cut")
SURE_OF_LISTS = ("hup", "discovery-silent", "discovery-mute")  # one of them before a drain that lasts
SURE_LENGTH = 2.5
STREAM_TIMES, STREAM_LENGTH = 2, 3.0  # in each run, of each kind; seconds
FORM_TIMES, UNSOUND_LISTS_LENGTH = 2, 1.5  # in each run; seconds
DEPARTING_TIMES = 6  # in each run; at half of the decode workers, or at all
DEAF_TIMES, DEAF_LENGTH = 2, 3.0  # in each run, of each kind; seconds
# In each run, twice: half of the decode workers hang with what they have taken; before the attempts' time is over, the
# workers of one role take nothing more.
FAILED_LENGTH = 3.0  # seconds
# How long workers take, in times of the shortest; attempts then have as much longer. With the longest a state is due for
# its release while its attempt is still out.
PACES = (1.0, 4.0, 4.0)
# Kinds whose crossings with others are seldom drawn: of all pairs each seed has some, one seed after the other.
RARE = ("kill", "die", "clock", "decline", "late-connect", "stop-long", "hup", "drain", "crowd", "local")
RARE_PAIRS = tuple(combinations(RARE, 2))
PAIRS_A_SEED = 3
PAIR_LENGTH = 1.5


@dataclass(frozen=True, slots=True)
class Trouble:
    kind: str
    at: float  # seconds from the start
    length: float
    targets: tuple[int, ...]  # numbers of gateways or workers
    amount: float  # from 0 to 1; what it means is the kind's

    def __str__(self) -> str:
        return f"{self.at:6.2f} s  {self.kind} for {self.length:.2f} s at {list(self.targets)}, {self.amount:.2f}"


@dataclass(frozen=True, slots=True)
class Plan:
    gateways: int
    readers: int
    writers: int
    clients: int
    pressure: Pressure
    second_copies: bool
    release_ms: int
    seconds: float
    pace: float  # by how much reads and first tokens take longer than the shortest
    deadline_part: float  # of the classes' usual deadlines; SIGKILL comes the sooner after SIGTERM
    crowded: tuple[int, ...]  # gateways whose places for clients idle connections fill all the time
    troubles: tuple[Trouble, ...]


def drawn(seed: int, seconds: float, gateways: int) -> Plan:
    """The same for the same arguments. `gateways`: 0 for a number of its own."""
    random = Random(seed)
    count = gateways or random.randint(10, 14)
    readers, writers = random.randint(4, 8), random.randint(4, 8)
    troubles: list[Trouble] = []
    at = 2.0
    while at < seconds - 6:
        at += LONG_QUIET if random.random() < LONG_QUIET_PART else random.expovariate(1 / QUIET)
        for group in random.sample(GROUPS, random.choice((2, 2, 3))):
            kind = random.choice(group)
            length = random.uniform(0.3, 4)
            troubles.append(
                Trouble(
                    kind,
                    at + random.uniform(0, 0.8),
                    length,
                    _targets(random, kind, count, readers, writers),
                    random.random(),
                )
            )
        at += 3.0
    more = Random(f"{seed} stops")  # by itself, so that earlier seeds keep their other troubles
    for _ in range(SURE_ROLLS):
        when = more.uniform(2.0, max(2.5, seconds - 8))
        targets = _targets(more, "roll", count, readers, writers)
        troubles.append(Trouble("roll", when, 1.0, targets, more.random()))
        role = range(readers) if more.random() < 0.5 else range(readers, readers + writers)
        some = tuple(sorted(more.sample(role, more.randint(len(role) // 2, len(role)))))
        began = when + more.uniform(-0.5, 1.0)
        troubles.append(Trouble(more.choice(THROUGH_A_ROLL), began, ROLL, some, more.random()))
    alone = Random(f"{seed} silence")
    decode = tuple(range(readers, readers + writers))
    when = alone.uniform(2.0, max(2.5, seconds - 8))
    troubles.append(Trouble("silent", when, SURE_SILENCE, decode, alone.random()))
    troubles += _sure(Random(f"{seed} sure"), seconds, count, readers, writers)
    when = alone.uniform(2.0, max(2.5, seconds - 8))
    most = alone.sample(range(readers + writers), (readers + writers) * 4 // 5)
    troubles.append(Trouble("silent", when, SURE_SILENCE, tuple(sorted(most)), alone.random()))
    troubles += _deaf(Random(f"{seed} deaf"), seconds, readers, writers)
    troubles += _odd_streams(Random(f"{seed} streams"), seconds, readers, writers)
    troubles += _formed(Random(f"{seed} forms"), seconds, count, readers, writers)
    troubles += _slow_discovery(Random(f"{seed} slow discovery"), seconds, count, readers, writers)
    troubles += _failed(Random(f"{seed} failed"), seconds, readers, writers)
    troubles += _paired(seed, seconds, count, readers, writers)
    crowded = more.random() < CROWDED_PART
    return Plan(
        count,
        readers,
        writers,
        clients=4 * count,
        pressure=pressed(seed),
        second_copies=random.random() < 0.5,
        release_ms=random.choice((400, 500, 800)),
        seconds=seconds,
        pace=Random(f"{seed} pace").choice(PACES),
        deadline_part=more.choice(DEADLINE_PARTS),
        crowded=tuple(more.sample(range(count), max(1, count // 4))) if crowded else (),
        troubles=tuple(sorted((one for one in troubles if one.at < seconds - 4), key=lambda one: one.at)),
    )


def _sure(random: Random, seconds: float, gateways: int, readers: int, writers: int) -> list[Trouble]:
    """One of each kind that is seldom drawn: at half of the decode workers what breaks answers, and workers that drain for
    good after lists were hard to get."""
    found = []
    for kind in SURE:
        at = random.uniform(1.5, max(2.0, seconds - 7))
        targets = _targets(random, kind, gateways, readers, writers)
        if kind in WORKER_MODES + WORKER_NETWORK:
            targets = tuple(sorted(random.sample(range(readers, readers + writers), (writers + 1) // 2)))
        found.append(Trouble(kind, at, SURE_LENGTH, targets, random.random()))
    at, kind = random.uniform(1.0, 2.0), random.choice(SURE_OF_LISTS)
    found.append(Trouble(kind, at, SURE_LENGTH, tuple(range(gateways)), random.random()))
    some = (random.randrange(readers), readers + random.randrange(writers))
    found.append(Trouble(LASTING[0], at + random.uniform(0.2, 1), SURE_LENGTH, some, random.random()))
    return found


def _deaf(random: Random, seconds: float, readers: int, writers: int) -> list[Trouble]:
    """At all decode workers, so that states wait for them, and at half of them with some of the prefill workers."""
    found = []
    decode = range(readers, readers + writers)
    for number, kind in enumerate(WORKER_DEAF * DEAF_TIMES):
        at = random.uniform(1.5, max(2.0, seconds - 7))
        some = list(decode)
        if number >= len(WORKER_DEAF):
            some = random.sample(decode, (writers + 1) // 2) + random.sample(range(readers), readers // 4)
        found.append(Trouble(kind, at, DEAF_LENGTH, tuple(sorted(some)), random.random()))
    return found


def _odd_streams(random: Random, seconds: float, readers: int, writers: int) -> list[Trouble]:
    """At half of the decode workers, early enough that a stream without events is seen to end."""
    found = []
    for kind in STREAM_MODES * STREAM_TIMES:
        at = random.uniform(1.5, max(2.0, seconds - 9))
        some = random.sample(range(readers, readers + writers), (writers + 1) // 2)
        found.append(Trouble(kind, at, STREAM_LENGTH, tuple(sorted(some)), random.random()))
    return found


def _formed(random: Random, seconds: float, gateways: int, readers: int, writers: int) -> list[Trouble]:
    """Streams at decode workers, answers at a third of all workers and of discovery, requests of clients."""
    found = []
    decode, workers = range(readers, readers + writers), range(readers + writers)
    drawn_at = (
        [("departs", random.choice((writers, writers // 2)), decode) for _ in range(DEPARTING_TIMES)]
        + [("forms", writers // 2, decode)] * FORM_TIMES
        + [("unsound", len(workers) // 3, workers)] * FORM_TIMES
    )
    for kind, count, among in drawn_at:
        at = random.uniform(1.5, max(2.0, seconds - 9))
        some = random.sample(among, max(1, count))
        found.append(Trouble(kind, at, STREAM_LENGTH, tuple(sorted(some)), random.random()))
    every = tuple(range(gateways))
    for _ in range(FORM_TIMES):
        at = random.uniform(1.5, max(2.0, seconds - 9))
        found.append(Trouble(DISCOVERY_FORMS, at, UNSOUND_LISTS_LENGTH, every, random.random()))
    at = random.uniform(1.5, max(2.0, seconds - 9))
    found.append(Trouble(CLIENT_FORMS, at, STREAM_LENGTH, every, random.random()))
    return found


def _slow_discovery(
    random: Random, seconds: float, gateways: int, readers: int, writers: int
) -> list[Trouble]:
    """A worker of each role drains for good meanwhile. Not in a run that is too short for it."""
    if seconds < SLOW_DISCOVERY_LENGTH + AFTER_SLOW_DISCOVERY:
        return []
    at = random.uniform(1.0, max(1.5, seconds - SLOW_DISCOVERY_LENGTH - AFTER_SLOW_DISCOVERY))
    some = (random.randrange(readers), readers + random.randrange(writers))
    slow = Trouble(
        SLOW_DISCOVERY, at, SLOW_DISCOVERY_LENGTH, tuple(range(gateways)), random.uniform(0.2, 1.0)
    )
    drain = Trouble(LASTING[0], at + random.uniform(0.5, 3.0), SURE_LENGTH, some, random.random())
    return [slow, drain] if random.random() < SLOW_DISCOVERY_PART else []


def _failed(random: Random, seconds: float, readers: int, writers: int) -> list[Trouble]:
    """Decode attempts that have arrived fail, and what follows them does not arrive: first a read, then a decode attempt."""
    found = []
    decode = range(readers, readers + writers)
    for unread_at in (range(readers), decode):
        at = random.uniform(1.5, max(2.0, seconds - 8))
        hung = tuple(sorted(random.sample(decode, (writers + 1) // 2)))
        unread = tuple(one for one in unread_at if one not in hung)
        found += [
            Trouble("hang", at, FAILED_LENGTH, hung, random.random()),
            Trouble("deaf", at + random.uniform(0.3, 1.2), FAILED_LENGTH, unread, random.random()),
        ]
    return found


def _paired(seed: int, seconds: float, gateways: int, readers: int, writers: int) -> list[Trouble]:
    """Two troubles at the same time, at half of all workers or gateways. A kill takes two gateways, as elsewhere."""
    random, found = Random(f"{seed} pairs"), []
    for place in range(PAIRS_A_SEED):
        at = random.uniform(1.5, max(2.0, seconds - 7))
        for kind in RARE_PAIRS[(seed * PAIRS_A_SEED + place) % len(RARE_PAIRS)]:
            size = readers + writers if kind in WORKER_MODES + WORKER_NETWORK + WORKER_LIFE else gateways
            most = 2 if kind == "kill" else max(1, size // (3 if kind in WORKER_LIFE else 2))
            targets = tuple(sorted(random.sample(range(size), min(size, most))))
            found.append(Trouble(kind, at + random.uniform(0, 0.2), PAIR_LENGTH, targets, random.random()))
    return found


def _targets(random: Random, kind: str, gateways: int, readers: int, writers: int) -> tuple[int, ...]:
    """A part of the workers, seldom all of a role; some of the gateways, of those that are killed one or two."""
    if kind in WORKER_MODES + WORKER_NETWORK + WORKER_LIFE:
        workers = readers + writers
        most = max(1, workers // 3)
        found = random.sample(range(workers), random.randint(1, most))
        if kind in WORKER_MODES + WORKER_NETWORK and random.random() < 0.1:
            found = list(range(readers)) if random.random() < 0.5 else list(range(readers, workers))
        return tuple(sorted(found))
    most = {"kill": 2, "roll": 3, "stop-long": 3}.get(kind, gateways)
    return tuple(sorted(random.sample(range(gateways), random.randint(1, most))))

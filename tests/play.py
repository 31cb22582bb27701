"""Plays scenarios against the decision module: texts in which each line is an input or an expectation.

with max_legs=2 local_reads=0         settings of the module, before anything else
fleet r1 r2 w1 m1                     readers, writers and mixed servers in one cell
server w2 cell=2 zone=b memory=TOK started=MS      one server with its own facts, at the start or later
list w1 draining | gone | ready started=MS         the roster changes
at 120                                the clock, in ms
gen a chat session=s shared=p prompt=2000 limit=200 gives_up=4000      chat, book or order, see PRODUCTS
heard 1 knows a w2 tok=900 age=50      gateway 1's message on a's session; or asks, tells, unknown, junk
probed w1 held=0.9 | probed w1          the answer to a probe, with a load report or without
start a | end a full no_state=1 | end a#0 read | end a streamed kept=9 | depart a | fail | wait
> send a r1                           the module's next call; a scenario ends with none left
read a chat r1 w1 prompt=2000         gen, then read at r1 and sent to w1
each-second 30 chat r1 w1             30 of these, one a second, each read in 90 ms and streamed after 900
turn a chat r1 w1 session=s           as `read`, then started and streamed; with one server, that does both
"""

from pathlib import Path
from typing import Any

from stackpitch.brain import Brain
from stackpitch.interface import Customer, Generation, Leg, Product, Report, Server

ARGUMENTS: dict[str, Any] = {
    "number": 0,
    "gateways": 1,
    "zone": "a",
    "max_legs": 4,
    "max_retry_after": 0,
    "local_reads": True,
    "must_ask": False,
    "peers": False,
    "probes": False,
    "cancels": True,
    "cold_from": 0.3,
    "warm_up": 130_000,
    "fall_multiple": 2.5,
}


PRODUCTS = {
    name: Product(name, effect, scope, 20_000, 10_000, 400, 600, 40_000, revenue, 0.1)
    for name, effect, scope, revenue in [
        ("chat", "idempotent", "all", 1.0),
        ("order", "side-effecting", "all", 1.0),
        ("book", "deduplicated", "cell", 1.0),
        ("note", "deduplicated", "all", 1.0),
        ("cheap", "idempotent", "all", 0.5),
    ]
}
MESSAGE_KINDS = {b"?": "asks", b"!": "tells", b"=": "knows", b"-": "unknown"}
ROLES = {"r": "reader", "w": "writer", "m": "mixed"}


class Play:
    """A gateway that only records what the module asks for, and the commands of the notation (`do_`)."""

    def __init__(self) -> None:
        self.now, self.asked, self.arguments, self.peer_messages = 0, [], dict(ARGUMENTS), []
        self.servers: dict[str, Server] = {}
        self.customers: dict[str | None, Customer | None] = {None: None}
        self.gens: dict[str, Generation] = {}
        self.timers: list[tuple[int, Any]] = []
        self.made: Brain | None = None

    @property
    def brain(self) -> Brain:
        if self.made is None:
            self.made = Brain(self, 7, **self.arguments)
            self.made.begin(self.now)
            self.made.roster(self.now, list(self.servers.values()), True)
        return self.made

    def send(self, gen, server, limit):
        leg = Leg(gen, len(gen.legs), server, self.now)
        gen.legs.append(leg)
        self.asked.append(f"send {gen.name} {server.name}")
        return leg

    def hold(self, gen, server):
        self.asked.append(f"hold {gen.name} {server.name}")

    def release(self, gen, reason):
        self.asked.append(f"release {gen.name}")

    def cancel(self, leg):
        self.asked.append(f"cancel {leg.gen.name}#{leg.number}")

    def probe(self, server):
        self.asked.append(f"probe {server.name}")

    def send_to_peer(self, peer, message):
        self.peer_messages.append(message)
        self.asked.append(f"tell {peer} {MESSAGE_KINDS[message[:1]]}")

    def subscribe(self):
        self.asked.append("subscribe")

    def call_later(self, delay, call):
        self.timers.append((self.now + delay, call))

    def log(self, text):
        pass

    def _final(self, answer, gen):
        gen.over = True
        self.asked.append(f"{answer} {gen.name}")

    def throttle(self, gen, retry_after):
        self._final("throttle", gen)

    def terminate(self, gen):
        self._final("terminate", gen)

    def move(self, gen):
        self._final("move", gen)

    def line(self, text: str) -> None:
        words = [word for word in text.split() if "=" not in word]
        given = dict(word.split("=") for word in text.split() if "=" in word)
        getattr(self, "do_" + words[0].replace(">", "expect").replace("-", "_"))(*words[1:], **given)

    def do_with(self, **given):
        for name, value in given.items():
            self.arguments[name] = type(ARGUMENTS[name])(float(value)) if name != "zone" else value

    def do_fleet(self, *names):
        for name in names:
            self.do_server(name)

    def do_server(self, name, cell="1", zone="a", memory="100000", started=None):
        role = ROLES[name[0]]
        self.servers[name] = Server(
            name,
            zone,
            role,
            int(cell),
            role,
            int(memory),
            "ready",
            1.0,
            None if started is None else int(started) * 10,
        )
        if self.made is not None:
            self.brain.roster(self.now, [self.servers[name]], False)

    def do_read(self, name, product, *path, **given):
        self.do_gen(name, product, **given)
        for server in path:
            self.do_expect("send", name, server)
            if server != path[-1]:
                self.do_end(name, "read")

    def do_turn(self, name, product, *path, kept="9999", **given):
        self.do_read(name, product, *path, **given)
        self.do_start(name)
        self.do_end(name, "streamed", kept=kept)

    def do_each_second(self, count, product, reader, writer, **given):
        for number in range(int(count)):
            self.do_at(number * 1000)
            self.do_gen(str(number), product, gives_up=str(number * 1000 + 9000), **given)
            self.do_expect("send", str(number), reader)
            self.do_at(number * 1000 + 90)
            self.do_end(str(number), "read")
            self.do_expect("send", str(number), writer)
            self.do_start(str(number))
            self.do_at(number * 1000 + 900)
            self.do_end(str(number), "streamed")

    def do_list(self, name, state, started=None):
        self.servers[name].state = state
        if started is not None:
            self.servers[name].started = int(started) * 10
        self.brain.roster(self.now, [self.servers[name]], False)

    def do_at(self, ms):
        self.now = int(float(ms) * 10)

    def generation(
        self,
        name,
        product,
        session=None,
        shared=None,
        prompt="1000",
        limit="100",
        gives_up="9000",
        customer=None,
        repeat="0",
    ):
        return Generation(
            name,
            PRODUCTS[product],
            self.customers.setdefault(customer, Customer(customer, 1.0, 1.0)),
            session,
            shared,
            500 if shared else 0,
            int(prompt),
            int(limit),
            None,
            self.now,
            int(gives_up) * 10,
            repeat == "1",
            False,
        )

    def do_gen(self, name, product, **given):
        self.gens[name] = self.generation(name, product, **given)
        self.brain.arrived(self.now, self.gens[name])

    def leg(self, name) -> Leg:
        gen, _, number = name.partition("#")
        return self.gens[gen].legs[int(number or -1)]

    def do_start(self, name):
        self.leg(name).streaming = True
        self.brain.stream_started(self.now, self.leg(name))

    def do_end(self, name, outcome, kept="0", no_state="0", held=None, over=None):
        leg = self.leg(name)
        leg.outcome = outcome
        leg.gen.over = leg.gen.over or outcome == "streamed" or over == "1"
        self.brain.ended(self.now, leg, int(kept), no_state == "1", Report(float(held)) if held else None)

    def do_heard(self, peer, what, name="", server=None, tok="1000", age="0", held="0"):
        brain, kind = (
            self.brain,
            next((code for code, name_of in MESSAGE_KINDS.items() if name_of == what), b"~"),
        )
        entry = (
            brain.affinity_directory.ENTRY.pack(
                brain.fleet.server_states[self.servers[server]].hash, int(tok), int(age)
            )
            if server
            else b""
        )
        means = (
            brain.fleet.list_digest + bytes(2) + bytes([int(float(held) * 100)] * len(brain.fleet.ordered))
        )
        key = brain.affinity.session_key(self.gens[name]) if name else b""
        brain.peer_message(self.now, int(peer), kind + key + entry + means)

    def do_probed(self, server, held=None, times="1"):
        for _ in range(int(times)):
            self.brain.probe_answered(
                self.now, self.servers[server], True, Report(float(held)) if held else None
            )

    def do_depart(self, name):
        self.gens[name].over = True
        self.brain.departed(self.now, self.gens[name])

    def do_granted(self, name, server):
        self.brain.hold_answered(self.now, self.gens[name], self.servers[server], True)

    def do_fail(self):
        self.brain.roster_failed(self.now)

    def do_wait(self):
        due = sorted((timer for timer in self.timers if timer[0] <= self.now), key=lambda timer: timer[0])
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, call in due:
            call(self.now)

    def do_expect(self, *words):
        expected = " ".join(words)
        actual = self.asked.pop(0) if self.asked else "nothing"
        assert actual == expected, f"expected {expected!r}, was asked {actual!r}, then {self.asked}"


def scenarios(folder: Path) -> list[tuple[str, list[str]]]:
    """The titles and lines of a folder's scenarios. A line `= title` begins one; '#' begins a comment."""
    result: list[tuple[str, list[str]]] = []
    for path in sorted(folder.glob("*.txt")):
        for line in path.read_text().splitlines():
            line = line.partition("#  ")[0].strip()
            if line.startswith("= "):
                result.append((f"{path.stem}: {line[2:]}", []))
            elif line:
                result[-1][1].append(line)
    return result

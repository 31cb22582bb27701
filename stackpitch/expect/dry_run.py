"""A made-up world around the real decision module: no socket, no clock, no process.

`DryRun` is the module's gateway. Servers answer by a few plain rules (below) unless a circumstance says otherwise; time
goes from one thing that happens to the next. How fast servers are here is made up: statements are about where work
goes and what becomes of it, not about how long it takes. Everything a gateway sees of the outside is seen here too:
lists, outcomes of legs, load reports, clients that leave.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from stackpitch.brain import Brain
from stackpitch.expect.deployment import Deployment
from stackpitch.interface import (
    NEVER_RAN,
    Customer,
    Generation,
    Leg,
    Outcome,
    Product,
    ReleaseReason,
    Report,
    Server,
    State,
    Time,
)
from stackpitch.preferences import RuledBrain

MS, SECOND = 10, 10_000
BEGIN = 600 * SECOND
# A dry server's pace: none of it is measured, and no decision hangs on it but through the module.
READ_PER_MS, READ_LEAST, FIRST_TOKEN, TOKEN = 20, 8 * MS, 30 * MS, 15 * MS
ENDS: dict[str, tuple[Outcome, Time]] = {  # what may happen to a leg, and how soon the gateway sees it
    "resets before output": ("reset", 20 * MS),
    "can't be reached": ("unreachable", 1 * MS),
    "is full": ("full", 2 * MS),
    "loses the state": ("full", 2 * MS),
    "gives an error": ("error", 20 * MS),
}
LISTED: dict[str, State] = {"drains": "draining", "gone": "gone", "ready": "ready"}
WINDOW, FEW = 5 * SECOND, 4  # over which work at a cold server is counted; so few legs are no push


@dataclass(slots=True)
class Condition:
    """How a server is, beside what the list says of it."""

    state: str = "well"  # well, hangs, full, refuse, reset
    slow: float = 1.0
    report: float | None = None


@dataclass(slots=True, eq=False)
class Trace:
    """One generation and all that became of it."""

    gen: Generation
    answer_tok: int
    previous_turn: "Trace | None" = None  # the turn before
    under_test: bool = False
    scripted_events: deque[tuple[str, str]] = field(default_factory=deque)  # part and what happens there
    client_leaves: str = ""
    end: str = ""  # streamed, throttled, terminated, broken, departed
    answered_at: Time | None = None  # first token or final answer
    final_answers: int = 0
    served_by: Server | None = None
    last_leg_ended: Time = 0  # when its last leg came back
    idle_hold_since: Time | None = None  # a state waits and no leg is out
    reservations: list[Server] = field(default_factory=list)
    longest_idle_hold: Time = 0
    ever_held: bool = False
    prefix_cells: frozenset[int] = frozenset()  # racks that held its opening when it came
    steps: list["Step"] = field(default_factory=list)


@dataclass(slots=True)
class Step:
    """One thing that happened to a generation, and what the module's figures were just before."""

    time: Time
    text: str
    servers: list[dict[str, Any]] = field(default_factory=list)
    queue_wait_ms: float = 0.0  # the module's estimate of a wait, ms


class DryRun:
    """One world, for one play. `explain` keeps the figures behind each decision."""

    def __init__(
        self,
        of: Deployment,
        mark: str,
        explain: bool = False,
        day: int = 0,
        minute: int = 720,
        make: Callable[..., Brain] = RuledBrain,
    ) -> None:
        self.of, self.mark, self.explain, self.make = of, mark, explain, make
        self.epoch = of.epoch(day, minute) - BEGIN
        self.now: Time = BEGIN
        self.events: list[tuple[Time, int, Callable[[], None]]] = []
        self.count = 0
        self.servers = of.servers()
        self.conditions = {one: Condition() for one in self.servers.values()}
        self.stories: dict[Generation, Trace] = {}  # all of one play
        self.texts: dict[str, set[int]] = {}  # opening to racks where it was read
        self.kept: dict[str, tuple[Server, Time | None, int]] = {}  # session to server, its start, tokens
        self.load: dict[Server, int] = {}
        self.sent: dict[str, deque[tuple[Time, Server, int]]] = {
            "reader": deque(),
            "writer": deque(),
            "mixed": deque(),
        }
        self.violations: list[tuple[str, str]] = []
        self.log_lines: list[tuple[Time, str]] = []
        self.brain = self._made()
        self._wake()

    def _made(self) -> Brain:
        seed = crc32(f"{self.of.seed} {self.mark}".encode())
        return self.make(self, seed, self.of.preferences(self.epoch), **self.of.arguments)

    def _wake(self) -> None:
        self.brain.begin(self.now)
        self.list_servers()

    # Time.

    def schedule(self, when: Time, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (max(when, self.now), self.count, call))

    def run_until(self, when: Time) -> None:
        """Lets happen what is due up to then."""
        while self.events and self.events[0][0] <= when:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = max(self.now, when)

    def run_to_end(self, horizon: Time = 300 * SECOND) -> None:
        """Lets all that is under way come to its end."""
        last = self.now + horizon
        while self.events and self.events[0][0] <= last:
            self.now, _, call = heapq.heappop(self.events)
            call()

    # Circumstances.

    def list_servers(self) -> None:
        self.brain.roster(self.now, [one for one in self.servers.values() if one.state != "gone"], True)

    def restart(self) -> None:
        """The gateway begins anew with the last list; what it had under way is lost with it."""
        for story in self.stories.values():
            if not story.end:
                story.gen.over, story.end = True, "departed"
        self.brain = self._made()
        self._wake()

    def set_state(self, names: Iterable[str], state: str, number: float = 0) -> None:
        """Brings servers into a state that a statement names."""
        listed = False
        for name in names:
            server = self.servers[name]
            if state in ("drains", "gone", "ready"):
                server.state, listed = LISTED[state], True
                if state == "ready":
                    self.conditions[server] = Condition()
            elif state == "cold":
                server.started, server.state, listed = self.now - int(number), "ready", True
            elif state == "shunned":
                self._past_leg(server, "unreachable", None)
            elif state == "slow":
                self.conditions[server].slow = max(0.01, number)
            elif state == "report":
                self.conditions[server].report = number / 100
                self._past_leg(server, "cancelled", Report(number / 100, number / 100, 0.0))
            else:
                self.conditions[server].state = state
        if listed:
            self.list_servers()

    def _past_leg(self, server: Server, outcome: Outcome, report: Report | None) -> None:
        """The end of a leg whose client has left: what it tells of its server is all that it does."""
        if server.state != "ready":
            return
        product = next(iter(self.of.products.values()))
        self.count += 1
        gen = Generation(
            f"past-{self.count}",
            product,
            None,
            None,
            None,
            0,
            100,
            10,
            None,
            self.now,
            self.now + SECOND,
            False,
            False,
            over=True,
        )
        leg = Leg(gen, 0, server, self.now, outcome=outcome)
        gen.legs.append(leg)
        self.brain.ended(self.now, leg, 0, False, report)

    # Generations.

    def submit(
        self,
        product: Product,
        customer: Customer | None,
        session: str,
        opening: str | None,
        opening_tok: int,
        prompt_tok: int,
        answer_tok: int,
        again: bool,
        earlier: Trace | None = None,
        main: bool = False,
        script: Iterable[tuple[str, str]] = (),
        leaves: str = "",
    ) -> Trace:
        self.count += 1
        gen = Generation(
            f"{self.mark}.{self.count}",
            product,
            customer,
            session,
            opening,
            opening_tok if opening else 0,
            prompt_tok,
            answer_tok,
            None,
            self.now,
            self.now + product.time_limit,
            again,
            False,
        )
        story = self.stories[gen] = Trace(gen, answer_tok, earlier, main, deque(script), leaves)
        story.last_leg_ended = self.now
        story.prefix_cells = frozenset(self.texts.get(opening or "", ()))
        self._step(story, "arrives", board=True)
        if leaves:
            delay = {"leaves at once": 1 * MS, "leaves": 10 * MS, "leaves mid-stream": 0}[leaves]
            if delay:
                self.schedule(self.now + delay, lambda: self._departs(story))
        brain = self.brain
        brain.arrived(self.now, gen)
        self._look(story)
        return story

    def _departs(self, story: Trace) -> None:
        gen = story.gen
        if gen.over:
            return
        gen.over, story.end = True, "departed"
        self._step(story, "its client leaves")
        self.brain.departed(self.now, gen)
        for leg in gen.legs:
            if leg.outcome is None and leg.streaming:
                self._ended(self.brain, story, leg, "cancelled")
        self._look(story)

    # The module's gateway.

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        story, brain = self.stories[gen], self.brain
        leg = Leg(gen, len(gen.legs), server, self.now)
        self._check_send(story, server)
        gen.legs.append(leg)
        self._step(story, f"is sent to {server.name} ({server.role}, rack {server.cell}), leg {leg.number}")
        tok = gen.prompt_tok
        self.load[server] = self.load.get(server, 0) + tok
        condition, outcome, after = self.conditions[server], "", 0
        happens = next(
            (
                one
                for one in story.scripted_events
                if (one[0] == "first leg" and not leg.number)
                or one[0] == ("reader" if server.role == "reader" else "writer")
            ),
            None,
        )
        if happens is not None:
            story.scripted_events.remove(happens)
            what = happens[1]
            if what == "breaks mid-stream":
                after = self._first(story, leg)
                self.schedule(self.now + after, lambda: self._started(brain, story, leg, breaks=True))
                return leg
            if what == "times out":
                outcome, after = "time-out", limit
            else:
                outcome, after = ENDS[what]
            no_state = what == "loses the state"
            self.schedule(
                self.now + min(after, limit),
                lambda: self._ended(brain, story, leg, outcome, no_state=no_state),  # type: ignore[arg-type]
            )
            return leg
        if condition.state != "well":
            outcome, after = {
                "hangs": ("time-out", limit),
                "full": ENDS["is full"],
                "refuse": ENDS["can't be reached"],
                "reset": ENDS["resets before output"],
            }[condition.state]
        elif server.role == "reader":
            outcome, after = "read", int((READ_LEAST + tok * MS // READ_PER_MS) * condition.slow)
        else:
            outcome, after = "streams", self._first(story, leg)
        if after >= limit:
            outcome, after = "time-out", limit
        if outcome == "streams":
            self.schedule(self.now + after, lambda: self._started(brain, story, leg))
        else:
            self.schedule(self.now + after, lambda: self._ended(brain, story, leg, outcome))  # type: ignore[arg-type]
        return leg

    def _first(self, story: Trace, leg: Leg) -> Time:
        read = any(one.outcome == "read" for one in story.gen.legs)
        new = 0 if read else story.gen.prompt_tok - self._keeps(story, leg.server)
        return int((FIRST_TOKEN + new * MS // READ_PER_MS) * self.conditions[leg.server].slow)

    def _keeps(self, story: Trace, server: Server) -> int:
        kept = self.kept.get(story.gen.session or "")
        return kept[2] if kept is not None and kept[:2] == (server, server.started) else 0

    def hold(self, gen: Generation, server: Server) -> None:
        story = self.stories[gen]
        story.reservations.append(server)
        self._step(story, f"a place is held at {server.name}")
        self.schedule(self.now + 2 * MS, lambda: self.brain.hold_answered(self.now, gen, server, True))

    def release(self, gen: Generation, why: ReleaseReason) -> None:
        story = self.stories.get(gen)
        if story is not None:  # not that of a leg from before
            story.reservations.clear()
            self._step(story, "what it holds is let go")

    def throttle(self, gen: Generation, retry_after: Time) -> None:
        story = self.stories[gen]
        may = self._may_have_run(gen)
        if may and (
            gen.product.effect == "side-effecting"
            or (gen.product.effect == "deduplicated" and gen.product.scope != "all")
        ):
            self._breach(
                "effects", f"{gen.product.name} is throttled though {may[0].server.name} may have run it"
            )
        self._final(story, "throttled")

    def terminate(self, gen: Generation) -> None:
        self._final(self.stories[gen], "terminated")

    def cancel(self, leg: Leg) -> None:
        brain, story = self.brain, self.stories[leg.gen]
        if leg.outcome is None and not leg.streaming:
            self.schedule(self.now, lambda: self._ended(brain, story, leg, "cancelled"))

    def probe(self, server: Server) -> None:
        well = self.conditions[server].state == "well"
        self.schedule(
            self.now + 5 * MS, lambda: self.brain.probe_answered(self.now, server, well, self._report(server))
        )

    def move(self, gen: Generation) -> None:
        self._final(self.stories[gen], "broken")

    def call_later(self, delay: Time, call: Callable[[Time], None]) -> None:
        self.schedule(self.now + delay, lambda: call(self.now))

    def send_to_peer(self, peer: int, octets: bytes) -> None:
        """No other gateway is here: words are lost."""

    def subscribe(self) -> None:
        self.schedule(self.now, self.list_servers)

    def log(self, text: str) -> None:
        self.log_lines.append((self.now, text))

    # What comes back.

    def _started(self, brain: Brain, story: Trace, leg: Leg, breaks: bool = False) -> None:
        gen = story.gen
        if brain is not self.brain or leg.outcome is not None:
            return
        if gen.over:
            self._ended(brain, story, leg, "cancelled")
            return
        leg.streaming = True
        story.answered_at, story.served_by = self.now, leg.server
        story.reservations.clear()
        story.reservations = []
        self._step(story, f"{leg.server.name} writes the first token")
        brain.stream_started(self.now, leg)
        long = int(story.answer_tok * TOKEN * self.conditions[leg.server].slow)
        if story.client_leaves == "leaves mid-stream":
            self.schedule(self.now + long // 2, lambda: self._departs(story))
        if breaks:
            self.schedule(self.now + long // 2, lambda: self._ended(brain, story, leg, "reset"))
        else:
            self.schedule(self.now + long, lambda: self._ended(brain, story, leg, "streamed"))
        self._look(story)

    def _ended(self, brain: Brain, story: Trace, leg: Leg, outcome: Outcome, no_state: bool = False) -> None:
        gen = story.gen
        if brain is not self.brain or leg.outcome is not None:
            return
        kept = 0
        leg.outcome, story.last_leg_ended = outcome, self.now
        self.load[leg.server] = self.load.get(leg.server, 0) - gen.prompt_tok
        if outcome == "read":
            story.ever_held = True
            story.reservations.append(leg.server)
            if gen.shared is not None:
                self.texts.setdefault(gen.shared, set()).add(leg.server.cell)
        elif outcome == "streamed":
            kept = self._keeps(story, leg.server)
            self.kept[gen.session or gen.name] = (
                leg.server,
                leg.server.started,
                gen.prompt_tok + story.answer_tok,
            )
        if leg.streaming and not gen.over:
            gen.over = True
            story.final_answers += 1
            story.end = "streamed" if outcome == "streamed" else "terminated"
        self._step(
            story,
            f"{leg.server.name} {'is done' if outcome in ('read', 'streamed') else outcome}",
            board=not gen.over,
        )
        brain.ended(self.now, leg, kept, no_state, self._report(leg.server))
        self._look(story)

    def _report(self, server: Server) -> Report | None:
        told = self.conditions[server].report
        if told is None:
            told = min(
                1.0, self.load.get(server, 0) * self.of.arguments["gateways"] / max(1, server.memory_tok)
            )
        return Report(told, None, None)

    def _final(self, story: Trace, how: str) -> None:
        gen = story.gen
        gen.over = True
        if story.end:
            self._breach("answered", f"{gen.product.name} is {how} after it was {story.end}")
        story.end, story.final_answers = how, story.final_answers + 1
        if story.answered_at is None:
            story.answered_at = self.now
        self._step(story, f"is {how}")

    # The five rules, watched in every play.

    def _breach(self, rule: str, text: str) -> None:
        if len(self.violations) < 100:
            self.violations.append((rule, text))

    @staticmethod
    def _may_have_run(gen: Generation) -> list[Leg]:
        return [
            leg
            for leg in gen.legs
            if leg.outcome not in NEVER_RAN and (leg.server.role != "reader" or leg.outcome is None)
        ]

    def _check_send(self, story: Trace, server: Server) -> None:
        gen, product = story.gen, story.gen.product
        if server.state != "ready":
            self._breach("drains", f"{product.name} is sent to {server.name}, which is {server.state}")
        if story.end:
            self._breach("answered", f"{product.name} is sent to {server.name} after it was {story.end}")
        may = self._may_have_run(gen)
        if may and product.effect == "side-effecting":
            self._breach(
                "effects",
                f"{product.name} is sent to {server.name} though {may[0].server.name} may have run it",
            )
        if may and product.effect == "deduplicated":
            same = product.scope == "all" or all(
                one.server.zone == server.zone and (product.scope == "zone" or one.server.cell == server.cell)
                for one in may
            )
            if not same or self.now - may[0].sent > product.dedup_window:
                self._breach(
                    "effects",
                    f"{product.name} is sent to {server.name}, which may not know that "
                    f"{may[0].server.name} may have run it",
                )
        sent = self.sent[server.role]
        sent.append((self.now, server, gen.prompt_tok))
        while sent[0][0] < self.now - WINDOW:
            sent.popleft()
        warm_up: Time = self.of.arguments["warm_up"]
        if server.started is not None and self.now - server.started < warm_up:
            self._check_cold(server, sent, warm_up)

    def _check_cold(self, server: Server, sent: deque[tuple[Time, Server, int]], warm_up: Time) -> None:
        """Work brought to a cold server against the mean of the warm ones, allowed so many times its warmth."""
        ours = [tok for _, one, tok in sent if one is server]
        warm = [
            one
            for one in self.servers.values()
            if one.role == server.role
            and one.state == "ready"
            and (one.started is None or self.now - one.started >= warm_up)
        ]
        if len(ours) <= FEW or not warm:
            return
        mean = sum(tok for _, one, tok in sent if one in warm) / len(warm)
        age = (self.now - (server.started or 0)) / warm_up
        warmth = self.of.arguments["cold_from"] + (1 - self.of.arguments["cold_from"]) * age
        allowed = max(mean, FEW * ours[-1]) * self.of.arguments["fall_multiple"] * warmth
        if sum(ours) > allowed:
            self._breach(
                "cold",
                f"{server.name} is cold and was sent {sum(ours)} tokens in {WINDOW // SECOND} s; "
                f"{allowed:.0f} allowed",
            )

    def _look(self, story: Trace) -> None:
        """What is held with no leg out is watched from one moment to the next."""
        waits = bool(story.reservations) and not story.gen.in_flight()
        if waits and story.idle_hold_since is None:
            story.idle_hold_since = self.now
        elif not waits and story.idle_hold_since is not None:
            story.longest_idle_hold = max(story.longest_idle_hold, self.now - story.idle_hold_since)
            story.idle_hold_since = None

    def finish(self, release: Time) -> None:
        """After `run_to_end`: what never came to an end."""
        for story in self.stories.values():
            gen = story.gen
            self._look(story)
            if story.idle_hold_since is not None:
                story.longest_idle_hold = max(
                    story.longest_idle_hold, self.now - story.idle_hold_since + release + 1
                )
            if story.longest_idle_hold > release:
                self._breach(
                    "pinned",
                    f"what {gen.product.name} holds waits {story.longest_idle_hold / 10:.0f} ms with no leg out",
                )
            if story.end == "departed":
                continue
            if story.final_answers != 1:
                self._breach("answered", f"{gen.product.name} has {story.final_answers} final answers")
            elif (story.answered_at or 0) > gen.deadline:
                self._breach("answered", f"{gen.product.name} is answered after its time limit")

    # Explanations.

    def _step(self, story: Trace, text: str, board: bool = False) -> None:
        if self.explain and story.under_test:
            story.steps.append(
                Step(self.now, text, self.board(story) if board else [], self.queue() if board else 0.0)
            )

    def board(self, story: Trace) -> list[dict[str, Any]]:
        """What the module knows of its servers now, by its own figures; nothing is changed by looking."""
        fleet, found = self.brain.fleet, []
        for seat in fleet.server_states.values():
            server, role = seat.server, seat.server.role
            usual = fleet.peer_held_share(role, self.now)
            health = (
                "draining"
                if server.state == "draining"
                else "gone"
                if server.state == "gone"
                else (
                    "shunned"
                    if self.now < seat.ejected_until
                    else "silent"
                    if fleet.is_unhealthy(seat, self.now)
                    else "well"
                )
            )
            found.append(
                {
                    "server": server.name,
                    "role": role,
                    "rack": server.cell,
                    "health": health,
                    "held": round(fleet.held_share(seat, self.now, usual), 3),
                    "own_tok": seat.own_tok,
                    "waiting": len(seat.waiting),
                    "warmth": round(fleet.capacity_share(seat, self.now), 2),
                    "cold_turn": round(seat.admission_credit[1], 2)
                    if fleet.is_cold(seat, self.now)
                    else None,
                    "tried": any(leg.server is server for leg in story.gen.legs),
                }
            )
        found.sort(key=lambda one: (one["role"], one["health"] != "well", one["held"], one["server"]))
        return found

    def queue(self) -> float:
        """The module's estimate of what a new generation would wait, in ms."""
        fleet = self.brain.fleet
        return (
            sum(
                fleet.queue_wait(role, fleet.healthy(role, self.now), self.now)
                for role in ("reader", "writer")
            )
            / 10
        )

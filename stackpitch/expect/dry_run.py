"""Discrete-event simulation of the servers and clients around the real decision module.

It uses no socket, no clock and no process. `DryRun` is the `Gateway` that the decision module (`Brain`) talks
to. Simulated servers follow the simple rules below unless a circumstance of the statement overrides them, and
simulated time jumps from one scheduled event to the next. Server speeds are arbitrary: statements are about
where requests are routed and how they end, not about latency. The module gets all inputs that it gets in a
real gateway: server lists, leg outcomes, load reports and clients that disconnect.

Times are in units of 0.1 ms.
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
START_TIME = 600 * SECOND
# Speed of a simulated server. It affects routing only through what the decision module observes.
PREFILL_TOK_PER_MS, MIN_PREFILL_TIME, FIRST_TOKEN_TIME, TOKEN_INTERVAL = 20, 8 * MS, 30 * MS, 15 * MS
# Scripted event of a leg: its outcome and the delay after which the gateway sees it.
LEG_EVENTS: dict[str, tuple[Outcome, Time]] = {
    "resets before output": ("reset", 20 * MS),
    "can't be reached": ("unreachable", 1 * MS),
    "is full": ("full", 2 * MS),
    "loses the state": ("full", 2 * MS),
    "gives an error": ("error", 20 * MS),
}
ROSTER_STATES: dict[str, State] = {"drains": "draining", "gone": "gone", "ready": "ready"}
# The slow-start check counts the tokens sent to a cold server within SEND_WINDOW. Up to MIN_COLD_LEGS legs in
# it are no violation.
SEND_WINDOW, MIN_COLD_LEGS = 5 * SECOND, 4


@dataclass(slots=True)
class Condition:
    """Simulated behaviour of a server, in addition to its state in the server list."""

    state: str = "well"  # well, hangs, full, refuse, reset
    slow_factor: float = 1.0  # multiplies its response times
    reported_load: float | None = None  # share of memory held; None: computed from the legs in flight


@dataclass(slots=True, eq=False)
class Trace:
    """What happened to one generation during a dry run."""

    gen: Generation
    answer_tok: int
    previous_turn: "Trace | None" = None  # of the same session
    under_test: bool = False  # the statement is about it; others are background load or earlier turns
    # Pairs of a leg ("reader", "writer" or "first leg") and the event that it runs into; removed when used.
    scripted_events: deque[tuple[str, str]] = field(default_factory=deque)
    client_leaves: str = ""  # when its client disconnects, in the words of the statement; "": never
    end: str = ""  # streamed, throttled, terminated, broken or departed; "": not over yet
    answered_at: Time | None = None  # time of the first token or of the final answer without one
    final_answers: int = 0
    served_by: Server | None = None  # the server that streamed the answer
    last_leg_ended: Time = 0
    # Since when a server has held KV state or a reservation for it while no leg was in flight.
    idle_hold_since: Time | None = None
    # Servers that hold KV state or a reservation for it; emptied when the stream begins or on `release`.
    reservations: list[Server] = field(default_factory=list)
    longest_idle_hold: Time = 0
    ever_held: bool = False  # a reader has held KV state for it
    # Racks that held its shared prefix when it arrived.
    prefix_cells: frozenset[int] = frozenset()
    steps: list["Step"] = field(default_factory=list)


@dataclass(slots=True)
class Step:
    """One event of a generation, with the state of the decision module just before it."""

    time: Time
    text: str
    servers: list[dict[str, Any]] = field(default_factory=list)  # see `DryRun.server_snapshot`
    queue_wait_ms: float = 0.0  # as the module estimates it


class DryRun:
    """The simulated gateway, servers and clients of one play.

    `play_id` seeds the decision module and names the generations, so a play can be repeated exactly. `explain`
    records the steps of the generations under test, with the module's view of its servers. All tables last as
    long as the dry run, which ends with the play.
    """

    def __init__(
        self,
        deployment: Deployment,
        play_id: str,
        explain: bool = False,
        day: int = 0,
        minute: int = 720,
        brain_factory: Callable[..., Brain] = RuledBrain,
    ) -> None:
        self.deployment, self.play_id, self.explain, self.brain_factory = (
            deployment,
            play_id,
            explain,
            brain_factory,
        )
        self.epoch = deployment.epoch(day, minute) - START_TIME
        self.now: Time = START_TIME
        self.events: list[tuple[Time, int, Callable[[], None]]] = []
        self.sequence = 0
        self.servers = deployment.servers()
        self.conditions = {server: Condition() for server in self.servers.values()}
        self.traces: dict[Generation, Trace] = {}
        self.cells_by_prefix: dict[str, set[int]] = {}  # shared prefix to the racks where it was read
        # Session to the server that caches it, that server's start time, and the number of cached tokens.
        self.cached_sessions: dict[str, tuple[Server, Time | None, int]] = {}
        self.in_flight_tok: dict[Server, int] = {}  # prompt tokens
        # By role: time, server and prompt tokens of each leg sent within SEND_WINDOW.
        self.recent_sends: dict[str, deque[tuple[Time, Server, int]]] = {
            "reader": deque(),
            "writer": deque(),
            "mixed": deque(),
        }
        self.violations: list[tuple[str, str]] = []  # rule and description; the first 100
        self.log_lines: list[tuple[Time, str]] = []
        self.brain = self._create_brain()
        self._start_brain()

    def _create_brain(self) -> Brain:
        seed = crc32(f"{self.deployment.seed} {self.play_id}".encode())
        return self.brain_factory(
            self, seed, self.deployment.preferences(self.epoch), **self.deployment.arguments
        )

    def _start_brain(self) -> None:
        self.brain.begin(self.now)
        self.publish_roster()

    # Simulated time.

    def schedule(self, time: Time, callback: Callable[[], None]) -> None:
        """Schedules a callback; a past time means now. Events of one time run in the order scheduled."""
        self.sequence += 1
        heapq.heappush(self.events, (max(time, self.now), self.sequence, callback))

    def run_until(self, time: Time) -> None:
        """Runs the events that are due by `time`, then sets the time to it."""
        while self.events and self.events[0][0] <= time:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = max(self.now, time)

    def run_to_end(self, horizon: Time = 300 * SECOND) -> None:
        """Runs until no event is left, for `horizon` at most."""
        end_time = self.now + horizon
        while self.events and self.events[0][0] <= end_time:
            self.now, _, callback = heapq.heappop(self.events)
            callback()

    # Circumstances.

    def publish_roster(self) -> None:
        """Gives the module the current server list, without servers that are gone."""
        self.brain.roster(
            self.now, [server for server in self.servers.values() if server.state != "gone"], True
        )

    def restart(self) -> None:
        """Restarts the gateway with the current server list. Its generations in flight are lost."""
        for trace in self.traces.values():
            if not trace.end:
                trace.gen.over, trace.end = True, "departed"
        self.brain = self._create_brain()
        self._start_brain()

    def set_state(self, names: Iterable[str], state: str, number: float = 0) -> None:
        """Puts servers into a state that a statement names; `number` is the parameter of that state."""
        roster_changed = False
        for name in names:
            server = self.servers[name]
            if state in ("drains", "gone", "ready"):
                server.state, roster_changed = ROSTER_STATES[state], True
                if state == "ready":
                    self.conditions[server] = Condition()
            elif state == "cold":
                server.started, server.state, roster_changed = self.now - int(number), "ready", True
            elif state == "shunned":
                self._report_past_leg(server, "unreachable", None)
            elif state == "slow":
                self.conditions[server].slow_factor = max(0.01, number)
            elif state == "report":
                self.conditions[server].reported_load = number / 100
                self._report_past_leg(server, "cancelled", Report(number / 100, number / 100, 0.0))
            else:
                self.conditions[server].state = state
        if roster_changed:
            self.publish_roster()

    def _report_past_leg(self, server: Server, outcome: Outcome, report: Report | None) -> None:
        """Gives the module the outcome of a synthetic leg, so that it learns about the server.

        The client of that leg has left, so the outcome has no other effect.
        """
        if server.state != "ready":
            return
        product = next(iter(self.deployment.products.values()))
        self.sequence += 1
        gen = Generation(
            f"past-{self.sequence}",
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
        prefix: str | None,
        prefix_tok: int,
        prompt_tok: int,
        answer_tok: int,
        repeat: bool,
        previous_turn: Trace | None = None,
        under_test: bool = False,
        scripted_events: Iterable[tuple[str, str]] = (),
        client_leaves: str = "",
    ) -> Trace:
        """Sends a generation to the decision module now."""
        self.sequence += 1
        gen = Generation(
            f"{self.play_id}.{self.sequence}",
            product,
            customer,
            session,
            prefix,
            prefix_tok if prefix else 0,
            prompt_tok,
            answer_tok,
            None,
            self.now,
            self.now + product.time_limit,
            repeat,
            False,
        )
        trace = self.traces[gen] = Trace(
            gen, answer_tok, previous_turn, under_test, deque(scripted_events), client_leaves
        )
        trace.last_leg_ended = self.now
        trace.prefix_cells = frozenset(self.cells_by_prefix.get(prefix or "", ()))
        self._record_step(trace, "arrives", snapshot=True)
        if client_leaves:
            delay = {"leaves at once": 1 * MS, "leaves": 10 * MS, "leaves mid-stream": 0}[client_leaves]
            if delay:
                self.schedule(self.now + delay, lambda: self._client_leaves(trace))
        brain = self.brain
        brain.arrived(self.now, gen)
        self._track_idle_hold(trace)
        return trace

    def _client_leaves(self, trace: Trace) -> None:
        gen = trace.gen
        if gen.over:
            return
        gen.over, trace.end = True, "departed"
        self._record_step(trace, "its client leaves")
        self.brain.departed(self.now, gen)
        for leg in gen.legs:
            if leg.outcome is None and leg.streaming:
                self._leg_ended(self.brain, trace, leg, "cancelled")
        self._track_idle_hold(trace)

    # The `Gateway` interface that the module calls.

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        trace, brain = self.traces[gen], self.brain
        leg = Leg(gen, len(gen.legs), server, self.now)
        self._check_send(trace, server)
        gen.legs.append(leg)
        self._record_step(
            trace, f"is sent to {server.name} ({server.role}, rack {server.cell}), leg {leg.number}"
        )
        tok = gen.prompt_tok
        self.in_flight_tok[server] = self.in_flight_tok.get(server, 0) + tok
        condition, outcome, delay = self.conditions[server], "", 0
        scripted = next(
            (
                candidate
                for candidate in trace.scripted_events
                if (candidate[0] == "first leg" and not leg.number)
                or candidate[0] == ("reader" if server.role == "reader" else "writer")
            ),
            None,
        )
        if scripted is not None:
            trace.scripted_events.remove(scripted)
            event = scripted[1]
            if event == "breaks mid-stream":
                delay = self._first_token_time(trace, leg)
                self.schedule(self.now + delay, lambda: self._stream_started(brain, trace, leg, breaks=True))
                return leg
            if event == "times out":
                outcome, delay = "time-out", limit
            else:
                outcome, delay = LEG_EVENTS[event]
            no_state = event == "loses the state"
            self.schedule(
                self.now + min(delay, limit),
                lambda: self._leg_ended(brain, trace, leg, outcome, no_state=no_state),  # type: ignore[arg-type]
            )
            return leg
        if condition.state != "well":
            outcome, delay = {
                "hangs": ("time-out", limit),
                "full": LEG_EVENTS["is full"],
                "refuse": LEG_EVENTS["can't be reached"],
                "reset": LEG_EVENTS["resets before output"],
            }[condition.state]
        elif server.role == "reader":
            outcome, delay = (
                "read",
                int((MIN_PREFILL_TIME + tok * MS // PREFILL_TOK_PER_MS) * condition.slow_factor),
            )
        else:
            outcome, delay = "streams", self._first_token_time(trace, leg)
        if delay >= limit:
            outcome, delay = "time-out", limit
        if outcome == "streams":
            self.schedule(self.now + delay, lambda: self._stream_started(brain, trace, leg))
        else:
            self.schedule(self.now + delay, lambda: self._leg_ended(brain, trace, leg, outcome))  # type: ignore[arg-type]
        return leg

    def _first_token_time(self, trace: Trace, leg: Leg) -> Time:
        prefill_done = any(earlier_leg.outcome == "read" for earlier_leg in trace.gen.legs)
        uncached_tok = 0 if prefill_done else trace.gen.prompt_tok - self._cached_tok(trace, leg.server)
        return int(
            (FIRST_TOKEN_TIME + uncached_tok * MS // PREFILL_TOK_PER_MS)
            * self.conditions[leg.server].slow_factor
        )

    def _cached_tok(self, trace: Trace, server: Server) -> int:
        cached = self.cached_sessions.get(trace.gen.session or "")
        return cached[2] if cached is not None and cached[:2] == (server, server.started) else 0

    def hold(self, gen: Generation, server: Server) -> None:
        trace = self.traces[gen]
        trace.reservations.append(server)
        self._record_step(trace, f"a reservation is held at {server.name}")
        self.schedule(self.now + 2 * MS, lambda: self.brain.hold_answered(self.now, gen, server, True))

    def release(self, gen: Generation, why: ReleaseReason) -> None:
        trace = self.traces.get(gen)
        if trace is not None:  # None: it belongs to a synthetic leg of `_report_past_leg`
            trace.reservations.clear()
            self._record_step(trace, "what it holds is let go")

    def throttle(self, gen: Generation, retry_after: Time) -> None:
        trace = self.traces[gen]
        possible_runs = self._may_have_run(gen)
        if possible_runs and (
            gen.product.effect == "side-effecting"
            or (gen.product.effect == "deduplicated" and gen.product.scope != "all")
        ):
            self._add_violation(
                "effects",
                f"{gen.product.name} is throttled though {possible_runs[0].server.name} may have run it",
            )
        self._finish_generation(trace, "throttled")

    def terminate(self, gen: Generation) -> None:
        self._finish_generation(self.traces[gen], "terminated")

    def cancel(self, leg: Leg) -> None:
        brain, trace = self.brain, self.traces[leg.gen]
        if leg.outcome is None and not leg.streaming:
            self.schedule(self.now, lambda: self._leg_ended(brain, trace, leg, "cancelled"))

    def probe(self, server: Server) -> None:
        well = self.conditions[server].state == "well"
        self.schedule(
            self.now + 5 * MS,
            lambda: self.brain.probe_answered(self.now, server, well, self._load_report(server)),
        )

    def move(self, gen: Generation) -> None:
        self._finish_generation(self.traces[gen], "broken")

    def call_later(self, delay: Time, call: Callable[[Time], None]) -> None:
        self.schedule(self.now + delay, lambda: call(self.now))

    def send_to_peer(self, peer: int, octets: bytes) -> None:
        """Drops the message: no other gateway is simulated."""

    def subscribe(self) -> None:
        self.schedule(self.now, self.publish_roster)

    def log(self, text: str) -> None:
        self.log_lines.append((self.now, text))

    # Responses of the servers.

    def _stream_started(self, brain: Brain, trace: Trace, leg: Leg, breaks: bool = False) -> None:
        gen = trace.gen
        if brain is not self.brain or leg.outcome is not None:
            return
        if gen.over:
            self._leg_ended(brain, trace, leg, "cancelled")
            return
        leg.streaming = True
        trace.answered_at, trace.served_by = self.now, leg.server
        trace.reservations.clear()
        trace.reservations = []
        self._record_step(trace, f"{leg.server.name} writes the first token")
        brain.stream_started(self.now, leg)
        stream_time = int(trace.answer_tok * TOKEN_INTERVAL * self.conditions[leg.server].slow_factor)
        if trace.client_leaves == "leaves mid-stream":
            self.schedule(self.now + stream_time // 2, lambda: self._client_leaves(trace))
        if breaks:
            self.schedule(self.now + stream_time // 2, lambda: self._leg_ended(brain, trace, leg, "reset"))
        else:
            self.schedule(self.now + stream_time, lambda: self._leg_ended(brain, trace, leg, "streamed"))
        self._track_idle_hold(trace)

    def _leg_ended(
        self, brain: Brain, trace: Trace, leg: Leg, outcome: Outcome, no_state: bool = False
    ) -> None:
        gen = trace.gen
        if brain is not self.brain or leg.outcome is not None:
            return
        cached_tok = 0
        leg.outcome, trace.last_leg_ended = outcome, self.now
        self.in_flight_tok[leg.server] = self.in_flight_tok.get(leg.server, 0) - gen.prompt_tok
        if outcome == "read":
            trace.ever_held = True
            trace.reservations.append(leg.server)
            if gen.shared is not None:
                self.cells_by_prefix.setdefault(gen.shared, set()).add(leg.server.cell)
        elif outcome == "streamed":
            cached_tok = self._cached_tok(trace, leg.server)
            self.cached_sessions[gen.session or gen.name] = (
                leg.server,
                leg.server.started,
                gen.prompt_tok + trace.answer_tok,
            )
        if leg.streaming and not gen.over:
            gen.over = True
            trace.final_answers += 1
            trace.end = "streamed" if outcome == "streamed" else "terminated"
        self._record_step(
            trace,
            f"{leg.server.name} {'is done' if outcome in ('read', 'streamed') else outcome}",
            snapshot=not gen.over,
        )
        brain.ended(self.now, leg, cached_tok, no_state, self._load_report(leg.server))
        self._track_idle_hold(trace)

    def _load_report(self, server: Server) -> Report | None:
        held_share = self.conditions[server].reported_load
        if held_share is None:
            held_share = min(
                1.0,
                self.in_flight_tok.get(server, 0)
                * self.deployment.arguments["gateways"]
                / max(1, server.memory_tok),
            )
        return Report(held_share, None, None)

    def _finish_generation(self, trace: Trace, end: str) -> None:
        gen = trace.gen
        gen.over = True
        if trace.end:
            self._add_violation("answered", f"{gen.product.name} is {end} after it was {trace.end}")
        trace.end, trace.final_answers = end, trace.final_answers + 1
        if trace.answered_at is None:
            trace.answered_at = self.now
        self._record_step(trace, f"is {end}")

    # The five rules (answered, effects, drains, cold, pinned), checked in every play.

    def _add_violation(self, rule: str, text: str) -> None:
        if len(self.violations) < 100:
            self.violations.append((rule, text))

    @staticmethod
    def _may_have_run(gen: Generation) -> list[Leg]:
        return [
            leg
            for leg in gen.legs
            if leg.outcome not in NEVER_RAN and (leg.server.role != "reader" or leg.outcome is None)
        ]

    def _check_send(self, trace: Trace, server: Server) -> None:
        gen, product = trace.gen, trace.gen.product
        if server.state != "ready":
            self._add_violation("drains", f"{product.name} is sent to {server.name}, which is {server.state}")
        if trace.end:
            self._add_violation(
                "answered", f"{product.name} is sent to {server.name} after it was {trace.end}"
            )
        possible_runs = self._may_have_run(gen)
        if possible_runs and product.effect == "side-effecting":
            self._add_violation(
                "effects",
                f"{product.name} is sent to {server.name} though {possible_runs[0].server.name} may have run it",
            )
        if possible_runs and product.effect == "deduplicated":
            same_scope = product.scope == "all" or all(
                leg.server.zone == server.zone and (product.scope == "zone" or leg.server.cell == server.cell)
                for leg in possible_runs
            )
            if not same_scope or self.now - possible_runs[0].sent > product.dedup_window:
                self._add_violation(
                    "effects",
                    f"{product.name} is sent to {server.name}, which may not detect the duplicate, though "
                    f"{possible_runs[0].server.name} may have run it",
                )
        recent = self.recent_sends[server.role]
        recent.append((self.now, server, gen.prompt_tok))
        while recent[0][0] < self.now - SEND_WINDOW:
            recent.popleft()
        warm_up: Time = self.deployment.arguments["warm_up"]
        if server.started is not None and self.now - server.started < warm_up:
            self._check_slow_start(server, recent, warm_up)

    def _check_slow_start(self, server: Server, sent: deque[tuple[Time, Server, int]], warm_up: Time) -> None:
        """Checks that a cold server gets no more than its share of prompt tokens.

        The limit is the mean of the warm servers of its role, but at least MIN_COLD_LEGS times the last leg,
        times `fall_multiple`, times the share of a warm server's load that it may take at its age.
        """
        server_tok = [tok for _, other, tok in sent if other is server]
        warm_servers = [
            other
            for other in self.servers.values()
            if other.role == server.role
            and other.state == "ready"
            and (other.started is None or self.now - other.started >= warm_up)
        ]
        if len(server_tok) <= MIN_COLD_LEGS or not warm_servers:
            return
        mean = sum(tok for _, other, tok in sent if other in warm_servers) / len(warm_servers)
        age = (self.now - (server.started or 0)) / warm_up
        warmth = self.deployment.arguments["cold_from"] + (1 - self.deployment.arguments["cold_from"]) * age
        allowed = (
            max(mean, MIN_COLD_LEGS * server_tok[-1]) * self.deployment.arguments["fall_multiple"] * warmth
        )
        if sum(server_tok) > allowed:
            self._add_violation(
                "cold",
                f"{server.name} is cold and was sent {sum(server_tok)} tokens in {SEND_WINDOW // SECOND} s; "
                f"{allowed:.0f} allowed",
            )

    def _track_idle_hold(self, trace: Trace) -> None:
        """Measures how long servers hold something for a generation with no leg in flight."""
        idle = bool(trace.reservations) and not trace.gen.in_flight()
        if idle and trace.idle_hold_since is None:
            trace.idle_hold_since = self.now
        elif not idle and trace.idle_hold_since is not None:
            trace.longest_idle_hold = max(trace.longest_idle_hold, self.now - trace.idle_hold_since)
            trace.idle_hold_since = None

    def finish(self, max_idle_hold: Time) -> None:
        """Checks the generations after `run_to_end`.

        Each must have got one final answer in time, and no server may have held anything for it longer than
        `max_idle_hold` with no leg in flight.
        """
        for trace in self.traces.values():
            gen = trace.gen
            self._track_idle_hold(trace)
            if trace.idle_hold_since is not None:
                trace.longest_idle_hold = max(
                    trace.longest_idle_hold, self.now - trace.idle_hold_since + max_idle_hold + 1
                )
            if trace.longest_idle_hold > max_idle_hold:
                self._add_violation(
                    "pinned",
                    f"what {gen.product.name} holds stays held {trace.longest_idle_hold / 10:.0f} ms with no leg in flight",
                )
            if trace.end == "departed":
                continue
            if trace.final_answers != 1:
                self._add_violation("answered", f"{gen.product.name} has {trace.final_answers} final answers")
            elif (trace.answered_at or 0) > gen.deadline:
                self._add_violation("answered", f"{gen.product.name} is answered after its time limit")

    # Records for `stackpitch expect --explain`.

    def _record_step(self, trace: Trace, text: str, snapshot: bool = False) -> None:
        if self.explain and trace.under_test:
            trace.steps.append(
                Step(
                    self.now,
                    text,
                    self.server_snapshot(trace) if snapshot else [],
                    self.queue_wait_ms() if snapshot else 0.0,
                )
            )

    def server_snapshot(self, trace: Trace) -> list[dict[str, Any]]:
        """What the module knows about its servers now, a row each; reading it changes nothing."""
        fleet, rows = self.brain.fleet, []
        for server_state in fleet.server_states.values():
            server, role = server_state.server, server_state.server.role
            peer_share = fleet.peer_held_share(role, self.now)
            health = (
                "draining"
                if server.state == "draining"
                else "gone"
                if server.state == "gone"
                else (
                    "shunned"
                    if self.now < server_state.ejected_until
                    else "silent"
                    if fleet.is_unhealthy(server_state, self.now)
                    else "well"
                )
            )
            rows.append(
                {
                    "server": server.name,
                    "role": role,
                    "rack": server.cell,
                    "health": health,
                    "held": round(fleet.held_share(server_state, self.now, peer_share), 3),
                    "own_tok": server_state.own_tok,
                    "waiting": len(server_state.waiting),
                    "warmth": round(fleet.capacity_share(server_state, self.now), 2),
                    "cold_turn": round(server_state.admission_credit[1], 2)
                    if fleet.is_cold(server_state, self.now)
                    else None,
                    "tried": any(leg.server is server for leg in trace.gen.legs),
                }
            )
        rows.sort(key=lambda row: (row["role"], row["health"] != "well", row["held"], row["server"]))
        return rows

    def queue_wait_ms(self) -> float:
        """The module's estimate of the queueing delay of a new generation, in ms."""
        fleet = self.brain.fleet
        return (
            sum(
                fleet.queue_wait(role, fleet.healthy(role, self.now), self.now)
                for role in ("reader", "writer")
            )
            / 10
        )

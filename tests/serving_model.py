"""Decision modules of several gateways over simulated workers, with clients that hold sessions.

Prefill workers read prompts one after another at a fixed rate; a session's earlier turns and shared prefixes
aren't cached there. Decode workers start to stream after a fixed time, plus the time to read what they don't
have, and then keep the product's token gap. All randomness comes from one seed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

from stackpitch.brain import Brain
from stackpitch.interface import Generation, Leg, Outcome, Product, ReleaseReason, Server, Time

MS, SECOND = 10, 10_000
PREFILL_PACE = 15.0  # tokens a millisecond
DECODE_PACE = 6.0  # tokens a millisecond, of a decode worker that reads the new part of a later turn
DECODE_START = 30 * MS
CHAT = Product("chat", "idempotent", "all", 0, 1_000 * MS, 40 * MS, 60 * MS, 4_000 * MS, 1.0, 0.1)


@dataclass(frozen=True)
class Traffic:
    """`load`: share of what the prefill workers can read. `burst`: its multiple in the middle fifth of the
    time. `think`: mean pause between a session's turns. The text of this object is part of the random seed.
    """

    load: float
    burst: float = 1.0
    seconds: int = 40
    turns: int = 4
    think: Time = 2 * SECOND
    median_prompt: int = 1500
    spread: float = 0.8  # standard deviation of the logarithm of prompt lengths


@dataclass
class Request:
    """One request and its result."""

    session: str
    prompt_tok: int
    arrived: Time
    gateway: int
    ended: str = ""  # streamed, throttled, terminated, or left when its client has left
    first_token: Time | None = None


@dataclass
class Worker:
    """`idle_at`: when a prefill worker has read all that was sent to it."""

    idle_at: Time = 0


@dataclass
class Attempt:
    """An attempt in flight."""

    leg: Leg
    number: int  # of the gateway
    streaming: bool = False


@dataclass
class Results:
    """What a run recorded. `attempts`: their times, by gateway."""

    requests: list[Request] = field(default_factory=list)
    attempts: dict[int, list[Time]] = field(default_factory=dict)


class GatewayPort:
    """The calls of one gateway's module."""

    def __init__(self, model: "ServingModel", number: int) -> None:
        self.model, self.number = model, number

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        return self.model.send(self.number, gen, server, limit)

    def throttle(self, gen: Generation, retry_after: Time) -> None:
        self.model.finish(gen, "throttled")

    def terminate(self, gen: Generation) -> None:
        self.model.finish(gen, "terminated")

    def call_later(self, delay: Time, call: Callable[[Time], None]) -> None:
        self.model.at(self.model.now + delay, lambda: call(self.model.now))

    def cancel(self, leg: Leg) -> None: ...
    def release(self, gen: Generation, reason: ReleaseReason) -> None: ...
    def hold(self, gen: Generation, server: Server) -> None: ...
    def probe(self, server: Server) -> None: ...
    def move(self, gen: Generation) -> None: ...
    def send_to_peer(self, peer: int, message: bytes) -> None: ...
    def subscribe(self) -> None: ...
    def log(self, text: str) -> None: ...


class ServingModel:
    """One run. Requests of a session go to any gateway, as a load balancer in front spreads connections."""

    def __init__(self, traffic: Traffic, gateways: int, seed: int, prefill: int = 6, decode: int = 8) -> None:
        self.traffic, self.random, self.now, self.event_count = (
            traffic,
            Random(f"{traffic} {gateways} {seed}"),
            0,
            0,
        )
        self.events: list[tuple[Time, int, Callable[[], None]]] = []
        names = [("reader", f"p{index}") for index in range(prefill)] + [
            ("writer", f"d{index}") for index in range(decode)
        ]
        self.workers = {name: Worker() for _, name in names}
        self.brains: list[Brain] = []
        self.servers: list[list[Server]] = []
        self.requests_by_gen: dict[Generation, Request] = {}
        self.results = Results()
        port: Any
        for number in range(gateways):
            port = GatewayPort(self, number)
            brain = Brain(
                port,
                seed * 1000 + number,
                number=number,
                gateways=gateways,
                zone="a",
                max_legs=5,
                max_retry_after=2 * SECOND,
                fall_multiple=3.0,
                must_ask=False,
                cold_from=0.4,
                warm_up=10 * SECOND,
                local_reads=True,
            )
            own = [Server(name, "a", role, 1, role, 200_000) for role, name in names]  # type: ignore[arg-type]
            brain.begin(0)
            brain.roster(0, own, True)
            self.brains.append(brain)
            self.servers.append(own)
        self.capacity = prefill * PREFILL_PACE / MS  # tokens a tick

    def at(self, when: Time, call: Callable[[], None]) -> None:
        self.event_count += 1
        heappush(self.events, (when, self.event_count, call))

    def run(self) -> Results:
        traffic, end = self.traffic, self.traffic.seconds * SECOND
        mean_prompt = traffic.median_prompt * 2.718281828 ** (traffic.spread**2 / 2)
        rate = traffic.load * self.capacity / mean_prompt / traffic.turns  # sessions a tick
        when, count = 0.0, 0
        while when < end:
            busy = traffic.burst if 0.4 * end <= when < 0.6 * end else 1.0
            when += self.random.expovariate(rate * busy)
            count += 1
            self.session(int(when), f"s{count}")
        while self.events:
            self.now, _, call = heappop(self.events)
            call()
        return self.results

    def session(self, when: Time, name: str) -> None:
        prompt = 0
        for turn in range(self.traffic.turns):
            prompt += int(
                self.traffic.median_prompt * self.random.lognormvariate(0, self.traffic.spread) / (1 + turn)
            )
            self.at(when, lambda name=name, prompt=prompt: self.arrive(name, prompt))  # type: ignore[misc]
            when += int(self.random.uniform(0.5, 1.5) * self.traffic.think)

    def arrive(self, session: str, prompt: int) -> None:
        number = self.random.randrange(len(self.brains))
        request = Request(session, prompt, self.now, number)
        gen = Generation(
            f"{session}-{self.now}",
            CHAT,
            None,
            session,
            None,
            0,
            prompt,
            100,
            None,
            self.now,
            self.now + CHAT.time_limit,
            False,
            False,
        )
        self.results.requests.append(request)
        self.requests_by_gen[gen] = request
        self.at(gen.deadline, lambda: self.client_leaves(number, gen))
        self.brains[number].arrived(self.now, gen)

    def client_leaves(self, number: int, gen: Generation) -> None:
        if not gen.over and self.requests_by_gen[gen].first_token is None:
            self.finish(gen, "left")
            self.brains[number].departed(self.now, gen)

    def finish(self, gen: Generation, how: str) -> None:
        gen.over = True
        self.requests_by_gen[gen].ended = how

    def send(self, number: int, gen: Generation, server: Server, limit: Time) -> Leg:
        leg = Leg(gen, len(gen.legs), server, self.now)
        gen.legs.append(leg)
        self.results.attempts.setdefault(number, []).append(self.now)
        attempt = Attempt(leg, number)
        done = self.prefill_done(gen, server) if server.role == "reader" else self.decode_started(gen, server)
        self.at(self.now + limit, lambda: self.time_out(attempt))
        self.at(done, lambda: self.done(attempt))
        return leg

    def prefill_done(self, gen: Generation, server: Server) -> Time:
        worker = self.workers[server.name]
        worker.idle_at = max(self.now, worker.idle_at) + int(gen.prompt_tok / PREFILL_PACE * MS) + 1
        return worker.idle_at

    def pause(self, delay: Time) -> None:
        """No prefill worker reads for this time."""
        for worker in self.workers.values():
            worker.idle_at = max(self.now, worker.idle_at) + delay

    def decode_started(self, gen: Generation, server: Server) -> Time:
        fetched = any(leg.outcome == "read" for leg in gen.legs)
        uncached = 0 if fetched else min(gen.prompt_tok, 500)
        return self.now + DECODE_START + int(uncached / DECODE_PACE * MS)

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        attempt.leg.outcome = outcome
        self.brains[attempt.number].ended(self.now, attempt.leg, 0, False, None)

    def time_out(self, attempt: Attempt) -> None:
        if attempt.leg.outcome is None and not attempt.streaming:
            self.end(attempt, "time-out")

    def done(self, attempt: Attempt) -> None:
        leg, gen = attempt.leg, attempt.leg.gen
        if leg.outcome is not None:
            return
        if leg.server.role == "reader":
            self.end(attempt, "read")
        elif gen.over:
            self.end(attempt, "cancelled")
        else:
            attempt.streaming = leg.streaming = True
            self.requests_by_gen[gen].first_token = self.now
            self.brains[attempt.number].stream_started(self.now, leg)
            self.at(self.now + 30 * CHAT.token_gap, lambda: self.streamed(attempt))

    def streamed(self, attempt: Attempt) -> None:
        self.finish(attempt.leg.gen, "streamed")
        self.end(attempt, "streamed")

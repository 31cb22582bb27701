"""Traffic for scenarios, in simulated time: readers with a queue and a prefix cache, writers with reports.

    traffic 200 chat openings=40 opening=4000 prompt=4500 every=20
                              200 requests, one each 20 ms, each a session of its own, over 40 shared prefixes
                              of 4,000 tokens, drawn evenly; chat,order and prompt=500,5000*3 take turns
    traffic 200 chat openings=40 hot=x    the same, every third with the one prefix of this name
    holds w1 0.9              share of its memory that other gateways hold; part of each report of that server
    forget r1                 its cache is emptied without a sign
    > kept 0.9                share of the prefix tokens that were cached in the last traffic, at least
    > most 0.4                share of the last traffic's reads at the reader that got most, at most
    > refused 0 5             requests of the last traffic throttled, at least and at most
    > in-time order 0.95      share of a product's that had its first token within the SLO time, at least
    > full 1.0                projected share of any writer's memory in the last traffic, at most
    > tries 1.05              reads for each request that was read, at most
    > settled                 prefixes moved only to readers that are new or from readers that are gone
    > given a 3400            time limit of its newest leg, in ms, at least

A reader reads 20 tokens a ms, one prompt after the other, also those whose legs have ended; its cache evicts
the least recently used. A writer starts 20 ms after a request is sent to it and takes half of the token gap
for each of the tokens, 0.4 of the limit.
"""

from collections import Counter, OrderedDict
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from play import Play

from stackpitch.interface import MS, Generation, Leg, Report, Server, Time

# Tokens a ms of a reader; time until a writer starts; share of the output limit written; clients' time limit.
READ_RATE, START_DELAY, OUTPUT_SHARE, PATIENCE = 20, 20 * MS, 0.4, 9000 * MS


def turns(text: str) -> list[str]:
    """`a,b*3`: a, then b three times, and so on."""
    parts = [part.partition("*") for part in text.split(",")]
    return [name for name, _, times in parts for _ in range(int(times or 1))]


class Traffic(Play):
    """A play whose servers answer by themselves."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[tuple[Time, int, str, Leg]] = []
        self.tickets, self.serial, self.random = count(), 0, Random(7)
        self.idle_at: dict[Server, Time] = {}  # when a reader has read all that was sent to it
        self.caches: dict[Server, OrderedDict[str, int]] = {}
        self.peer_shares: dict[str, float] = {}
        self.held_tok: Counter[Server] = Counter()  # tokens, with the projected length of the output
        self.limits: dict[Leg, Time] = {}
        self.cached_tok: dict[Leg, int] = {}
        self.readers_by_prefix: dict[str, set[str]] = {}
        self.clear()

    def clear(self) -> None:
        self.generations: list[Generation] = []
        self.first_tokens: dict[Generation, Time] = {}
        self.reads: list[tuple[Generation, Server]] = []
        self.found_tok = self.prefix_tok = 0
        self.fullest = 0.0

    # The module's calls.

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        leg = super().send(gen, server, limit)
        self.limits[leg] = limit
        if gen not in self.generations:
            return leg
        if server.role == "reader":
            self.reads.append((gen, server))
            cached = self.look_up(gen, server)
            self.cached_tok[leg] = cached
            done = self.idle_at[server] = (
                max(self.now, self.idle_at.get(server, 0)) + (gen.prompt_tok - cached) * MS // READ_RATE
            )
            self.schedule(
                *((done, "read") if done <= self.now + limit else (self.now + limit, "time-out")), leg
            )
        else:
            tok = gen.prompt_tok + int(OUTPUT_SHARE * gen.max_output_tok)
            self.held_tok[server] += tok
            self.fullest = max(self.fullest, self.share(server))
            self.schedule(self.now + START_DELAY, "start", leg)
            self.schedule(
                self.now + START_DELAY + int(OUTPUT_SHARE * gen.max_output_tok) * gen.product.token_gap // 2,
                "streamed",
                leg,
            )
        return leg

    def cancel(self, leg: Leg) -> None:
        super().cancel(leg)
        self.schedule(self.now, "cancelled", leg)

    def schedule(self, when: Time, what: str, leg: Leg) -> None:
        heappush(self.events, (when, next(self.tickets), what, leg))

    def look_up(self, gen: Generation, server: Server) -> int:
        """Prefix tokens that are cached; what the server reads is cached from now on."""
        cache = self.caches.setdefault(server, OrderedDict())
        cached = gen.shared_tok if gen.shared in cache else 0
        self.found_tok, self.prefix_tok = self.found_tok + cached, self.prefix_tok + gen.shared_tok
        for key, tok in ((gen.shared, gen.shared_tok), (gen.session, gen.prompt_tok - gen.shared_tok)):
            cache[key or ""] = tok
            cache.move_to_end(key or "")
        while sum(cache.values()) > server.memory_tok and len(cache) > 2:
            cache.popitem(last=False)
        return cached

    def share(self, server: Server) -> float:
        return self.peer_shares.get(server.name, 0.0) + self.held_tok[server] / server.memory_tok

    def run(self, until: Time | None) -> None:
        while self.events and (until is None or self.events[0][0] <= until):
            self.now, _, what, leg = heappop(self.events)
            if leg.outcome is not None:
                continue
            if what == "start":
                self.first_tokens.setdefault(leg.gen, self.now)
                leg.streaming = True
                self.brain.stream_started(self.now, leg)
                continue
            leg.outcome = what  # type: ignore[assignment]
            leg.gen.over = leg.gen.over or what == "streamed"
            if leg.server.role == "writer":
                self.held_tok[leg.server] -= leg.gen.prompt_tok + int(OUTPUT_SHARE * leg.gen.max_output_tok)
            report = Report(self.share(leg.server)) if leg.server.name in self.peer_shares else None
            self.brain.ended(self.now, leg, self.cached_tok.pop(leg, 0), False, report)

    # Commands.

    def do_traffic(
        self,
        number: str,
        products: str,
        prompt: str = "1000",
        openings: str = "0",
        opening: str = "500",
        every: str = "20",
        limit: str = "100",
        hot: str | None = None,
    ) -> None:
        before = {prefix: set(readers) for prefix, readers in self.readers_by_prefix.items()}
        self.clear()
        names, prompts, begin = turns(products), turns(prompt), self.now
        for index in range(int(number)):
            self.run(begin + int(float(every) * MS) * index)
            self.now = begin + int(float(every) * MS) * index
            self.serial += 1
            name, prefix = (
                f"t{self.serial}",
                str(self.random.randrange(int(openings))) if int(openings) else None,
            )
            prefix = hot if hot is not None and index % 3 == 0 else prefix
            options: dict[str, Any] = {
                "session": f"of {name}",
                "prompt": prompts[index % len(prompts)],
                "limit": limit,
            }
            gen = self.make_generation(name, names[index % len(names)], prefix, int(opening), options)
            self.generations.append(gen)
            self.brain.arrived(self.now, gen)
        self.run(None)
        assert all(gen.over for gen in self.generations), "some have no answer"
        self.asked.clear()
        self.readers_before, self.readers_by_prefix = before, {}
        for gen, server in self.reads:
            self.readers_by_prefix.setdefault(gen.shared or "", set()).add(server.name)

    def make_generation(
        self, name: str, product: str, prefix: str | None, prefix_tok: int, options: dict[str, Any]
    ) -> Generation:
        self.gens[name] = gen = self.generation(
            name,
            product,
            shared=None if prefix is None else f"opening {prefix}",
            gives_up=(self.now + PATIENCE) // MS,
            **options,
        )
        gen.shared_tok = prefix_tok if gen.shared is not None else 0
        return gen

    def do_holds(self, server: str, share: str) -> None:
        self.peer_shares[server] = float(share)

    def do_forget(self, server: str) -> None:
        self.caches[self.servers[server]].clear()

    # Expectations.

    def do_expect(self, *words: str) -> None:
        check = getattr(self, "expect_" + words[0].replace("-", "_"), None)
        check(*words[1:]) if check is not None else super().do_expect(*words)

    def expect_kept(self, least: str) -> None:
        assert self.found_tok >= float(least) * self.prefix_tok, (
            f"{self.found_tok} of {self.prefix_tok} prefix tokens were cached"
        )

    def expect_most(self, most: str) -> None:
        counts = Counter(server.name for _, server in self.reads)
        assert max(counts.values()) <= float(most) * len(self.reads), f"reads by reader: {counts}"

    def expect_refused(self, least: str, most: str) -> None:
        refused = sum(not gen.legs for gen in self.generations)
        assert int(least) <= refused <= int(most), f"{refused} were refused unsent"

    def expect_in_time(self, product: str, least: str) -> None:
        requests = [gen for gen in self.generations if gen.product.name == product]
        in_time = sum(self.first_tokens.get(gen, gen.deadline) - gen.arrived <= gen.slo() for gen in requests)
        assert in_time >= float(least) * len(requests), f"{in_time} of {len(requests)} were in time"

    def expect_full(self, most: str) -> None:
        assert self.fullest <= float(most), f"a writer's projected share came to {self.fullest:.2f}"

    def expect_tries(self, most: str) -> None:
        read = {gen for gen, _ in self.reads}
        assert len(self.reads) <= float(most) * len(read), f"{len(self.reads)} reads for {len(read)}"

    def expect_settled(self) -> None:
        ready = {name for name, server in self.servers.items() if server.state == "ready"}
        known = {name for readers in self.readers_before.values() for name in readers}
        for prefix, readers in self.readers_by_prefix.items():
            stayed = self.readers_before.get(prefix, set()) & ready
            assert not stayed or readers <= stayed | (ready - known), (
                f"{prefix} went from {stayed} to {readers}"
            )

    def expect_given(self, name: str, least: str) -> None:
        given = self.limits[self.leg(name)] // MS
        assert given >= int(least), f"it was given {given} ms"

"""Traffic for scenarios: readers with a queue and a memory, writers that report what they hold, in made-up time.

    traffic 200 chat openings=40 opening=4000 prompt=4500 every=20      so many, one each 20 ms, each a session of its own,
                                          over so many openings, drawn evenly; chat,order and prompt=500,5000*3 take turns
    traffic 200 chat openings=40 hot=x    the same, every third with one opening of this name
    holds w1 0.9                          what others hold there; reported with each answer that it writes
    forget r1                             it loses what it kept, and nothing shows it
    > kept 0.9                            part of the openings' tokens found kept in the last traffic, at least
    > most 0.4                            part of the last traffic's reads at the reader that got most, at most
    > refused 0 5                         throttled of the last traffic, at least and at most
    > in-time order 0.95                  part of a product's that had its first token within its SLO time, at least
    > full 1.0                            projected share of any writer's memory in the last traffic, at most
    > tries 1.05                          reads for each that was read, at most
    > settled                             openings moved to readers that are new, or away from such as are gone; no others did
    > given a 3400                        time that its newest leg was given, in ms, at least

A reader reads 20 tokens a ms, one prompt after the other, also those that were given up. What it kept longest is pushed out.
A writer starts 20 ms after it is sent to and takes half of the token gap for each of 0.4 of the limit.
"""

from collections import Counter, OrderedDict
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from play import Play

from stackpitch.interface import MS, Generation, Leg, Report, Server, Time

PACE, START, GROWTH, PATIENCE = 20, 20 * MS, 0.4, 9000 * MS


def turns(text: str) -> list[str]:
    """`a,b*3`: a, then b three times, and so on."""
    parts = [part.partition("*") for part in text.split(",")]
    return [one for one, _, times in parts for _ in range(int(times or 1))]


class Traffic(Play):
    def __init__(self) -> None:
        super().__init__()
        self.events: list[tuple[Time, int, str, Leg]] = []
        self.numbers, self.serial, self.draw = count(), 0, Random(7)
        self.free: dict[Server, Time] = {}  # when a reader has read all that it was sent
        self.memory: dict[Server, OrderedDict[str, int]] = {}
        self.others: dict[str, float] = {}
        self.held: Counter[Server] = Counter()  # tokens, by the answers' projected lengths
        self.limits: dict[Leg, Time] = {}
        self.finds: dict[Leg, int] = {}
        self.places: dict[str, set[str]] = {}
        self.clear()

    def clear(self) -> None:
        self.crowd: list[Generation] = []
        self.first: dict[Generation, Time] = {}
        self.reads: list[tuple[Generation, Server]] = []
        self.found = self.openings = 0
        self.fullest = 0.0

    # What the module asks for.

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        leg = super().send(gen, server, limit)
        self.limits[leg] = limit
        if gen not in self.crowd:
            return leg
        if server.role == "reader":
            self.reads.append((gen, server))
            kept = self.look(gen, server)
            self.finds[leg] = kept
            done = self.free[server] = (
                max(self.now, self.free.get(server, 0)) + (gen.prompt_tok - kept) * MS // PACE
            )
            self.later(*((done, "read") if done <= self.now + limit else (self.now + limit, "time-out")), leg)
        else:
            tok = gen.prompt_tok + int(GROWTH * gen.max_output_tok)
            self.held[server] += tok
            self.fullest = max(self.fullest, self.share(server))
            self.later(self.now + START, "start", leg)
            self.later(
                self.now + START + int(GROWTH * gen.max_output_tok) * gen.product.token_gap // 2,
                "streamed",
                leg,
            )
        return leg

    def cancel(self, leg: Leg) -> None:
        super().cancel(leg)
        self.later(self.now, "cancelled", leg)

    def later(self, when: Time, what: str, leg: Leg) -> None:
        heappush(self.events, (when, next(self.numbers), what, leg))

    def look(self, gen: Generation, server: Server) -> int:
        """Tokens that it finds kept; what it reads is kept from now on."""
        memory = self.memory.setdefault(server, OrderedDict())
        kept = gen.shared_tok if gen.shared in memory else 0
        self.found, self.openings = self.found + kept, self.openings + gen.shared_tok
        for key, tok in ((gen.shared, gen.shared_tok), (gen.session, gen.prompt_tok - gen.shared_tok)):
            memory[key or ""] = tok
            memory.move_to_end(key or "")
        while sum(memory.values()) > server.memory_tok and len(memory) > 2:
            memory.popitem(last=False)
        return kept

    def share(self, server: Server) -> float:
        return self.others.get(server.name, 0.0) + self.held[server] / server.memory_tok

    def run(self, until: Time | None) -> None:
        while self.events and (until is None or self.events[0][0] <= until):
            self.now, _, what, leg = heappop(self.events)
            if leg.outcome is not None:
                continue
            if what == "start":
                self.first.setdefault(leg.gen, self.now)
                leg.streaming = True
                self.brain.stream_started(self.now, leg)
                continue
            leg.outcome = what  # type: ignore[assignment]
            leg.gen.over = leg.gen.over or what == "streamed"
            if leg.server.role == "writer":
                self.held[leg.server] -= leg.gen.prompt_tok + int(GROWTH * leg.gen.max_output_tok)
            report = Report(self.share(leg.server)) if leg.server.name in self.others else None
            self.brain.ended(self.now, leg, self.finds.pop(leg, 0), False, report)

    # Lines.

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
        before = {text: set(where) for text, where in self.places.items()}
        self.clear()
        names, prompts, begin = turns(products), turns(prompt), self.now
        for place in range(int(number)):
            self.run(begin + int(float(every) * MS) * place)
            self.now = begin + int(float(every) * MS) * place
            self.serial += 1
            name, text = f"t{self.serial}", str(self.draw.randrange(int(openings))) if int(openings) else None
            text = hot if hot is not None and place % 3 == 0 else text
            of: dict[str, Any] = {
                "session": f"of {name}",
                "prompt": prompts[place % len(prompts)],
                "limit": limit,
            }
            gen = self.made_of(name, names[place % len(names)], text, int(opening), of)
            self.crowd.append(gen)
            self.brain.arrived(self.now, gen)
        self.run(None)
        assert all(gen.over for gen in self.crowd), "some have no answer"
        self.asked.clear()
        self.before, self.places = before, {}
        for gen, server in self.reads:
            self.places.setdefault(gen.shared or "", set()).add(server.name)

    def made_of(self, name: str, product: str, text: str | None, size: int, of: dict[str, Any]) -> Generation:
        self.gens[name] = gen = self.generation(
            name,
            product,
            shared=None if text is None else f"opening {text}",
            gives_up=(self.now + PATIENCE) // MS,
            **of,
        )
        gen.shared_tok = size if gen.shared is not None else 0
        return gen

    def do_holds(self, server: str, share: str) -> None:
        self.others[server] = float(share)

    def do_forget(self, server: str) -> None:
        self.memory[self.servers[server]].clear()

    # What is expected.

    def do_expect(self, *words: str) -> None:
        check = getattr(self, "expect_" + words[0].replace("-", "_"), None)
        check(*words[1:]) if check is not None else super().do_expect(*words)

    def expect_kept(self, least: str) -> None:
        assert self.found >= float(least) * self.openings, (
            f"{self.found} of {self.openings} tokens were found kept"
        )

    def expect_most(self, most: str) -> None:
        counts = Counter(server.name for _, server in self.reads)
        assert max(counts.values()) <= float(most) * len(self.reads), f"reads by reader: {counts}"

    def expect_refused(self, least: str, most: str) -> None:
        refused = sum(not gen.legs for gen in self.crowd)
        assert int(least) <= refused <= int(most), f"{refused} were refused unsent"

    def expect_in_time(self, product: str, least: str) -> None:
        mine = [gen for gen in self.crowd if gen.product.name == product]
        good = sum(self.first.get(gen, gen.deadline) - gen.arrived <= gen.slo() for gen in mine)
        assert good >= float(least) * len(mine), f"{good} of {len(mine)} were in time"

    def expect_full(self, most: str) -> None:
        assert self.fullest <= float(most), f"a writer's projected share came to {self.fullest:.2f}"

    def expect_tries(self, most: str) -> None:
        read = {gen for gen, _ in self.reads}
        assert len(self.reads) <= float(most) * len(read), f"{len(self.reads)} reads for {len(read)}"

    def expect_settled(self) -> None:
        there = {name for name, one in self.servers.items() if one.state == "ready"}
        old = {name for where in self.before.values() for name in where}
        for text, where in self.places.items():
            stayed = self.before.get(text, set()) & there
            assert not stayed or where <= stayed | (there - old), f"{text} went from {stayed} to {where}"

    def expect_given(self, name: str, least: str) -> None:
        given = self.limits[self.leg(name)] // MS
        assert given >= int(least), f"it was given {given} ms"

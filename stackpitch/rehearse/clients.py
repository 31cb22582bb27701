"""Stand-in clients: sessions with turns, customers, retries, some giving up early and some departing mid-stream.

Arrivals are drawn ahead and don't wait for answers, save for the turns of one session. What each client sees of
its answer is recorded. All chance is from the seed; the engine's answer is as long as `x_answer_tok` wishes.
"""

from pathlib import Path
from typing import Any

import msgspec
import xxhash

from stackpitch.loop import MS, SECOND, ConnectFailed, Coro, Group, Lost, Random, Stream, Time, World
from stackpitch.rehearse.records import Recorder
from stackpitch.wire import http, sse

WORDS = [f"{first}{second}{third}" for first in "bdfgklmnprst" for second in "aeiou" for third in "lnrsx"]


class ProductTraffic(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    name: str
    effect: str
    scope: str
    slo_ms: float
    slo_ms_per_ktok: float
    time_limit_ms: float
    share: float
    turns: float
    new_tok: float
    answer_tok: float
    limit_tok: int
    opening_tok: float
    openings: int
    opening_share: float


class Surge(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    kind: str
    at_s: float
    for_s: float
    part: float
    strength: float


class ClientSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    records: str
    seed: int
    start: int  # on the machine's monotonic clock, tenths of a millisecond
    length_s: float
    gateways: dict[str, tuple[str, int]]
    sticky: bool
    products: list[ProductTraffic]
    customers: dict[str, float]  # name (also the API key) to share
    rate_per_s: float
    think_s: float
    retries: int
    backoff_ms: float
    try_share: float
    impatient: float
    departs: float
    front_notice_s: float
    surges: list[Surge]


class Turn:
    """One generation that a client wants, over all its tries."""

    def __init__(self, key: str, product: ProductTraffic, customer: str, session: str,
                 messages: list[dict[str, str]], answer_tok: int, limit_ms: float) -> None:
        self.key, self.product, self.customer, self.session = key, product, customer, session
        self.messages, self.answer_tok, self.limit_ms = messages, answer_tok, limit_ms
        self.answer = ""


class Fleet:
    """All clients of a day. Tables: the gateways that refused lately, and the sessions under way (tasks)."""

    LINGER = 150 * MS  # after an answer the connection is watched for anything more

    def __init__(self, world: World, settings: ClientSettings, recorder: Recorder) -> None:
        self.world, self.set, self.recorder = world, settings, recorder
        self.dead: dict[str, Time] = {}  # gateway to when it refused; at most as many as there are
        self.sessions = 0

    def text(self, random: Random, tok: float) -> str:
        count = max(1, int(tok * 4) // 4)
        return " ".join(random.choices(WORDS, k=count))  # a word and its blank: about a token

    def surge(self, kind: str) -> Surge | None:
        at = (self.world.now() - self.set.start) / SECOND
        return next((one for one in self.set.surges if one.kind == kind and one.at_s <= at < one.at_s + one.for_s), None)

    def arrive(self, group: Group) -> Coro[None]:
        random = self.world.chance("arrivals")
        products, shares = self.set.products, [one.share for one in self.set.products]
        turns = sum(one.turns * one.share for one in products) / sum(shares)
        weights = [one.share / one.turns for one in products]  # shares are of generations, draws are of sessions
        session_rate = self.set.rate_per_s / turns
        yield from self.world.sleep(self.set.start - self.world.now())
        end = self.set.start + int(self.set.length_s * SECOND)
        while self.world.now() < end:
            burst = self.surge("burst")
            rate = session_rate * (burst.strength if burst else 1.0)
            yield from self.world.sleep(int(random.expovariate(rate) * SECOND))
            if self.world.now() >= end:
                break
            self.sessions += 1
            product = random.choices(products, weights)[0]
            group.spawn(self.session(f"s{self.sessions}", product), "session")

    def session(self, name: str, product: ProductTraffic) -> Coro[None]:
        random = self.world.chance(f"session {name}")
        customers = list(self.set.customers)
        customer = random.choices(customers, [self.set.customers[one] for one in customers])[0] if customers else ""
        messages: list[dict[str, str]] = []
        hot = self.surge("hot-text")
        if hot is not None and random.random() < hot.part:
            opening = self.text(self.world.chance("hot text"), 1000 * hot.strength)
            messages.append({"role": "system", "content": opening})
        elif random.random() < product.opening_share:
            number = min(int(random.paretovariate(1.0)) - 1, product.openings - 1)
            opening = self.text(self.world.chance(f"opening {product.name} {number}"), product.opening_tok)
            messages.append({"role": "system", "content": opening})
        count = min(12, 1 + int(random.expovariate(1 / max(1e-6, product.turns - 1)))) if product.turns > 1 else 1
        for number in range(count):
            tok = product.new_tok * random.lognormvariate(-0.18, 0.6)
            heavy = self.surge("heavy-tail")
            if heavy is not None and random.random() < heavy.part:
                tok *= heavy.strength
            messages = [*messages, {"role": "user", "content": self.text(random, tok)}]
            answer = max(1, min(product.limit_tok, int(product.answer_tok * random.lognormvariate(-0.18, 0.6))))
            prompt_tok = sum(len(one["content"]) for one in messages) / 4
            limit = product.time_limit_ms + 2 * product.slo_ms_per_ktok * prompt_tok / 1000
            turn = Turn(f"{name}.{number}", product, customer, name, messages, answer, limit)
            if not (yield from self.turn(turn, random)):
                return
            messages = [*messages, {"role": "assistant", "content": turn.answer}]
            think = int(random.expovariate(1 / max(0.01, self.set.think_s)) * SECOND)
            if self.world.now() + think > self.set.start + self.set.length_s * SECOND:
                return  # the next turn would come after the day's end
            yield from self.world.sleep(think)

    def pick(self, random: Random, last: str | None, session: str) -> str:
        now, notice = self.world.now(), self.set.front_notice_s * SECOND
        names = list(self.set.gateways)
        alive = [one for one in names if now - self.dead.get(one, -SECOND * 3600) > notice] or names
        able = [one for one in alive if one != last] or alive
        if self.set.sticky and last is None:
            return min(able, key=lambda one: xxhash.xxh32_intdigest(f"{session} {one}".encode()))
        return random.choice(able)

    def turn(self, turn: Turn, random: Random) -> Coro[bool]:
        """Asks until answered or given up; whether the whole answer came."""
        last = None
        impatient, departs = random.random() < self.set.impatient, random.random() < self.set.departs
        begun = self.world.now()
        for number in range(self.set.retries + 1):
            gateway = self.pick(random, last, turn.session)
            left = turn.limit_ms - (self.world.now() - begun) / 10
            limit = min(left, turn.limit_ms * random.uniform(self.set.try_share, 1.0))
            if limit < 50:
                return False
            how, wait = yield from self.ask(turn, number, gateway, limit, impatient, departs, random, begun)
            if how == "streamed":
                return True
            last = gateway
            if how in ("refused", "broken"):
                self.dead[gateway] = self.world.now()
            again = how in ("throttled", "refused", "turned-away") or (how == "broken" and (
                turn.product.effect == "idempotent"
                or (turn.product.effect == "deduplicated" and turn.product.scope == "all")))
            if not again:
                return False
            yield from self.world.sleep(max(wait, int(self.set.backoff_ms * random.uniform(0.5, 1.5) * 10)))
        return False

    def ask(self, turn: Turn, number: int, gateway: str, limit_ms: float, impatient: bool, departs: bool,
            random: Random, begun: Time) -> Coro[tuple[str, Time]]:
        """One try; how it ended and how long the gateway asks to wait."""
        seen = Seen()
        note = self.recorder.note
        note("ask", key=turn.key, number=number, gateway=gateway, product=turn.product.name, customer=turn.customer,
             limit_ms=round(limit_ms, 1), first_asked=begun,
             prompt_tok=sum(len(one["content"]) for one in turn.messages) // 4)
        body = msgspec.json.encode({
            "model": turn.product.name, "messages": turn.messages, "stream": True, "max_tokens": turn.product.limit_tok,
            "x_answer_tok": turn.answer_tok})
        headers = [("x-request-id", turn.key), ("x-session-id", turn.session), ("x-stainless-retry-count", str(number)),
                   ("x-time-limit-ms", str(max(1, int(limit_ms)))), ("x-product", turn.product.name),
                   ("authorization", f"Bearer {turn.customer}")]
        limit = int(limit_ms * 10)
        if impatient:
            limit = int(limit * random.uniform(0.02, 0.3))
        how, stream = "late", None
        try:
            with self.world.limit(limit) as scope:
                stream = yield from self.world.connect(self.set.gateways[gateway], 500 * MS)
                stream.write(http.request("POST", "/v1/chat/completions", gateway, body, headers))
                leave_at = random.randrange(1, max(2, turn.answer_tok)) if departs else None
                how = yield from self.read(stream, seen, scope.relax, leave_at)
            if scope.expired:
                how = "departed" if impatient else "late"
        except ConnectFailed:
            how = "refused"
        except Lost as wrong:
            how, seen.why = "broken", str(wrong)
        except (http.BadMessage, ValueError, msgspec.DecodeError) as wrong:
            how, seen.why = "garbled", str(wrong)
        turn.answer = "".join(seen.words)
        note("end", key=turn.key, number=number, gateway=gateway, product=turn.product.name, how=how,
             first=seen.first, tok=len(seen.words), status=seen.status, code=seen.code, why=seen.why)
        if stream is not None and how in ("streamed", "throttled", "terminated"):
            yield from self.linger(stream, turn, number, gateway)
        if stream is not None:
            stream.close()
        return how, seen.retry_after

    def linger(self, stream: Stream, turn: Turn, number: int, gateway: str) -> Coro[None]:
        """Nothing may come after the final answer."""
        try:
            with self.world.limit(self.LINGER):
                if data := (yield from stream.recv()):
                    self.recorder.note("after", key=turn.key, number=number, gateway=gateway,
                                       data=data[:80].decode("latin-1"))
        except Lost:
            pass

    def read(self, stream: Stream, seen: "Seen", relax: Any, leave_at: int | None) -> Coro[str]:
        reader, events = http.ResponseReader(16384, 1 << 24), sse.Events()
        body = b""
        while True:
            data = yield from stream.recv()
            if not data:
                raise Lost("closed")
            reader.feed(data)
            seen.status = reader.status
            if reader.status == 200:
                for one in events.feed(b"".join(reader.pieces)):
                    if seen.first is None:
                        seen.first = self.world.now()
                        relax()
                    seen.event(one)
                if leave_at is not None and len(seen.words) >= leave_at and not reader.complete:
                    return "departed"
            else:
                body += b"".join(reader.pieces)
            if reader.extra:
                raise http.BadMessage(502, "bytes after the answer")
            if reader.complete:
                break
        if reader.status == 200:
            seen.check()
            return "streamed" if seen.done else "terminated"
        error = msgspec.json.decode(body)["error"]
        seen.code = error["code"]
        seen.retry_after = int(reader.headers.get("retry-after-ms", "0")) * MS
        if reader.status == 429:
            return "throttled"
        return "turned-away" if reader.status == 503 and reader.headers.get("x-should-retry") == "true" else "terminated"


class Seen:
    """What one try has shown so far."""

    def __init__(self) -> None:
        self.first: Time | None = None
        self.words: list[str] = []
        self.status = self.errors = 0
        self.code: str | None = None
        self.done = False
        self.retry_after: Time = 0
        self.why = ""

    def event(self, data: bytes) -> None:
        if self.done or self.errors:
            raise ValueError("an event after the final one")
        if data == b"[DONE]":
            self.done = True
            return
        tree = msgspec.json.decode(data)
        if "error" in tree:
            self.errors += 1
            self.code = tree["error"]["code"]
            return
        for choice in tree["choices"]:
            self.words.append(choice["delta"]["content"])

    def check(self) -> None:
        if not self.done and not self.errors:
            raise ValueError("a stream that ends without [DONE] or an error event")


def run_clients(world: World, settings: ClientSettings) -> Coro[None]:
    """Plays all clients of a day; ends once all sessions have."""
    recorder = Recorder(world, Path(settings.records), "clients")
    fleet = Fleet(world, settings, recorder)

    def body(group: Group) -> Coro[None]:
        yield from fleet.arrive(group)

    yield from world.group(body)
    recorder.note("all-over")

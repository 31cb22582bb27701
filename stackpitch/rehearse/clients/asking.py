"""Tries of a generation at gateways, and what comes back."""

from typing import Any

import msgspec
import xxhash

from stackpitch.loop import MS, SECOND, ConnectFailed, ConnectionLost, Coro, Random, Stream, Time, World
from stackpitch.rehearse.clients.settings import ClientSettings
from stackpitch.rehearse.clients.turn import Seen, Turn
from stackpitch.rehearse.records import Recorder
from stackpitch.wire import http, sse


class Asking:
    """One generation over all its tries. Table: the gateways that refused lately."""

    LINGER = 150 * MS  # after an answer the connection is watched for anything more

    def __init__(self, world: World, settings: ClientSettings, recorder: Recorder) -> None:
        self.world, self.set, self.recorder = world, settings, recorder
        self.dead: dict[str, Time] = {}  # gateway to when it refused; at most as many as there are

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
            again = how in ("throttled", "refused", "turned-away") or (
                how == "broken"
                and (
                    turn.product.effect == "idempotent"
                    or (turn.product.effect == "deduplicated" and turn.product.scope == "all")
                )
            )
            if not again:
                return False
            yield from self.world.sleep(max(wait, int(self.set.backoff_ms * random.uniform(0.5, 1.5) * 10)))
        return False

    def ask(
        self,
        turn: Turn,
        number: int,
        gateway: str,
        limit_ms: float,
        impatient: bool,
        departs: bool,
        random: Random,
        begun: Time,
    ) -> Coro[tuple[str, Time]]:
        """One try; how it ended and how long the gateway asks to wait."""
        seen = Seen()
        note = self.recorder.note
        note(
            "ask",
            key=turn.key,
            number=number,
            gateway=gateway,
            product=turn.product.name,
            customer=turn.customer,
            limit_ms=round(limit_ms, 1),
            first_asked=begun,
            prompt_tok=sum(len(one["content"]) for one in turn.messages) // 4,
        )
        body = msgspec.json.encode(
            {
                "model": turn.product.name,
                "messages": turn.messages,
                "stream": True,
                "max_tokens": turn.product.limit_tok,
                "x_answer_tok": turn.answer_tok,
                **turn.fields,
            }
        )
        headers = [
            ("x-request-id", turn.key),
            ("x-session-id", turn.session),
            ("x-stainless-retry-count", str(number)),
            ("x-time-limit-ms", str(max(1, int(limit_ms)))),
            ("x-product", turn.product.name),
            ("authorization", f"Bearer {turn.customer}"),
            *turn.headers,
        ]
        limit = int(limit_ms * 10)
        if impatient:
            limit = int(limit * random.uniform(0.02, 0.3))
        how, stream = "late", None
        try:
            with self.world.limit(limit) as scope:
                stream = yield from self.world.connect(self.set.gateways[gateway], 500 * MS)
                stream.write(http.request("POST", "/v1/chat/completions", gateway, body, headers))
                leave_at = random.randrange(1, max(2, turn.answer_tok)) if departs else None
                how = yield from self.read(stream, seen, scope.remove_limit, leave_at)
            if scope.expired:
                how = "departed" if impatient else "late"
        except ConnectFailed:
            how = "refused"
        except ConnectionLost as wrong:
            how, seen.why = "broken", str(wrong)
        except (http.BadMessage, ValueError, msgspec.DecodeError) as wrong:
            how, seen.why = "garbled", str(wrong)
        turn.answer = "".join(seen.words)
        note(
            "end",
            key=turn.key,
            number=number,
            gateway=gateway,
            product=turn.product.name,
            how=how,
            first=seen.first,
            tok=len(seen.words),
            status=seen.status,
            code=seen.code,
            why=seen.why,
        )
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
                    self.recorder.note(
                        "after",
                        key=turn.key,
                        number=number,
                        gateway=gateway,
                        data=data[:80].decode("latin-1"),
                    )
        except ConnectionLost:
            pass

    def read(self, stream: Stream, seen: Seen, relax: Any, leave_at: int | None) -> Coro[str]:
        reader, events = http.ResponseParser(16384, 1 << 24), sse.EventParser()
        body = b""
        while True:
            data = yield from stream.recv()
            if not data:
                raise ConnectionLost("closed")
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
            if reader.extra_bytes:
                raise http.BadMessage(502, "bytes after the answer")
            if reader.complete:
                break
        if reader.status == 200:
            events.finish()
            seen.check()
            return "streamed" if seen.done else "terminated"
        error = msgspec.json.decode(body)["error"]
        seen.code = error["code"]
        seen.retry_after = int(reader.headers.get("retry-after-ms", "0")) * MS
        if reader.status == 429:
            return "throttled"
        return (
            "turned-away"
            if reader.status == 503 and reader.headers.get("x-should-retry") == "true"
            else "terminated"
        )

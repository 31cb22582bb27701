"""Where the platform's clients come in: facts from heads alone, the body passed on as it came."""

from collections.abc import Callable, Mapping
from typing import Any

from stackpitch.gateway.client_listener import ClientListener
from stackpitch.gateway.client_request import ClientRequest
from stackpitch.gateway.permission import accepts_until
from stackpitch.interface import Customer, Generation, Product, Time
from stackpitch.loop import Coro, Stream
from stackpitch.platform.request import PlatformRequest
from stackpitch.wire import http, platform
from stackpitch.wire.engine import GENERATE_PATHS


class PlatformListener(ClientListener):
    """`products` and `customers` by name. `ready` tells the front that clients may come."""

    max_over_limit = 8  # each holds a descriptor of the reserve

    def __init__(self, *given: Any, **bounds: Any) -> None:
        """As `ClientListener`."""
        super().__init__(*given, **bounds)
        self.products: Mapping[str, Product] = {}
        self.customers: Mapping[str, Customer] = {}
        self.ready = False
        self.told_to_stop: Callable[[], Time | None] = lambda: (
            None
        )  # the earliest time at which that may have been
        self.shrinking = False  # more are open than a bound that has fallen allows

    def take_bounds(self, max_connections: int, max_bodies: int) -> None:
        """Other bounds. Resting connections beyond them end at once, others after their answer."""
        self.max_connections, self.max_bodies = max_connections, max_bodies
        for _ in range(self._beyond()):
            if not self._evict_idle():
                break
        self._trim_lingering()
        self.shrinking = self._beyond() > 0

    def _accepts_until(self) -> Time | None:
        """Asks anew for each request: one may be found in the very turn in which the signal is, before anybody has acted
        on that."""
        told = self.told_to_stop()
        return None if told is None else accepts_until(told)

    def _beyond(self) -> int:
        return self.connections - len(self.lingering) - self.max_connections

    def _may_stay(self) -> bool:
        """Asked of a connection whose answer has been taken."""
        self.shrinking = self.shrinking and self._beyond() > 0
        return not self.shrinking

    def _route(self, stream: Stream, reader: http.RequestParser, began: Time) -> Coro[bool]:
        if reader.path in GENERATE_PATHS and reader.method == "POST":
            return (yield from self._handle_generation(stream, reader, began)) and self._may_stay()
        if reader.path in (platform.READY_PATH, platform.HEALTHY_PATH) and reader.method == "GET":
            well = reader.path == platform.HEALTHY_PATH or (self.ready and not self.stopping)
            stream.write(http.response(200 if well else 503, b"{}", self._close_header(reader)))
            return (
                (yield from self._drain_answer(stream))
                and reader.keep_alive
                and not reader.extra_bytes
                and not self.stopping
            )
        raise http.BadMessage(404, f"found {reader.method} {reader.path[:80]!r}")

    def _parse_request(self, stream: Stream, reader: http.RequestParser, began: Time) -> ClientRequest:
        facts = platform.parse_request_head(reader.headers)
        product = self.products.get(facts.product)
        if product is None:
            raise http.BadMessage(
                400, f"req-kind: found {facts.product[:30]!r}; allowed: {', '.join(self.products)}"
            )
        if any(gen.name == facts.name for gen in self.host.requests):
            raise http.BadMessage(409, "req-id: it is that of a request still open here")
        if not reader.body_size:
            raise http.BadMessage(400, "a body is wanted")  # servers turn it down, each of them
        now = self.world.now()
        gives_up = max(now + 1, began + facts.time_limit_ms * 10 - self.margin)
        gen = Generation(
            facts.name,
            product,
            self.customers.get(facts.customer or ""),
            facts.session,
            facts.shared,
            facts.shared_tok,
            facts.prompt_tok,
            facts.limit_tok,
            None,
            now,
            gives_up,
            facts.repeat,
            facts.resumed,
        )
        headers = [
            (name, value)
            for name, value in http.end_to_end(reader.headers)
            if name != platform.DEADLINE_HEADER
        ]
        return PlatformRequest(
            gen, stream, reader.method, reader.url.decode("latin-1"), headers, reader.body()
        )

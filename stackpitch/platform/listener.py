"""Accepts the platform's clients. Facts are taken from the head alone; the body is forwarded unchanged."""

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
    """Accepts the platform's clients.

    `products` and `customers` by name. `ready`: whether the readiness check answers 200.
    """

    max_over_limit = 8  # each connection refused with an answer holds a reserved descriptor

    def __init__(self, *args: Any, **limits: Any) -> None:
        """Takes the arguments of `ClientListener`."""
        super().__init__(*args, **limits)
        self.products: Mapping[str, Product] = {}
        self.customers: Mapping[str, Customer] = {}
        self.ready = False
        # The earliest time at which the stop signal may have been sent; None while there is none.
        self.stop_signalled_at: Callable[[], Time | None] = lambda: None
        self.over_limit = False  # a reload lowered the limit below the number of open connections

    def set_limits(self, max_connections: int, max_bodies: int) -> None:
        """Applies new limits. Idle connections in excess close at once, busy ones after their answer."""
        self.max_connections, self.max_bodies = max_connections, max_bodies
        for _ in range(self._excess()):
            if not self._evict_idle():
                break
        self._trim_lingering()
        self.over_limit = self._excess() > 0

    def _accepts_until(self) -> Time | None:
        """Until when requests are accepted after a stop signal; None without one.

        Evaluated for each request, as a request may be read in the same turn of the event loop as the signal,
        before anything has reacted to the signal.
        """
        signalled = self.stop_signalled_at()
        return None if signalled is None else accepts_until(signalled)

    def _excess(self) -> int:
        return self.connections - len(self.lingering) - self.max_connections

    def _keeps_alive(self) -> bool:
        """Whether a connection whose answer has been sent may stay open under the current limit."""
        self.over_limit = self.over_limit and self._excess() > 0
        return not self.over_limit

    def _route(self, stream: Stream, reader: http.RequestParser, began: Time) -> Coro[bool]:
        if reader.path in GENERATE_PATHS and reader.method == "POST":
            return (yield from self._handle_generation(stream, reader, began)) and self._keeps_alive()
        if reader.path in (platform.READY_PATH, platform.HEALTHY_PATH) and reader.method == "GET":
            passing = reader.path == platform.HEALTHY_PATH or (self.ready and not self.stopping)
            stream.write(http.response(200 if passing else 503, b"{}", self._close_header(reader)))
            return (yield from self._may_continue(stream, reader))
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
        if self.host.recently_run is not None and facts.name in self.host.recently_run:
            raise http.BadMessage(409, "req-id: it is that of a request that may have run")
        if not reader.body_size:
            raise http.BadMessage(400, "a body is wanted")  # every server would reject it
        now = self.world.now()
        deadline = max(now + 1, began + facts.time_limit_ms * 10 - self.margin)
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
            deadline,
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

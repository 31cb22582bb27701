"""Accepts clients of the OpenAI-style API."""

from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from stackpitch.gateway.client_listener import ClientListener
from stackpitch.gateway.client_request import ClientRequest, OpenAIRequest
from stackpitch.gateway.facts import Facts, RequestParser
from stackpitch.gateway.host import Host
from stackpitch.interface import Generation, Time
from stackpitch.loop import Coro, Stream, World
from stackpitch.wire import http
from stackpitch.wire.engine import GENERATE_PATHS

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.metrics import Metrics


class TokenTranslator(Protocol):
    """Translates token ids in a request between the vocabularies of the servers."""

    def spoken(self, facts: Facts) -> dict[str, dict[str, msgspec.Raw]] | None:
        """By vocabulary, the body fields with token ids; None: the request has none. Raises BadRequest."""
        ...


class OpenAIListener(ClientListener):
    """Accepts clients of the OpenAI-style API.

    `request_parser`: of the settings in force. `token_translator`: set if servers have several vocabularies.
    """

    def __init__(
        self, world: World, host: Host, log: "Log", metrics: "Metrics", parser: RequestParser, **limits: Any
    ) -> None:
        """`limits`: as for `ClientListener`."""
        super().__init__(world, host, log, metrics, **limits)
        self.request_parser = parser
        self.token_translator: TokenTranslator | None = None
        self.request_count = 0
        # Different at each start, whatever the wall clock says.
        self.id_prefix = f"{host.name}.{world.unique_id('ids'):x}"

    def _route(self, stream: Stream, reader: http.RequestParser, began: Time) -> Coro[bool]:
        path, method = reader.path, reader.method
        if path in GENERATE_PATHS and method == "POST":
            return (yield from self._handle_generation(stream, reader, began))
        if path == "/v1/models" and method == "GET":
            models = [
                {"id": name, "object": "model", "created": 0, "owned_by": "stackpitch"}
                for name in self.request_parser.models
            ]
            stream.write(
                http.response(
                    200, msgspec.json.encode({"object": "list", "data": models}), self._close_header(reader)
                )
            )
        elif path == "/health" and method == "GET":
            stream.write(http.response(503 if self.stopping else 200, b"{}", self._close_header(reader)))
        elif path in (*GENERATE_PATHS, "/v1/models", "/health"):
            yield from self._send_error(
                stream, 405, "method_not_allowed", f"{method} is not allowed on {path}", again=False
            )
            return False
        else:
            allowed = ", ".join((*GENERATE_PATHS, "/v1/models"))
            yield from self._send_error(
                stream, 404, "not_found", f"found {path[:80]!r}; allowed: {allowed}", again=False
            )
            return False
        return (yield from self._may_continue(stream, reader))

    def _parse_request(self, stream: Stream, reader: http.RequestParser, began: Time) -> ClientRequest:
        self.request_count += 1
        facts = self.request_parser.parse(
            reader.path, reader.headers, reader.body(), f"{self.id_prefix}.{self.request_count}"
        )
        now = self.world.now()
        gen = Generation(
            f"{self.id_prefix}.{self.request_count}",
            facts.product,
            facts.customer,
            facts.session,
            facts.shared,
            facts.shared_tok,
            facts.prompt_tok,
            facts.limit_tok,
            None,
            now,
            now + max(1, facts.time_limit - self.margin),
            facts.repeat,
            False,
        )
        request = OpenAIRequest(gen, stream, reader.path, facts.fields, facts.request_id, facts.streamed)
        if self.token_translator is not None:
            request.token_fields = self.token_translator.spoken(facts)
        return request

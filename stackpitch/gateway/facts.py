"""Parses what a client's request says of its generation, from the body's fields and the headers. Pure."""

from collections.abc import Mapping

import msgspec
import xxhash

from stackpitch.interface import Customer, Product, Time
from stackpitch.wire.decoding import decode

SYSTEM = ("system", "developer")  # roles of system messages


class BadRequest(Exception):
    """An error in the client's request. The text names the field, what was found and what is allowed."""

    def __init__(self, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.field = field


class _Role(msgspec.Struct):
    role: str


class Facts(msgspec.Struct):
    """All that the gateway reads from a request; the rest of the body goes to the engine unchanged."""

    fields: dict[str, msgspec.Raw]
    streamed: bool
    product: Product
    customer: Customer | None
    session: str | None
    shared: str | None
    shared_tok: int
    prompt_tok: int
    limit_tok: int
    time_limit: Time
    repeat: bool
    request_id: str


class RequestParser:
    """Parses requests with the deployment's products, models and customer keys."""

    def __init__(
        self,
        products: Mapping[str, Product],
        models: Mapping[str, Product],
        keys: Mapping[str, Customer],
        bytes_per_tok: float,
        default_limit: int,
    ) -> None:
        """`bytes_per_tok`: to estimate tokens from bytes.

        `default_limit`: output tokens of requests without a limit.
        """
        self.products, self.models, self.keys = products, models, keys
        self.bytes_per_tok, self.default_limit = bytes_per_tok, default_limit

    def parse(self, target: str, headers: Mapping[str, str], body: bytes, default_id: str) -> Facts:
        """Raises BadRequest. `default_id`: the request's id if the client gives none."""
        try:
            fields = decode(body, type=dict[str, msgspec.Raw])
        except msgspec.DecodeError as error:
            raise BadRequest("(body)", f"a JSON object is wanted: {error}") from None
        if "kv_transfer_params" in fields:
            raise BadRequest("kv_transfer_params", "belongs to gateway and engines; not allowed here")
        product = self._product(headers, fields)
        prompt, shared, shared_bytes = self._prompt(target, fields)
        cache_key = self._text(fields, "prompt_cache_key")
        session = headers.get("x-session-id") or self._text(fields, "conversation_id")
        limit_tok = (
            self._positive_int(fields, "max_completion_tokens")
            or self._positive_int(fields, "max_tokens")
            or self.default_limit
        )
        prompt_tok = max(1, int(prompt / self.bytes_per_tok))
        return Facts(
            fields,
            self._flag(fields, "stream"),
            product,
            self.keys.get(self._key(headers)),
            session,
            cache_key or shared,
            int(shared_bytes / self.bytes_per_tok),
            prompt_tok,
            limit_tok,
            self._time_limit(headers, product, prompt_tok),
            headers.get("x-stainless-retry-count", "0") != "0",
            headers.get("x-request-id", default_id)[:200],
        )

    def _product(self, headers: Mapping[str, str], fields: dict[str, msgspec.Raw]) -> Product:
        named, model = headers.get("x-product"), self._text(fields, "model") or ""
        product = self.products.get(named) if named else self.models.get(model)
        if product is not None:
            return product
        if named:
            raise BadRequest("x-product", f"found {named[:60]!r}; allowed: {', '.join(self.products)}")
        raise BadRequest(
            "model", f"found {model[:60]!r}; allowed: {', '.join(self.models) or 'header x-product'}"
        )

    @staticmethod
    def _prompt(target: str, fields: dict[str, msgspec.Raw]) -> tuple[int, str | None, int]:
        """The prompt's bytes, a name for its shared prefix (leading system messages), the prefix's bytes."""
        if not target.endswith("chat/completions"):
            raw = fields.get("prompt")
            if raw is None or bytes(raw)[:1] not in b'"[':
                raise BadRequest("prompt", "a string or a list is wanted")
            return len(bytes(raw)), None, 0
        raw = fields.get("messages")
        try:
            messages = decode(raw if raw is not None else b"null", type=list[msgspec.Raw])
            prefix = []
            for message in messages:
                if decode(message, type=_Role).role not in SYSTEM:
                    break
                prefix.append(bytes(message))
        except msgspec.DecodeError as error:
            raise BadRequest("messages", f"a list of messages with a role is wanted: {error}") from None
        if not messages:
            raise BadRequest("messages", "found none; at least one is wanted")
        joined = b"".join(prefix)
        return len(bytes(raw or b"")), xxhash.xxh3_64_hexdigest(joined) if joined else None, len(joined)

    @staticmethod
    def _text(fields: dict[str, msgspec.Raw], name: str) -> str | None:
        if name not in fields:
            return None
        try:
            return decode(fields[name], type=str | None)
        except msgspec.DecodeError:
            raise BadRequest(name, "a string is wanted") from None

    @staticmethod
    def _positive_int(fields: dict[str, msgspec.Raw], name: str) -> int | None:
        if name not in fields:
            return None
        try:
            value = decode(fields[name], type=int | None)
        except msgspec.DecodeError:
            value = 0
        if value is not None and not 0 < value <= 1_000_000:
            raise BadRequest(name, f"found {bytes(fields[name])[:30].decode()}; allowed: 1 to 1000000")
        return value

    @staticmethod
    def _flag(fields: dict[str, msgspec.Raw], name: str) -> bool:
        value = bytes(fields.get(name, b"false"))
        if value not in (b"true", b"false", b"null"):
            raise BadRequest(name, f"found {value[:30].decode()}; allowed: true, false")
        return value == b"true"

    @staticmethod
    def _key(headers: Mapping[str, str]) -> str:
        return headers.get("authorization", "").removeprefix("Bearer ").strip()

    @staticmethod
    def _time_limit(headers: Mapping[str, str], product: Product, prompt_tok: int) -> Time:
        """The client's time limit from its header, at most the product's.

        The product's grows with the prompt twice as fast as its SLO time.
        """
        most = product.time_limit + 2 * product.slo_per_ktok * prompt_tok // 1000
        stated = headers.get("x-time-limit-ms")
        if stated is None:
            return most
        if not stated.isdigit() or not 1 <= int(stated) <= 3_600_000:
            raise BadRequest("x-time-limit-ms", f"found {stated[:30]!r}; allowed: 1 to 3600000")
        return min(most, int(stated) * 10)

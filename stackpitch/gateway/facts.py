"""What a client's request says of its generation: fields of the body and headers into the module's facts. Pure."""

from collections.abc import Mapping

import msgspec
import xxhash

from stackpitch.interface import Customer, Product, Time
from stackpitch.wire.decoding import decode

SYSTEM = ("system", "developer")


class BadRequest(Exception):
    """The client's fault; its text names the field, what was found and what is allowed."""

    def __init__(self, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.field = field


class _Role(msgspec.Struct):
    role: str


class Facts(msgspec.Struct):
    """All that the gateway reads out of a request; what remains of the body goes to the engine as it came."""

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
    """Reads requests by the deployment's products and customers."""

    def __init__(
        self,
        products: Mapping[str, Product],
        models: Mapping[str, Product],
        keys: Mapping[str, Customer],
        bytes_per_tok: float,
        default_limit: int,
    ) -> None:
        self.products, self.models, self.keys = products, models, keys
        self.bytes_per_tok, self.default_limit = bytes_per_tok, default_limit

    def parse(self, target: str, headers: Mapping[str, str], body: bytes, unnamed: str) -> Facts:
        """Raises BadRequest. `unnamed` is the request's id where the client gives none."""
        try:
            fields = decode(body, type=dict[str, msgspec.Raw])
        except msgspec.DecodeError as wrong:
            raise BadRequest("(body)", f"a JSON object is wanted: {wrong}") from None
        if "kv_transfer_params" in fields:
            raise BadRequest("kv_transfer_params", "belongs to gateway and engines; not allowed here")
        product = self._product(headers, fields)
        prompt, shared, shared_bytes = self._prompt(target, fields)
        cache_key = self._text(fields, "prompt_cache_key")
        session = headers.get("x-session-id") or self._text(fields, "conversation_id")
        limit_tok = (
            self._whole(fields, "max_completion_tokens")
            or self._whole(fields, "max_tokens")
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
            self._time(headers, product, prompt_tok),
            headers.get("x-stainless-retry-count", "0") != "0",
            headers.get("x-request-id", unnamed)[:200],
        )

    def _product(self, headers: Mapping[str, str], fields: dict[str, msgspec.Raw]) -> Product:
        named, model = headers.get("x-product"), self._text(fields, "model") or ""
        found = self.products.get(named) if named else self.models.get(model)
        if found is not None:
            return found
        if named:
            raise BadRequest("x-product", f"found {named[:60]!r}; allowed: {', '.join(self.products)}")
        raise BadRequest(
            "model", f"found {model[:60]!r}; allowed: {', '.join(self.models) or 'header x-product'}"
        )

    @staticmethod
    def _prompt(target: str, fields: dict[str, msgspec.Raw]) -> tuple[int, str | None, int]:
        """Bytes of the prompt, a name for its shared opening (the leading system messages), and their bytes."""
        if not target.endswith("chat/completions"):
            raw = fields.get("prompt")
            if raw is None or bytes(raw)[:1] not in b'"[':
                raise BadRequest("prompt", "a string or a list is wanted")
            return len(bytes(raw)), None, 0
        raw = fields.get("messages")
        try:
            messages = decode(raw if raw is not None else b"null", type=list[msgspec.Raw])
            opening = []
            for one in messages:
                if decode(one, type=_Role).role not in SYSTEM:
                    break
                opening.append(bytes(one))
        except msgspec.DecodeError as wrong:
            raise BadRequest("messages", f"a list of messages with a role is wanted: {wrong}") from None
        if not messages:
            raise BadRequest("messages", "found none; at least one is wanted")
        joined = b"".join(opening)
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
    def _whole(fields: dict[str, msgspec.Raw], name: str) -> int | None:
        if name not in fields:
            return None
        try:
            found = decode(fields[name], type=int | None)
        except msgspec.DecodeError:
            found = 0
        if found is not None and not 0 < found <= 1_000_000:
            raise BadRequest(name, f"found {bytes(fields[name])[:30].decode()}; allowed: 1 to 1000000")
        return found

    @staticmethod
    def _flag(fields: dict[str, msgspec.Raw], name: str) -> bool:
        found = bytes(fields.get(name, b"false"))
        if found not in (b"true", b"false", b"null"):
            raise BadRequest(name, f"found {found[:30].decode()}; allowed: true, false")
        return found == b"true"

    @staticmethod
    def _key(headers: Mapping[str, str]) -> str:
        return headers.get("authorization", "").removeprefix("Bearer ").strip()

    @staticmethod
    def _time(headers: Mapping[str, str], product: Product, prompt_tok: int) -> Time:
        """The client's time limit: its header's, at most the product's, which grows twice as the SLO time does."""
        most = product.time_limit + 2 * product.slo_per_ktok * prompt_tok // 1000
        stated = headers.get("x-time-limit-ms")
        if stated is None:
            return most
        if not stated.isdigit() or not 1 <= int(stated) <= 3_600_000:
            raise BadRequest("x-time-limit-ms", f"found {stated[:30]!r}; allowed: 1 to 3600000")
        return min(most, int(stated) * 10)

"""The platform's protocol without I/O: request heads, answers, load lines, lists of servers.

Every parser bounds what an untrusted peer can make large. A violation raises `BadMessage` with the status to
answer.
"""

import re
from collections.abc import Mapping
from typing import Any

import msgspec

from stackpitch.interface import Outcome, Report, Role
from stackpitch.plausible import PlausibilityFilter
from stackpitch.wire.decoding import decode
from stackpitch.wire.http import BadMessage

DEADLINE_HEADER = "req-deadline-ms"  # how long the sender waits for the answer
READY_PATH, HEALTHY_PATH, TARGETS_PATH, LEASES_PATH = "/-/ready", "/-/healthy", "/api/targets", "/kv/leases/"
ID = re.compile(r"[0-9a-f]{16}")
NAME = re.compile(r"[!-~]{1,100}")
MAX_MS, MAX_TOK = 3_600_000, 10_000_000
# Position in a load report by the field's name: the names in the settings and those in load lines.
LOAD_FIELDS = {"x0": 0, "utilization": 1, "util": 1, "backlog": 2, "queue": 2}


class RequestHead(msgspec.Struct, frozen=True):
    """The fields of a request's head. Times in ms, lengths in tokens."""

    name: str
    product: str
    customer: str | None
    session: str | None
    time_limit_ms: int
    shared: str | None
    shared_tok: int
    prompt_tok: int
    limit_tok: int
    repeat: bool
    resumed: bool


def _integer(name: str, text: str, maximum: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 12) or int(text) > maximum:
        raise BadMessage(400, f"{name}: found {text[:30]!r}; allowed: 0 to {maximum}")
    return int(text)


def _optional_name(headers: Mapping[str, str], name: str) -> str | None:
    value = headers.get(name)
    if value is not None and not NAME.fullmatch(value):
        raise BadMessage(400, f"{name}: found {value[:30]!r}; a word is wanted")
    return value


def parse_request_head(headers: Mapping[str, str]) -> RequestHead:
    """Parses the fields of a head; their names are in lower case. Raises BadMessage."""
    name = headers.get("req-id", "")
    if not ID.fullmatch(name):
        raise BadMessage(400, f"req-id: found {name[:30]!r}; 16 hex digits are wanted")
    product = _optional_name(headers, "req-kind")
    if product is None:
        raise BadMessage(400, "req-kind is missing")
    limit = _integer(DEADLINE_HEADER, headers.get(DEADLINE_HEADER, ""), MAX_MS)
    extra: dict[str, str] = {}
    for part in filter(None, (item.strip() for item in headers.get("req-extra", "").split(","))):
        key, equals, value = part.partition("=")
        if not equals or key in extra:
            raise BadMessage(400, f"req-extra: found {part[:30]!r}; name=value, once each, is wanted")
        extra[key] = value
    shared = extra.get("prefix")
    if shared is not None and not NAME.fullmatch(shared):
        raise BadMessage(400, "req-extra: prefix is no word")
    lengths = [
        _integer(f"req-extra {key}", extra.get(key, "0"), MAX_TOK)
        for key in ("prefix_len", "prompt_len", "max_out")
    ]
    retry = headers.get("req-retry", "0")
    return RequestHead(
        name,
        product,
        _optional_name(headers, "req-owner"),
        _optional_name(headers, "req-key"),
        limit,
        shared,
        lengths[0] if shared is not None else 0,
        lengths[1],
        lengths[2],
        retry == "1",
        retry == "again",
    )


def classify_answer(role: Role, status: int, declined: bool, valid: bool) -> tuple[Outcome, bool]:
    """The outcome of a complete answer, and whether the KV state to fetch was missing.

    `declined`: the answer is marked as a refusal; only such a leg never ran. `valid`: the body is valid for
    the role.
    """
    if declined and status in (410, 503, 504):
        return "full", status == 410
    if role == "reader":
        return ("read" if status == 202 and valid else "error"), False
    return ("streamed" if status == 200 and valid else "error"), False


class _ReadAnswer(msgspec.Struct):
    cached_tokens: Any = 0  # of any type: a malformed count doesn't invalidate the answer


def parse_cached_tokens(body: bytes) -> object | None:
    """The number of cached tokens that a reader reports, unchecked (see `PlausibilityFilter.cached_tok`).

    None if the body is not a reader's answer.
    """
    try:
        cached = decode(body, type=_ReadAnswer).cached_tokens
    except msgspec.DecodeError:
        return None
    return "" if cached is None else cached


def parse_load_report(text: str, plausibility: PlausibilityFilter) -> Report | None:
    """Parses a load line: `name=value` separated by commas.

    None if it has no known field. Raises ValueError if it is malformed or none of its values can be used.
    """
    values: list[str | None] = [None, None, None]
    for part in text.strip()[:500].split(","):
        name, _, value = part.partition("=")
        position = LOAD_FIELDS.get(name.strip())
        if position is not None:
            values[position] = value
        elif not name.strip():
            raise ValueError(f"{part[:30]!r} is not name=value")
    if values == [None, None, None]:
        return None
    report = plausibility.report(*values)
    if report == Report():
        raise ValueError(f"no value in {text[:60]!r} is plausible")
    return report


class Member(msgspec.Struct):
    """One server in a list from service discovery."""

    id: str
    phase: str
    host_port: str = ""
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: int = 0


class ServerList(msgspec.Struct):
    """A list of servers, complete or of changes.

    `bad`: the id, if it is readable, and error of each malformed member.
    """

    revision: int = 0
    complete: bool = False
    members: list[Member] = []
    bad: list[tuple[str, str]] = []


class _RawServerList(msgspec.Struct):
    revision: int = 0
    complete: bool = False
    members: list[msgspec.Raw] = []


class _MemberId(msgspec.Struct):
    id: str = ""
    phase: str = ""


def parse_server_list(body: bytes) -> ServerList:
    """Parses a list; a malformed member does not affect the others. Raises ValueError on a malformed list."""
    try:
        raw_list = decode(body, type=_RawServerList)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
    servers = ServerList(raw_list.revision, raw_list.complete)
    for raw in raw_list.members:
        try:
            servers.members.append(decode(raw, type=Member))
        except msgspec.DecodeError as error:
            try:
                identity = decode(raw, type=_MemberId)
                # A member that drains or is gone needs no entry.
                name = identity.id if identity.phase == "up" else ""
            except msgspec.DecodeError:
                name = ""
            servers.bad.append((name[:100], str(error)))
    return servers

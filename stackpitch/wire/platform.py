"""The platform's protocol without I/O: facts in heads, outcomes of answers, load lines, events, lists of servers.

Every reader here bounds what a stranger can make large. What it does not allow is a `BadMessage` with the status to
answer.
"""

import re
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from stackpitch.interface import Outcome, Report, Role
from stackpitch.plausible import PlausibilityFilter
from stackpitch.wire.decoding import decode
from stackpitch.wire.http import BadMessage

DEADLINE_HEADER = "req-deadline-ms"  # how long whoever sends will wait
READY_PATH, HEALTHY_PATH, TARGETS_PATH, LEASES_PATH = "/-/ready", "/-/healthy", "/api/targets", "/kv/leases/"
ID = re.compile(r"[0-9a-f]{16}")
NAME = re.compile(r"[!-~]{1,100}")
MOST_MS, MOST_TOK = 3_600_000, 10_000_000
LOAD_COMMENT, USAGE = b": Srv-Load:", b'"usage"'
# Fields of a load report by the words of the settings and by those on the sockets.
LOAD_FIELDS = {"x0": 0, "utilization": 1, "util": 1, "backlog": 2, "queue": 2}


class RequestHead(msgspec.Struct, frozen=True):
    """What a request's head says. Times in ms, lengths in tokens."""

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


def _whole(name: str, text: str, most: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 12) or int(text) > most:
        raise BadMessage(400, f"{name}: found {text[:30]!r}; allowed: 0 to {most}")
    return int(text)


def _named(headers: Mapping[str, str], name: str) -> str | None:
    found = headers.get(name)
    if found is not None and not NAME.fullmatch(found):
        raise BadMessage(400, f"{name}: found {found[:30]!r}; a word is wanted")
    return found


def parse_request_head(headers: Mapping[str, str]) -> RequestHead:
    """From a head's fields, names in lower case. Raises BadMessage."""
    name = headers.get("req-id", "")
    if not ID.fullmatch(name):
        raise BadMessage(400, f"req-id: found {name[:30]!r}; 16 hex digits are wanted")
    product = _named(headers, "req-kind")
    if product is None:
        raise BadMessage(400, "req-kind is missing")
    limit = _whole(DEADLINE_HEADER, headers.get(DEADLINE_HEADER, ""), MOST_MS)
    extra: dict[str, str] = {}
    for part in filter(None, (one.strip() for one in headers.get("req-extra", "").split(","))):
        key, equals, value = part.partition("=")
        if not equals or key in extra:
            raise BadMessage(400, f"req-extra: found {part[:30]!r}; name=value, once each, is wanted")
        extra[key] = value
    shared = extra.get("prefix")
    if shared is not None and not NAME.fullmatch(shared):
        raise BadMessage(400, "req-extra: prefix is no word")
    lengths = [
        _whole(f"req-extra {key}", extra.get(key, "0"), MOST_TOK)
        for key in ("prefix_len", "prompt_len", "max_out")
    ]
    asked = headers.get("req-retry", "0")
    return RequestHead(
        name,
        product,
        _named(headers, "req-owner"),
        _named(headers, "req-key"),
        limit,
        shared,
        lengths[0] if shared is not None else 0,
        lengths[1],
        lengths[2],
        asked == "1",
        asked == "again",
    )


def classify_answer(role: Role, status: int, declined: bool, whole: bool) -> tuple[Outcome, bool]:
    """Outcome of an answer that came whole, and whether there was no state to fetch. `whole`: a good body of its kind.

    Only what carries the mark of a refusal never ran.
    """
    if declined and status in (410, 503, 504):
        return "full", status == 410
    if role == "reader":
        return ("read" if status == 202 and whole else "error"), False
    return ("streamed" if status == 200 and whole else "error"), False


class _Read(msgspec.Struct):
    cached_tokens: Any = 0  # read whole whatever stands there: the read itself is well


def parse_cached_tokens(body: bytes) -> object | None:
    """The cached token count that a reader reports, unchecked (see `PlausibilityFilter.cached_tok`); None for a malformed
    body."""
    try:
        found = decode(body, type=_Read).cached_tokens
    except msgspec.DecodeError:
        return None
    return "" if found is None else found


def parse_load_report(text: str, plausibility: PlausibilityFilter) -> Report | None:
    """A load line, `name=value` set apart by commas; None if it says nothing that is known. Raises ValueError if nothing
    in it can be used."""
    told: list[str | None] = [None, None, None]
    for part in text.strip()[:500].split(","):
        name, _, value = part.partition("=")
        place = LOAD_FIELDS.get(name.strip())
        if place is not None:
            told[place] = value
        elif not name.strip():
            raise ValueError(f"{part[:30]!r} is no name=value")
    if told == [None, None, None]:
        return None
    found = plausibility.report(*told)
    if found == Report():
        raise ValueError(f"nothing in {text[:60]!r} can be")
    return found


class EventParser:
    """Takes a stream's body piece by piece and gives whole events as they came. Bounded by `most` bytes an event, and by
    so many `parts`, events and comments, where it was said how long the answer may be."""

    def __init__(self, most: int = 1 << 16, parts: int | None = None) -> None:
        self.most, self.rest, self.parts = most, b"", parts
        self.events = self.comments = 0
        self.load: str | None = None
        self.usage = b""  # the last event that holds usage
        self.done = False

    def feed(self, pieces: Sequence[bytes]) -> bytes:
        """Raises BadMessage on what is no event, and on one over the bound."""
        data = self.rest + b"".join(pieces) if self.rest else b"".join(pieces)
        if not data:
            return b""
        cut = data.rfind(b"\n\n") + 2
        whole, self.rest = (data[:cut], data[cut:]) if cut >= 2 else (b"", data)
        if self.rest and not b"data:".startswith(self.rest[:5]) and not self.rest.startswith(b":"):
            raise BadMessage(502, f"no event: {self.rest[:30]!r}")
        if len(self.rest) > self.most:
            raise BadMessage(502, f"event is over {self.most} bytes")
        for one in whole.split(b"\n\n")[:-1]:
            self._see(one)
        return whole

    def _see(self, one: bytes) -> None:
        if self.parts is not None and self.events + self.comments >= self.parts:
            raise BadMessage(502, f"over {self.parts} events, more than the answer may have")
        if one.startswith(b":"):
            self.comments += 1
            if one.startswith(LOAD_COMMENT):
                self.load = one[len(LOAD_COMMENT) :].decode("latin-1").strip()
            return
        if one == b"data: [DONE]":
            self.done = True
        elif one.startswith(b"data: {") and one.endswith(b"}"):
            if USAGE in one:
                self.usage = one
        else:
            raise BadMessage(502, f"no event: {one[:30]!r}")
        self.events += 1


class Member(msgspec.Struct):
    """One server in a list of discovery's."""

    id: str
    phase: str
    host_port: str = ""
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: int = 0


class ServerList(msgspec.Struct):
    """A list, whole or of what changed. `bad`: members that can't be read, by id as far as it can, and why."""

    revision: int = 0
    complete: bool = False
    members: list[Member] = []
    bad: list[tuple[str, str]] = []


class _Unread(msgspec.Struct):
    revision: int = 0
    complete: bool = False
    members: list[msgspec.Raw] = []


class _Named(msgspec.Struct):
    id: str = ""
    phase: str = ""


def parse_server_list(body: bytes) -> ServerList:
    """One member that can't be read costs that member alone. Raises ValueError where the list itself can't be."""
    try:
        unread = decode(body, type=_Unread)
    except msgspec.DecodeError as wrong:
        raise ValueError(str(wrong)) from None
    found = ServerList(unread.revision, unread.complete)
    for raw in unread.members:
        try:
            found.members.append(decode(raw, type=Member))
        except msgspec.DecodeError as wrong:
            try:
                named = decode(raw, type=_Named)
                name = named.id if named.phase == "up" else ""  # what drains or is gone keeps no entry
            except msgspec.DecodeError:
                name = ""
            found.bad.append((name[:100], str(wrong)))
    return found

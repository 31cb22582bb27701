"""What a list says of each server, as plain values. Pure."""

from collections.abc import Iterable, Mapping
from typing import Literal

import msgspec

State = Literal["ready", "draining"]
UNSAID = b',"vocabulary":""}'  # lists that name none keep the digests that they always had


class Entry(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One server as listed. `started_unix_ms`: of its latest start; None: long ago. No work for the garbage collector."""

    name: str
    host: str
    port: int
    kind: str
    zone: str = ""
    cell: int = 0
    state: State = "ready"
    weight: float = 1.0
    started_unix_ms: int | None = None
    vocabulary: str = ""  # digest of the tokenizer's contents that it runs on; empty: not said

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port


class Proposal(msgspec.Struct, frozen=True):
    """A source's complete list. `digest` is that of its content."""

    source: str
    version: int
    digest: str
    entries: tuple[Entry, ...]


def digest(entries: Iterable[Entry]) -> str:
    """Of what the entries say, whatever the order or the form that they were written in."""
    from hashlib import (
        sha256,
    )  # loads OpenSSL, which a gateway that is told its list by discovery does without

    told = sha256()
    for one in sorted(entries, key=lambda one: one.name):
        encoded = msgspec.json.encode(one)
        told.update(encoded if one.vocabulary else encoded.removesuffix(UNSAID) + b"}")
    return told.hexdigest()[:32]


class Change(msgspec.Struct, frozen=True):
    """How one list differs from another."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    changed: tuple[tuple[str, str], ...] = ()  # name, and fields as "weight 1 -> 0.5"

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.changed)

    def text(self) -> str:
        parts = [
            f"{len(names)} {word}"
            for word, names in (("added", self.added), ("removed", self.removed))
            if names
        ]
        parts += [f"{len(self.changed)} changed"] if self.changed else []
        return ", ".join(parts) or "nothing"


def diff(old: Mapping[str, Entry], new: Mapping[str, Entry]) -> Change:
    changed = []
    for name in sorted(old.keys() & new.keys()):
        one, other = old[name], new[name]
        if one != other:
            fields = [
                f"{field} {getattr(one, field)} -> {getattr(other, field)}"
                for field in Entry.__struct_fields__
                if getattr(one, field) != getattr(other, field)
            ]
            changed.append((name, ", ".join(fields)))
    return Change(
        tuple(sorted(new.keys() - old.keys())), tuple(sorted(old.keys() - new.keys())), tuple(changed)
    )

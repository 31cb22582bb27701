"""Server list entries as plain values, their digest and differences. No I/O."""

from collections.abc import Iterable, Mapping
from typing import Literal

import msgspec

State = Literal["ready", "draining"]
# Left out of the digest, so that lists without vocabularies keep their digests from before that field.
EMPTY_VOCABULARY = b',"vocabulary":""}'


class Entry(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One listed server.

    `started_unix_ms` is the time of its latest start; None: long ago. `gc=False` keeps large lists out of
    garbage collection.
    """

    name: str
    host: str
    port: int
    kind: str
    zone: str = ""
    cell: int = 0
    state: State = "ready"
    weight: float = 1.0
    started_unix_ms: int | None = None
    vocabulary: str = ""  # digest of the contents of its tokenizer; empty: not stated

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port


class Proposal(msgspec.Struct, frozen=True):
    """A source's complete server list, with the digest of its content."""

    source: str
    version: int
    digest: str
    entries: tuple[Entry, ...]


def digest(entries: Iterable[Entry]) -> str:
    """Digest of the entries' content, independent of their order and of the file format."""
    # Imported here as it loads OpenSSL, which a gateway that gets its list from discovery does not need.
    from hashlib import sha256

    hasher = sha256()
    for entry in sorted(entries, key=lambda entry: entry.name):
        encoded = msgspec.json.encode(entry)
        hasher.update(encoded if entry.vocabulary else encoded.removesuffix(EMPTY_VOCABULARY) + b"}")
    return hasher.hexdigest()[:32]


class Change(msgspec.Struct, frozen=True):
    """Difference between two lists, by server name."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    changed: tuple[tuple[str, str], ...] = ()  # name, and fields as "weight 1 -> 0.5"

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.changed)

    def text(self) -> str:
        """Summary with counts, such as "2 added, 1 changed"."""
        parts = [
            f"{len(names)} {word}"
            for word, names in (("added", self.added), ("removed", self.removed))
            if names
        ]
        parts += [f"{len(self.changed)} changed"] if self.changed else []
        return ", ".join(parts) or "nothing"


def diff(old: Mapping[str, Entry], new: Mapping[str, Entry]) -> Change:
    """Compares two lists, given by server name."""
    changed = []
    for name in sorted(old.keys() & new.keys()):
        before, after = old[name], new[name]
        if before != after:
            fields = [
                f"{field} {getattr(before, field)} -> {getattr(after, field)}"
                for field in Entry.__struct_fields__
                if getattr(before, field) != getattr(after, field)
            ]
            changed.append((name, ", ".join(fields)))
    return Change(
        tuple(sorted(new.keys() - old.keys())), tuple(sorted(old.keys() - new.keys())), tuple(changed)
    )

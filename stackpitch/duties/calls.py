"""Messages between gateways about coordinated tasks ("duties"): `POST /duty` on the admin port, JSON.

Every call names its fleet, format version, sender and receiver, so that a misdirected one is dropped and
counted. A call that acts for a duty carries a stamp: the term under which it acts and the start of the
process that holds the term.
"""

from typing import Any

import msgspec

FORMAT_VERSION = 2  # raised when a message below changes its meaning
# Kinds of calls that belong to leases and records. Those of a duty's work must have other names: a voter that
# took one for its own would release the lease.
RESERVED_KINDS = frozenset({"would", "lease", "release", "read", "write", "state", "vacant", "owner"})
# Of a call or an answer: the largest record value (256 KiB) as base64, and the other fields.
MAX_MESSAGE_BYTES = 512 * 1024


class Stamp(msgspec.Struct, frozen=True, order=True):
    """Identifies an owner: a term, and which start of its process holds it. Compared by term first."""

    term: int = 0
    start: int = 0


class Call(msgspec.Struct, frozen=True):
    """A request of a `kind`, under the term in `stamp`; the fields of the JSON `body` depend on the kind."""

    form: int
    fleet: str
    sender: int  # `module.number`
    to: int
    duty: str
    kind: str
    stamp: Stamp = Stamp()
    body: msgspec.Raw = msgspec.Raw(b"null")


class Answer(msgspec.Struct, frozen=True):
    """`word`: "yes" or the reason of a refusal; `stamp`: the highest that the sender knows for the duty."""

    word: str
    stamp: Stamp = Stamp()
    body: msgspec.Raw = msgspec.Raw(b"null")

    @property
    def yes(self) -> bool:
        """Whether the call was accepted."""
        return self.word == "yes"


ENCODER = msgspec.json.Encoder()
CALL_DECODER, ANSWER_DECODER = msgspec.json.Decoder(Call), msgspec.json.Decoder(Answer)


def encode_body(value: Any) -> msgspec.Raw:
    """A call's or an answer's body."""
    return msgspec.Raw(ENCODER.encode(value))

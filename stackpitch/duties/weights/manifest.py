"""The manifest of a version: size, pieces of equal length (except the last), a digest for each piece and for the file.

Digests are blake3 as 64 lower-case hex digits, as `b3sum` prints them.
"""

from typing import Annotated

from blake3 import blake3
from pydantic import Field, model_validator

from stackpitch.settings.model import StrictModel

MAX_PIECES = 4096  # so that a manifest fits into one call between gateways
MAX_PIECE_BYTES = 256 * 1024 * 1024
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Manifest(StrictModel):
    """What the bytes of a version must be."""

    size: Annotated[int, Field(ge=1, le=MAX_PIECES * MAX_PIECE_BYTES)]
    piece: Annotated[int, Field(ge=1024, le=MAX_PIECE_BYTES)]  # bytes of each except the last
    whole: Digest
    pieces: Annotated[list[Digest], Field(min_length=1, max_length=MAX_PIECES)]

    @model_validator(mode="after")
    def pieces_cover_the_size(self) -> "Manifest":
        needed = -(-self.size // self.piece)
        if len(self.pieces) != needed:
            raise ValueError(
                f"pieces: found {len(self.pieces)}; allowed: {needed}, as size {self.size} has in pieces of "
                f"{self.piece}"
            )
        return self

    @property
    def count(self) -> int:
        return len(self.pieces)

    @property
    def full(self) -> int:
        """The bit set of all pieces."""
        return (1 << len(self.pieces)) - 1

    def span(self, piece: int) -> tuple[int, int]:
        """The offset and length of a piece, in bytes."""
        return piece * self.piece, min(self.piece, self.size - piece * self.piece)

    def bytes_of(self, pieces: int) -> int:
        """The total size of a bit set of pieces."""
        last = self.count - 1
        found = pieces.bit_count() * self.piece
        return found - (self.piece - self.span(last)[1]) if pieces >> last & 1 else found


def digest(data: bytes) -> str:
    """The blake3 digest in hex."""
    return blake3(data).hexdigest()


def made(data: bytes, piece: int) -> Manifest:
    """Builds the manifest of `data`. `piece`: bytes of each piece."""
    return Manifest(
        size=len(data),
        piece=piece,
        whole=digest(data),
        pieces=[digest(data[at : at + piece]) for at in range(0, len(data), piece)],
    )

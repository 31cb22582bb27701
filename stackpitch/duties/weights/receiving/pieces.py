"""The pieces of one version in transfer: how far each has come, and whether it is right. Pure but for its digests.

A piece whose transfer breaks off goes on where it stopped, from another source if need be; its digest is updated as
bytes arrive. A piece that is incomplete when the process ends is fetched from scratch by the next process, as only
complete pieces can be checked on the disk.
"""

from dataclasses import dataclass, field

from blake3 import blake3

from stackpitch.duties.weights.manifest import Manifest


@dataclass
class PartialPiece:
    """A piece of which a part may have arrived."""

    received: int = 0  # bytes
    sources: set[str] = field(default_factory=set)  # that sent a part of it
    hash: blake3 = field(default_factory=blake3)
    lane: object = None  # the lane that fetches it now


class Pieces:
    """`have`: bit set of complete pieces. `partial` has at most one entry for each piece, until the piece is complete."""

    def __init__(self, manifest: Manifest) -> None:
        self.manifest, self.have = manifest, 0
        self.partial: dict[int, PartialPiece] = {}

    def claim(self, pieces: tuple[int, ...], lane: object) -> tuple[int, PartialPiece] | None:
        """Claims the first of `pieces` that is missing and that no other lane fetches."""
        for piece in pieces:
            if 0 <= piece < self.manifest.count and not self.have >> piece & 1:
                partial = self.partial.setdefault(piece, PartialPiece())
                if partial.lane is None or partial.lane == lane:
                    partial.lane = lane
                    return piece, partial
        return None

    def release(self, lane: object) -> None:
        """Releases the pieces that the lane has claimed."""
        for partial in self.partial.values():
            if partial.lane == lane:
                partial.lane = None

    def remaining_range(self, piece: int) -> tuple[int, int]:
        """The first missing byte in the file, and how many are missing."""
        at, size = self.manifest.span(piece)
        received = self.partial[piece].received if piece in self.partial else 0
        return at + received, size - received

    def add_data(self, piece: int, data: bytes, source: str) -> bool | None:
        """True: complete and right. False: complete and wrong, so it starts from scratch. None: incomplete."""
        partial = self.partial[piece]
        partial.hash.update(data)
        partial.received += len(data)
        partial.sources.add(source)
        if partial.received < self.manifest.span(piece)[1]:
            return None
        del self.partial[piece]
        if partial.hash.hexdigest() != self.manifest.pieces[piece]:
            return False
        self.have |= 1 << piece
        return True

    def set_present(self, have: int) -> None:
        """Takes over the pieces found on the disk, while no lane fetches."""
        self.have = have
        self.partial = {piece: entry for piece, entry in self.partial.items() if not have >> piece & 1}

    def done(self, pieces: tuple[int, ...]) -> bool:
        """Whether none of `pieces` is missing."""
        return all(not 0 <= piece < self.manifest.count or self.have >> piece & 1 for piece in pieces)

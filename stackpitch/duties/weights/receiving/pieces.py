"""The pieces of one version on their way: how far each has come, and whether it is right. Pure but for its digests.

A piece that breaks off goes on where it stopped, from another source if need be; its digest is kept up as bytes come.
What is begun when a process ends is begun anew by the next: only whole pieces can be checked on the disk.
"""

from dataclasses import dataclass, field

from blake3 import blake3

from stackpitch.duties.weights.manifest import Manifest


@dataclass
class Begun:
    came: int = 0
    sources: set[str] = field(default_factory=set)  # that gave a part of it
    hash: blake3 = field(default_factory=blake3)
    lane: object = None  # who fetches it now


class Pieces:
    """`begun` has at most one entry for each piece; it goes when the piece is whole."""

    def __init__(self, manifest: Manifest) -> None:
        self.manifest, self.have = manifest, 0
        self.begun: dict[int, Begun] = {}

    def claim(self, pieces: tuple[int, ...], lane: object) -> tuple[int, Begun] | None:
        """The first of these that is missing and that no other lane fetches."""
        for piece in pieces:
            if 0 <= piece < self.manifest.count and not self.have >> piece & 1:
                begun = self.begun.setdefault(piece, Begun())
                if begun.lane is None or begun.lane == lane:
                    begun.lane = lane
                    return piece, begun
        return None

    def release(self, lane: object) -> None:
        for begun in self.begun.values():
            if begun.lane == lane:
                begun.lane = None

    def rest(self, piece: int) -> tuple[int, int]:
        """From which byte of the file, how many."""
        at, size = self.manifest.span(piece)
        came = self.begun[piece].came if piece in self.begun else 0
        return at + came, size - came

    def came(self, piece: int, data: bytes, source: str) -> bool | None:
        """True: whole and right; False: whole and wrong, so it is begun anew; None: there is more to come."""
        begun = self.begun[piece]
        begun.hash.update(data)
        begun.came += len(data)
        begun.sources.add(source)
        if begun.came < self.manifest.span(piece)[1]:
            return None
        del self.begun[piece]
        if begun.hash.hexdigest() != self.manifest.pieces[piece]:
            return False
        self.have |= 1 << piece
        return True

    def adopted(self, have: int) -> None:
        """So much is there by another way, while no lane fetches."""
        self.have = have
        self.begun = {piece: one for piece, one in self.begun.items() if not have >> piece & 1}

    def done(self, pieces: tuple[int, ...]) -> bool:
        return all(not 0 <= piece < self.manifest.count or self.have >> piece & 1 for piece in pieces)

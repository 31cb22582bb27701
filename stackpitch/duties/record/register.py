"""One duty's value at one voter."""

import msgspec

from stackpitch.duties.calls import Stamp

LARGEST = 256 * 1024  # bytes of a value


class Kept(msgspec.Struct, frozen=True):
    """A value and which write it is: under whose term, and the how manieth of the duty's life."""

    stamp: Stamp = Stamp()
    version: int = 0
    value: bytes = b""

    @property
    def order(self) -> tuple[int, int]:
        """Of two values the one with the higher is the newer."""
        return self.stamp.term, self.version


def newest(found: list[Kept]) -> Kept:
    return max(found, key=lambda one: one.order, default=Kept())

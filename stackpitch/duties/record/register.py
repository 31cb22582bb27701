"""One duty's record value, as each voter stores it."""

import msgspec

from stackpitch.duties.calls import Stamp

MAX_VALUE_BYTES = 256 * 1024


class RecordValue(msgspec.Struct, frozen=True):
    """A value, the stamp it was written under, and its version: a counter over the duty's whole life."""

    stamp: Stamp = Stamp()
    version: int = 0
    value: bytes = b""

    @property
    def order(self) -> tuple[int, int]:
        """Sorts values by age; the newer one compares higher."""
        return self.stamp.term, self.version


def newest(values: list[RecordValue]) -> RecordValue:
    """The newest of the values; an empty one if there are none."""
    return max(values, key=lambda value: value.order, default=RecordValue())

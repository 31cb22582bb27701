"""The owner's side of a duty's record: reads a majority, writes the newest value back under its own term.

The write-back turns a value that only some voters have into one that a majority has: every later reader finds
it, or a newer one. The owner does nothing else before it is done; then it writes what the work asks for.
"""

import msgspec

from stackpitch.duties.calls import Answer, Stamp
from stackpitch.duties.ownership.rounds import Round
from stackpitch.duties.record.errors import RecordTooLarge
from stackpitch.duties.record.register import MAX_VALUE_BYTES, RecordValue, newest
from stackpitch.loop import Time

VALUE_DECODER = msgspec.json.Decoder(RecordValue)


class RecordClient:
    """The record during one term. `current`: the value in force; `pending`: the one being written."""

    def __init__(self, duty: str, stamp: Stamp, voters: tuple[int, ...]) -> None:
        self.duty, self.stamp, self.voters = duty, stamp, voters
        self.current = RecordValue()
        self.pending: RecordValue | None = None
        self.ready = False  # whether the value has been read and written back

    def read_round(self, now: Time) -> Round:
        """A round that reads every voter's value."""
        return Round("read", self.stamp, now, self.voters)

    def finish_read(self, reads: Round) -> None:
        """Takes the newest value from a round of reads that a majority answered, to be written back."""
        newest_value = newest([VALUE_DECODER.decode(answer.body) for answer in reads.yes.values()])
        self.current = newest_value
        self.pending = RecordValue(self.stamp, newest_value.version, newest_value.value)

    def set_pending(self, value: bytes) -> None:
        """Sets the next value to write. Raises RecordTooLarge; nothing changes then."""
        if len(value) > MAX_VALUE_BYTES:
            raise RecordTooLarge(self.duty, len(value), MAX_VALUE_BYTES)
        self.pending = RecordValue(
            self.stamp, max(self.current.version, self.pending.version if self.pending else 0) + 1, value
        )

    def write_round(self, now: Time) -> Round | None:
        """A round that writes the pending value; None if there is none.

        To be repeated until a majority accepts one: a round that failed may have reached some voters.
        """
        return None if self.pending is None else Round("write", self.stamp, now, self.voters)

    def finish_write(self, pending: RecordValue) -> None:
        """A majority accepted a round that carried `pending`."""
        self.current, self.ready = pending, True
        if self.pending is pending:
            self.pending = None


def decode_value(answer: Answer) -> RecordValue:
    """The value in a voter's answer to a read."""
    return VALUE_DECODER.decode(answer.body)

"""An owner's side of the record: read a majority, write the newest back under our term, then write what the work asks for.

Writing back first makes a value that only some voters have into one that a majority has: whoever reads later finds it, or
one that is newer. Until then the owner does nothing else.
"""

import msgspec

from stackpitch.duties.calls import Answer, Stamp
from stackpitch.duties.ownership.rounds import Round
from stackpitch.duties.record.errors import RecordTooLarge
from stackpitch.duties.record.register import LARGEST, Kept, newest
from stackpitch.loop import Time

DECODER = msgspec.json.Decoder(Kept)


class Keeping:
    """One term's. `kept` is the value that counts; `wanted` the one on its way to the voters."""

    def __init__(self, duty: str, stamp: Stamp, voters: tuple[int, ...]) -> None:
        self.duty, self.stamp, self.voters = duty, stamp, voters
        self.kept = Kept()
        self.wanted: Kept | None = None
        self.ready = False  # read and written back

    def read(self, now: Time) -> Round:
        return Round("read", self.stamp, now, self.voters)

    def found(self, asked: Round) -> None:
        """Of a round of reads that was won."""
        found = newest([DECODER.decode(answer.body) for answer in asked.yes.values()])
        self.kept = found
        self.wanted = Kept(self.stamp, found.version, found.value)

    def want(self, value: bytes) -> None:
        """Raises RecordTooLarge; the value before stands then."""
        if len(value) > LARGEST:
            raise RecordTooLarge(self.duty, len(value), LARGEST)
        self.wanted = Kept(
            self.stamp, max(self.kept.version, self.wanted.version if self.wanted else 0) + 1, value
        )

    def write(self, now: Time) -> Round | None:
        """The round to send until one is won: a lost one may have reached some voters."""
        return None if self.wanted is None else Round("write", self.stamp, now, self.voters)

    def written(self, wanted: Kept) -> None:
        """A round that carried `wanted` was won."""
        self.kept, self.ready = wanted, True
        if self.wanted is wanted:
            self.wanted = None


def of(answer: Answer) -> Kept:
    return DECODER.decode(answer.body)

"""Which sources are not asked at present, and until when: after bad pieces of a version, or without an answer. Pure."""

from stackpitch.duties.weights.forms import Spoilt
from stackpitch.loop import SECOND, Time

MAX_BAD_PIECES = 2  # of one version from one source, after which the source is not asked for it
EJECTION_TIME: Time = 60 * SECOND  # then the source is tried again, as an operator may have repaired it
FIRST_BACKOFF: Time = 2 * SECOND  # after a source that did not answer; doubles up to EJECTION_TIME
# Without a byte of an answer. Doubled for a source that was silent for so long, as one that is slow or crowded
# would never be heard otherwise; it falls again with each right piece.
MIN_READ_TIMEOUT: Time = 2 * SECOND
MAX_READ_TIMEOUT: Time = 8 * SECOND
TIMEOUT_DECAY = 15, 16  # per right piece
MAX_ENTRIES = 256


class Sources:
    """The failures of each source. Entries expire by time; a right piece clears the source's missing answers."""

    def __init__(self) -> None:
        self.bad: dict[tuple[str, str, str], int] = {}  # by source, model and version: number of bad pieces
        self.ejected_until: dict[tuple[str, str, str], Time] = {}  # until when
        self.failed: dict[str, tuple[int, Time]] = {}  # failures in a row, and until when

        # Above the minimum; an entry leaves with right pieces, the oldest when there are too many.
        self.read_timeouts: dict[str, Time] = {}

    def read_timeout(self, source: str) -> Time:
        """For how long the source may send nothing."""
        return self.read_timeouts.get(source, MIN_READ_TIMEOUT)

    def bad_piece(self, source: str, model: str, version: str, now: Time) -> bool:
        """Counts a bad piece. Whether the source is now ejected for this version."""
        key = source, model, version
        count = self.bad[key] = self.bad.get(key, 0) + 1
        if count >= MAX_BAD_PIECES:
            self.ejected_until[key] = now + EJECTION_TIME
            del self.bad[key]
        while len(self.bad) > MAX_ENTRIES:
            del self.bad[next(iter(self.bad))]
        return count >= MAX_BAD_PIECES

    def good_piece(self, source: str) -> None:
        self.failed.pop(source, None)
        times, divisor = TIMEOUT_DECAY
        if (timeout := self.read_timeout(source) * times // divisor) > MIN_READ_TIMEOUT:
            self.read_timeouts[source] = timeout
        else:
            self.read_timeouts.pop(source, None)

    def no_answer(self, source: str, now: Time, silent: bool) -> None:
        """The source failed. `silent`: it sent nothing for its read timeout."""
        if silent:
            self.read_timeouts[source] = min(MAX_READ_TIMEOUT, 2 * self.read_timeout(source))
            while len(self.read_timeouts) > MAX_ENTRIES:
                del self.read_timeouts[next(iter(self.read_timeouts))]
        count = min(self.failed.get(source, (0, 0))[0] + 1, 10)
        self.failed[source] = count, now + min(EJECTION_TIME, FIRST_BACKOFF << (count - 1))

    def ejected(self, now: Time) -> tuple[Spoilt, ...]:
        """The ejected sources, for reports."""
        self.ejected_until = {key: until for key, until in self.ejected_until.items() if until > now}
        self.failed = {
            source: entry for source, entry in self.failed.items() if entry[1] > now - EJECTION_TIME
        }
        entries = [Spoilt(*key) for key in self.ejected_until]
        return (*entries, *(Spoilt(source) for source, (_, until) in self.failed.items() if until > now))[
            :MAX_ENTRIES
        ]

"""Which sources are not to be asked, and until when: two bad pieces of a version, or no answer. Pure."""

from stackpitch.duties.weights.forms import Spoilt
from stackpitch.loop import SECOND, Time

BAD_PIECES = 2  # of one version from one source, after which it is left alone
SPOILT: Time = 60 * SECOND  # then it is tried again: an operator may have mended it
FAILED: Time = 2 * SECOND  # after a source that did not answer; doubles up to SPOILT
MOST = 256


class Sources:
    """Emptied by time, and by pieces that are right."""

    def __init__(self) -> None:
        self.bad: dict[tuple[str, str, str], int] = {}  # source, model, version: pieces that were wrong
        self.spoilt: dict[tuple[str, str, str], Time] = {}  # until when
        self.failed: dict[str, tuple[int, Time]] = {}  # how often in a row, and until when

    def bad_piece(self, source: str, model: str, version: str, now: Time) -> bool:
        """Whether the source is spoilt by it."""
        key = source, model, version
        count = self.bad[key] = self.bad.get(key, 0) + 1
        if count >= BAD_PIECES:
            self.spoilt[key] = now + SPOILT
            del self.bad[key]
        while len(self.bad) > MOST:
            del self.bad[next(iter(self.bad))]
        return count >= BAD_PIECES

    def good_piece(self, source: str) -> None:
        self.failed.pop(source, None)

    def no_answer(self, source: str, now: Time) -> None:
        count = min(self.failed.get(source, (0, 0))[0] + 1, 10)
        self.failed[source] = count, now + min(SPOILT, FAILED << (count - 1))

    def closed(self, now: Time) -> tuple[Spoilt, ...]:
        """For reports."""
        self.spoilt = {key: until for key, until in self.spoilt.items() if until > now}
        self.failed = {source: one for source, one in self.failed.items() if one[1] > now - SPOILT}
        found = [Spoilt(*key) for key in self.spoilt]
        return (*found, *(Spoilt(source) for source, (_, until) in self.failed.items() if until > now))[:MOST]

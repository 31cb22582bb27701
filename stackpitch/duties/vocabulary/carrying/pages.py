"""Verdicts cut into pages that fit a call, and put together again. Pure."""

from hashlib import sha256

import msgspec

from stackpitch.duties.calls import Stamp
from stackpitch.duties.vocabulary.change.states import Change
from stackpitch.duties.vocabulary.errors import VerdictsTooLarge
from stackpitch.duties.vocabulary.verdicts.judge import Verdicts
from stackpitch.wire.decoding import decode

SIZE, MOST = 192 * 1024, 16 << 20  # bytes of a page before base64; of all verdicts


class Tell(msgspec.Struct, frozen=True):
    change: Change


class Page(msgspec.Struct, frozen=True):
    """One of `of`, from 0 on, of the bytes with this digest."""

    digest: str
    number: int
    of: int
    part: bytes


def paged(raw: bytes, digest: str) -> list[Page]:
    """Raises VerdictsTooLarge."""
    if len(raw) > MOST:
        raise VerdictsTooLarge(len(raw), MOST)
    cuts = range(0, max(1, len(raw)), SIZE)
    return [Page(digest, place, len(cuts), raw[at : at + SIZE]) for place, at in enumerate(cuts)]


class Pages:
    """What has come of one digest's pages; another digest or stamp begins anew."""

    def __init__(self) -> None:
        self.of: tuple[Stamp, str, int] | None = None
        self.parts: dict[int, bytes] = {}  # emptied when whole, or by another digest

    def add(self, stamp: Stamp, page: Page) -> Verdicts | None:
        """The verdicts once all pages are there and fit their digest. Raises msgspec.ValidationError."""
        if not 0 <= page.number < page.of <= MOST // SIZE + 1 or len(page.part) > SIZE:
            raise msgspec.ValidationError(f"page {page.number} of {page.of} with {len(page.part)} bytes")
        if self.of != (stamp, page.digest, page.of):
            self.of, self.parts = (stamp, page.digest, page.of), {}
        self.parts[page.number] = page.part
        if len(self.parts) < page.of:
            return None
        raw = b"".join(self.parts[place] for place in range(page.of))
        self.of, self.parts = None, {}
        if sha256(raw).hexdigest()[:32] != page.digest:
            return None
        return decode(raw, type=Verdicts)

"""What a gateway has heard of a change, and when it may act by it."""

from functools import cached_property

import msgspec

from stackpitch.duties.calls import Stamp
from stackpitch.duties.vocabulary.change.states import Change
from stackpitch.duties.vocabulary.verdicts.judge import Digests, Verdicts
from stackpitch.duties.vocabulary.verdicts.words import ProfileVerdict


class Seen(msgspec.Struct, frozen=True):
    """What this gateway reads in its own files: vocabularies by digest, with their names, and the profiles' digest."""

    vocabularies: dict[str, str] = {}
    profiles: str = ""

    def sees(self, digests: Digests) -> bool:
        return digests.old in self.vocabularies and digests.new in self.vocabularies and digests.profiles == self.profiles

    def name(self, digest: str) -> str:
        return self.vocabularies.get(digest, digest)


class Told(msgspec.Struct, frozen=True):
    """By an owner under its stamp. `verdicts` are those that the change's summary names by digest."""

    stamp: Stamp
    change: Change
    verdicts: Verdicts | None = None


class Known:
    """The last change told, and its verdicts. One of each; replaced by what comes under a later stamp or version."""

    def __init__(self) -> None:
        self.told: Told | None = None

    def take(self, told: Told) -> bool:
        """Whether it is taken: what is earlier than the last one, by stamp and version, is not. What does not hash to the
        digest that the change names is dropped."""
        last = self.told
        if last is not None and (told.stamp, told.change.version) < (last.stamp, last.change.version):
            return False
        verdicts = told.verdicts
        if verdicts is not None and not self.fits(told.change, verdicts):
            return False
        if verdicts is None and last is not None and last.verdicts is not None and self.fits(told.change, last.verdicts):
            told = msgspec.structs.replace(told, verdicts=last.verdicts)
        self.told = told
        self.__dict__.pop("profiles", None)
        return True

    @staticmethod
    def fits(change: Change, verdicts: Verdicts) -> bool:
        return (change.summary is not None and verdicts.digests == change.digests
                and verdicts.digest() == change.summary.digest)

    @cached_property
    def profiles(self) -> dict[str, ProfileVerdict]:
        return {one.name: one for one in self.told.verdicts.profiles} if self.told and self.told.verdicts else {}

    def acting(self, seen: Seen) -> Verdicts | None:
        """The verdicts, while the change lets gateways act and their digests are what is seen here."""
        told = self.told
        if told is None or told.verdicts is None or not told.change.acting or not seen.sees(told.verdicts.digests):
            return None
        return told.verdicts

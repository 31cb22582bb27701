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
        return (
            digests.old in self.vocabularies
            and digests.new in self.vocabularies
            and digests.profiles == self.profiles
        )

    def name(self, digest: str) -> str:
        return self.vocabularies.get(digest, digest)


class Told(msgspec.Struct, frozen=True):
    """By an owner under its stamp. `verdicts` are those that the change's summary names by digest."""

    stamp: Stamp
    change: Change
    verdicts: Verdicts | None = None


def fits(change: Change, verdicts: Verdicts, digest: str) -> bool:
    return (
        change.summary is not None and verdicts.digests == change.digests and digest == change.summary.digest
    )


class Known:
    """The last change told, and its verdicts. One of each; replaced by what comes under a later stamp or version."""

    def __init__(self) -> None:
        self.told: Told | None = None
        self.digest = ""  # of the verdicts that are here; reckoned once, for they can be of some MB

    def take(self, told: Told, digest: str = "") -> bool:
        """Whether it is taken: what is earlier than the last one, by stamp and version, is not. What does not hash to the
        digest that the change names is dropped. `digest`: of the bytes that the verdicts were read from, if it is known."""
        last = self.told
        if last is not None and (told.stamp, told.change.version) < (last.stamp, last.change.version):
            return False
        if told.verdicts is not None:
            digest = digest or told.verdicts.digest()
            if not fits(told.change, told.verdicts, digest):
                return False
            self.digest = digest
        elif (here := self.verdicts_on(told.change)) is not None:
            told = msgspec.structs.replace(told, verdicts=here)
        self.told = told
        self.__dict__.pop("profiles", None)
        return True

    def verdicts_on(self, change: Change) -> Verdicts | None:
        """Those that the change names, if they are here."""
        verdicts = self.told.verdicts if self.told else None
        return verdicts if verdicts is not None and fits(change, verdicts, self.digest) else None

    @cached_property
    def profiles(self) -> dict[str, ProfileVerdict]:
        return (
            {one.name: one for one in self.told.verdicts.profiles} if self.told and self.told.verdicts else {}
        )

    def acting(self, seen: Seen) -> Verdicts | None:
        """The verdicts, while the change lets gateways act and their digests are what is seen here."""
        told = self.told
        if (
            told is None
            or told.verdicts is None
            or not told.change.acting
            or not seen.sees(told.verdicts.digests)
        ):
            return None
        return told.verdicts

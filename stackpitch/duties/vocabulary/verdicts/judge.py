"""All profiles from one vocabulary to the next, in short steps; the same files give the same verdicts to the byte."""

from collections.abc import Iterator
from hashlib import sha256

import msgspec

from stackpitch.duties.vocabulary.parameters import Parameters
from stackpitch.duties.vocabulary.profiles import Profiles
from stackpitch.duties.vocabulary.verdicts import allowed, bad_words, bias, lengths, spread, stops, strings
from stackpitch.duties.vocabulary.verdicts.case import Case
from stackpitch.duties.vocabulary.verdicts.pair import Pair, Run
from stackpitch.duties.vocabulary.verdicts.ratio import Ratio
from stackpitch.duties.vocabulary.verdicts.words import ProfileVerdict, Word, worst

KINDS = (bias, stops, allowed, bad_words, strings, spread, lengths)
MOST_RUNS = (
    8_000  # of exact ids that go with the verdicts; with more, ids outside profiles are not translated
)


class Digests(msgspec.Struct, frozen=True):
    """What a verdict is about. A gateway acts by it only if these are what it sees itself."""

    old: str
    new: str
    profiles: str


class Verdicts(msgspec.Struct, frozen=True):
    """`runs`: exact ids, for parameters that are in no profile; empty where the vocabularies have too little in common."""

    digests: Digests
    ratio: Ratio
    profiles: tuple[ProfileVerdict, ...]
    runs: tuple[Run, ...] = ()

    def encoded(self) -> bytes:
        return msgspec.json.encode(self, order="deterministic")

    def digest(self) -> str:
        return digest(self.encoded())


def digest(encoded: bytes) -> str:
    return sha256(encoded).hexdigest()[:32]


class Judge:
    def __init__(self, pair: Pair, ratio: Ratio, profiles: Profiles, names: dict[str, str]) -> None:
        """`names`: digest by name of vocabulary. Profiles that are written for others than the old one are not judged."""
        self.pair, self.ratio, self.profiles = pair, ratio, profiles
        self.digests = Digests(pair.old.digest, pair.new.digest, profiles.digest())
        self.mine = [
            name
            for name in sorted(profiles.profiles)
            if names.get(profiles.written_for(name) or "") == pair.old.digest
        ]

    def steps(self) -> Iterator[ProfileVerdict]:
        """One profile at a time."""
        for name in self.mine:
            yield self.one(name, self.profiles.profiles[name].parameters)

    def one(self, name: str, parameters: Parameters) -> ProfileVerdict:
        case = Case(self.pair, self.ratio, parameters)
        fields = tuple(found for kind in KINDS for found in kind.judge(case))
        word: Word = worst([one.word for one in fields])
        return ProfileVerdict(name, word, any(one.lost for one in fields), fields)

    def done(self, found: list[ProfileVerdict]) -> Verdicts:
        runs = self.pair.runs
        return Verdicts(self.digests, self.ratio, tuple(found), runs if len(runs) <= MOST_RUNS else ())

    def share(self, found: list[ProfileVerdict]) -> float:
        """Of the revenue of all profiles, that of those that lose their meaning."""
        every = sum(one.revenue for one in self.profiles.profiles.values())
        gone = sum(self.profiles.profiles[one.name].revenue for one in found if one.lost)
        return gone / every if every > 0 else 0.0

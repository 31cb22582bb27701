"""What parameters that were written for one vocabulary mean in another: pure, a module for each kind of parameter."""

from stackpitch.duties.vocabulary.verdicts.judge import Judge, Verdicts
from stackpitch.duties.vocabulary.verdicts.pair import Pair
from stackpitch.duties.vocabulary.verdicts.ratio import Ratio, measured
from stackpitch.duties.vocabulary.verdicts.words import FieldVerdict, Finding, ProfileVerdict, Word

__all__ = [
    "FieldVerdict",
    "Finding",
    "Judge",
    "Pair",
    "ProfileVerdict",
    "Ratio",
    "Verdicts",
    "Word",
    "measured",
]

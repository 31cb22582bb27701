"""The verdict on duties, from what the network between gateways and the director recorded. Pure.

Never by an owner's word: a call counts as it passed on the network, an answer as its receiver gave it. Times are in tenths
of a millisecond on one machine's clock.
"""

from stackpitch.rehearse.judging import vocabulary, weights
from stackpitch.rehearse.judging.owners import NAMES, WORDS, OwnerFigures, judge_owners
from stackpitch.rehearse.judging.vocabulary import judge_vocabulary

__all__ = ["NAMES", "WORDS", "OwnerFigures", "judge_owners", "judge_vocabulary", "vocabulary", "weights"]

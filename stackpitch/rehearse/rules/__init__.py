"""The verdict on the five rules, from what clients and engines recorded. Pure.

Times are in tenths of a millisecond on one machine's clock. What a gateway says of itself is not looked at; the
director's records say when processes were started, stopped and killed and when a gateway had been told of a list.
"""

from stackpitch.rehearse.rules.checker import Checker
from stackpitch.rehearse.rules.words import NAMES, Breach, Effects, RuleFigures
from stackpitch.rehearse.rules.worth import Worth, worth

__all__ = ["NAMES", "Breach", "Checker", "Effects", "RuleFigures", "Worth", "worth"]
